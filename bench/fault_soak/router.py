"""The platform's routers: packets of clients go to a balancer, answers come back."""

from collections.abc import Callable, Iterable
from random import Random
from zlib import crc32

from httpx import AsyncClient, HTTPError
from trio import MemorySendChannel, Nursery, WouldBlock, current_time, sleep
from trio.socket import AF_INET, SOCK_DGRAM, socket

from balsamtide.flows.packet import FlowPacket
from balsamtide.platform.packets import WirePackets
from balsamtide.platform.settings import READINESS_PATH

__all__ = ["Router"]

READ_BYTES = 2048
PROBE_PERIOD_S = 0.5
PROBE_TIMEOUT_S = 0.4
# Missed answers after which a balancer gets no more packets.
MAX_MISSES = 2
PACKETS = WirePackets()


class Router:
    """Loses, delays and repeats packets as it is told.

    Parameters
    ----------
    address : tuple of (str, int)
        Where packets for clients arrive.
    balancers : iterable of str
        Hosts of the balancers.
    packets_port, readiness_port : int
        Ports of the balancers.
    random : Random
        Source of faults.
    """

    def __init__(
        self,
        address: tuple[str, int],
        *,
        balancers: Iterable[str],
        packets_port: int,
        readiness_port: int,
        random: Random,
    ) -> None:
        self.address = address
        self.balancers = list(balancers)
        self.misses = dict.fromkeys(self.balancers, 0)
        self.packets_port = packets_port
        self.readiness_port = readiness_port
        self.random = random
        self.loss = 0.0
        self.delay_s = 0.0
        self.copies = 0.0
        self.clients: dict[int, MemorySendChannel[FlowPacket]] = {}
        self.socket = socket(AF_INET, SOCK_DGRAM)

    async def run(self, nursery: Nursery) -> None:
        """Carry packets until cancelled."""
        await self.socket.bind(self.address)
        for host in self.balancers:
            nursery.start_soon(self._probe, host)
        nursery.start_soon(self._receive, nursery)

    # Readiness

    async def _probe(self, host: str) -> None:
        url = f"http://{host}:{self.readiness_port}{READINESS_PATH}"
        async with AsyncClient(timeout=PROBE_TIMEOUT_S) as client:
            while True:
                begun_at = current_time()
                is_ready = await self._is_ready(client, url)
                self.misses[host] = 0 if is_ready else self.misses[host] + 1
                await sleep(max(0.0, begun_at + PROBE_PERIOD_S - current_time()))

    async def _is_ready(self, client: AsyncClient, url: str) -> bool:
        try:
            return (await client.get(url)).status_code == 200
        except HTTPError:
            return False

    def in_rotation(self) -> list[str]:
        """Return the balancers that get packets; all if none is ready."""
        ready = [host for host, missed in self.misses.items() if missed < MAX_MISSES]
        return ready or self.balancers

    # Packets

    async def send(self, data: bytes, key: bytes) -> None:
        """Send a client's packet to the balancer of its flow."""
        host = max(self.in_rotation(), key=lambda host: crc32(host.encode() + key))
        await self._deliver(lambda: self._send(data, host))

    async def _send(self, data: bytes, host: str) -> None:
        try:
            await self.socket.sendto(data, (host, self.packets_port))
        except ConnectionError:
            # A balancer that is down: the packet is lost.
            return

    async def _deliver(self, carry: Callable) -> None:
        if self.random.random() < self.loss:
            return
        if self.delay_s:
            await sleep(self.random.uniform(0.0, self.delay_s))
        await carry()
        if self.random.random() < self.copies:
            await carry()

    async def _receive(self, nursery: Nursery) -> None:
        while True:
            try:
                data = await self.socket.recv(READ_BYTES)
            except ConnectionError:
                # An earlier packet met a balancer that is down.
                continue
            nursery.start_soon(self._deliver, lambda data=data: self._hand_over(data))

    async def _hand_over(self, data: bytes) -> None:
        packet = PACKETS.decode(data)
        channel = self.clients.get(packet.destination[1])
        if channel is None:
            return
        try:
            channel.send_nowait(packet)
        except WouldBlock:
            # The client is far behind; the packet is lost.
            return
