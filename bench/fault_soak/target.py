"""A target that holds flows, runs requests in slots and keeps count of them."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from trio import CapacityLimiter, Nursery, current_time, sleep
from trio.socket import AF_INET, SOCK_DGRAM, socket

from balsamtide.flows.packet import FlowPacket, FlowPacketError, sequence_distance
from balsamtide.platform.packets import ACK, HEADER, RETURNED, SYN, WirePackets
from bench.fault_soak.promises import Promise, PromiseLog

__all__ = ["SoakTarget", "TargetFlow", "make_packet"]

READ_BYTES = 2048
MEAN_WORK_S = 0.02
SLOTS = 4
# Octets within which an acknowledgement belongs to a flow's numbers.
SEQUENCE_SPAN = 1 << 20
PACKETS = WirePackets()


def make_packet(
    source: tuple[int, int],
    destination: tuple[int, int],
    flags: int,
    sequence: int,
    acknowledgement: int,
    data: bytes = b"",
) -> bytes:
    """Return a packet in the platform's form."""
    head = HEADER.pack(
        0,
        1,
        flags,
        source[0],
        destination[1],
        source[1],
        destination[0],
        len(data),
        sequence,
        acknowledgement,
    )
    return head + data


@dataclass(slots=True)
class TargetFlow:
    """A flow that the target holds.

    Parameters
    ----------
    first_sequence : int
        Sequence of the handshake.
    expected : int
        Next sequence of the client.
    is_open : bool
        Whether the end of the handshake has come.
    sent : int
        Octets of answers so far.
    answer : bytes
        The last answer, sent again for a repeated request.
    """

    first_sequence: int
    expected: int
    is_open: bool = False
    sent: int = 0
    answer: bytes = b""


@dataclass(slots=True)
class SoakTarget:
    """One instance's target; it can crash and start again with nothing.

    Parameters
    ----------
    name, service : str
        Key in the store, and the service that it belongs to.
    receives, agent : tuple of (str, int)
        Its own address, and where it sends its packets.
    log : PromiseLog
        Where breaches go.
    runs : Counter
        Starts of each request, over all targets.
    may_serve : callable
        Whether a service may get a flow to an address.
    zone : str
        Availability zone.
    is_evacuated : callable
        Whether targets of a zone must get no opening packets now.
    """

    name: str
    service: str
    receives: tuple[str, int]
    agent: tuple[str, int]
    log: PromiseLog
    random: Random
    runs: Counter
    may_serve: Callable[[str, tuple[int, int]], bool]
    zone: str
    is_evacuated: Callable[[str], bool]
    flows: dict[bytes, TargetFlow] = field(default_factory=dict)
    no_openings_after: float = float("inf")
    is_down: bool = False
    incarnation: int = 0
    loss: float = 0.0
    slots: CapacityLimiter = field(default_factory=lambda: CapacityLimiter(SLOTS))

    def crash(self) -> None:
        """Lose all flows and stay silent."""
        self.is_down = True
        self.incarnation += 1
        self.flows.clear()

    def start(self, service: str) -> None:
        """Come back, perhaps for another service."""
        self.is_down = False
        self.service = service
        self.no_openings_after = float("inf")

    async def run(self, nursery: Nursery) -> None:
        """Serve until cancelled."""
        with socket(AF_INET, SOCK_DGRAM) as udp:
            await udp.bind(self.receives)
            while True:
                try:
                    data = await udp.recv(READ_BYTES)
                except ConnectionError:
                    # An earlier packet met an agent that is down.
                    continue
                if self.is_down or self.random.random() < self.loss:
                    continue
                nursery.start_soon(self._take, data, udp)

    async def _take(self, data: bytes, udp) -> None:
        incarnation = self.incarnation
        try:
            packet = PACKETS.decode(data)
        except FlowPacketError as error:
            self.log.breach(Promise.WHOLE_ANSWER, current_time(), f"{error}")
            return
        for answer in await self._answers(packet, data):
            if self.incarnation == incarnation and self.random.random() >= self.loss:
                await self._send(udp, answer)

    async def _send(self, udp, data: bytes) -> None:
        try:
            await udp.sendto(data, self.agent)
        except ConnectionError:
            # The agent is down; the client sends again.
            return

    async def _answers(self, packet: FlowPacket, data: bytes) -> list[bytes]:
        key = packet.client_key
        if packet.is_opening:
            return [self._open(packet, key)]
        flow = self.flows.get(key)
        if flow is None or not self._is_of(flow, packet):
            return [data[:8] + bytes([data[8] | RETURNED]) + data[9:]]
        flow.is_open = True
        if packet.is_fin:
            del self.flows[key]
            return []
        if not packet.length:
            return []
        if packet.sequence != flow.expected:
            return [flow.answer] if flow.answer else []
        return await self._run(packet, flow)

    def _open(self, packet: FlowPacket, key: bytes) -> bytes:
        now = current_time()
        if not self.may_serve(self.service, packet.destination):
            self.log.breach(
                Promise.RIGHT_SERVICE, now, f"{self.name} got {packet.destination}"
            )
        if now > self.no_openings_after and not packet.acknowledgement:
            self.log.breach(Promise.DRAIN, now, f"{self.name} got a new flow")
        if self.is_evacuated(self.zone):
            self.log.breach(Promise.EVACUATION, now, f"{self.name} in {self.zone}")
        flow = self.flows.get(key)
        if flow is None:
            number = self.random.getrandbits(31)
            flow = self.flows[key] = TargetFlow(number, packet.sequence + 1)
        return make_packet(
            packet.destination, packet.source, SYN | ACK, flow.first_sequence, 0
        )

    def _is_of(self, flow: TargetFlow, packet: FlowPacket) -> bool:
        distance = sequence_distance(packet.acknowledgement, flow.first_sequence)
        return distance < SEQUENCE_SPAN

    async def _run(self, packet: FlowPacket, flow: TargetFlow) -> list[bytes]:
        flow.expected += packet.length
        flow.answer = b""
        request = packet.raw[HEADER.size :].decode()
        async with self.slots:
            if self.flows.get(packet.client_key) is not flow:
                return []
            self.runs[request] += 1
            await sleep(self.random.expovariate(1 / MEAN_WORK_S))
        body = f"{self.service}|{request}".encode()
        flow.answer = make_packet(
            packet.destination,
            packet.source,
            ACK,
            flow.first_sequence + 1 + flow.sent,
            flow.expected,
            body,
        )
        flow.sent += len(body)
        return [flow.answer]
