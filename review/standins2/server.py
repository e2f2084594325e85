"""Stand-in of an application server beside an agent."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from socket import AF_INET, SOCK_DGRAM
from socket import socket as Socket
from threading import Lock, Thread
from time import monotonic, sleep, time

from review.standins2.store import Store
from review.standins2.wire import (
    ACK,
    FIN,
    MODULUS,
    RST,
    SYN,
    Address,
    Packet,
    checksum,
    decode,
)

READ_BYTES = 65_535
STEP_S = 0.02

FlowKey = tuple[Address, Address]


@dataclass
class ServerFlow:
    """A flow at a server."""

    client_isn: int
    isn: int
    next_seq: int
    expected: int
    is_open: bool = False
    has_ended: bool = False
    response: bytes = b""


class Server:
    """One incarnation of a server.

    Parameters
    ----------
    service : str
        Its service.
    zone : str
        Its zone.
    app : tuple of (str, int)
        Where it receives packets.
    outbound : tuple of (str, int)
        Where it sends its packets.
    store : Store
        Where it registers.
    key : str
        Its id.
    capacity : int
        Requests that it processes concurrently.
    work_s : float
        Time of a request.
    cold_s : float
        How long it stays slow after its start, 0 if it is warm at once.
    log : callable
        Takes a line for the record.
    """

    def __init__(
        self,
        *,
        service: str,
        zone: str,
        app: Address,
        outbound: Address,
        store: Store,
        key: str,
        log: Callable[[str], None],
        capacity: int = 1,
        work_s: float = 0.02,
        cold_s: float = 0.0,
    ) -> None:
        self.service = service
        self.zone = zone
        self.app = app
        self.outbound = outbound
        self.store = store
        self.key = key
        self.log = log
        self.capacity = capacity
        self.work_s = work_s
        self.cold_s = cold_s
        self.state = "ready"
        self.born_ms = int(time() * 1000)
        self.started_at = monotonic()
        self.sequence = 0
        self.random = Random()
        self.flows: dict[FlowKey, ServerFlow] = {}
        self.waiting: deque[tuple[FlowKey, Packet]] = deque()
        # Local times and clients of the opening packets that it took.
        self.openings: list[tuple[float, FlowKey]] = []
        self.runs: list[tuple[float, FlowKey, bytes]] = []
        self.forged = 0
        self.is_closed = False
        self.lock = Lock()
        self.socket = Socket(AF_INET, SOCK_DGRAM)
        self.socket.bind(app)
        self.socket.settimeout(STEP_S)
        for work in (self._receive, self._beat, *([self._work] * capacity)):
            Thread(target=work, daemon=True).start()

    @property
    def name(self) -> str:
        """Name for the record."""
        return f"{self.key}@{self.app[0]}"

    def is_cold(self, now: float) -> bool:
        """Whether it is still slow after its start."""
        return now < self.started_at + self.cold_s

    # Registration

    def entry(self) -> dict[str, object]:
        """Return what it says of itself."""
        left_s = max(0.0, self.started_at + self.cold_s - monotonic())
        return {
            "born": self.born_ms,
            "service": self.service,
            "address": f"{self.app[0]}:{self.app[1]}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "warmupLeftMs": round(left_s * 1000),
            "sequence": self.sequence,
        }

    def _beat(self) -> None:
        while not self.is_closed:
            self.sequence += 1
            self.store.beat(self.app[0], f"servers/{self.key}", self.entry())
            sleep(self.store.heartbeat_s)

    # Packets

    def _receive(self) -> None:
        while not self.is_closed:
            try:
                datagram = self.socket.recv(READ_BYTES)
            except TimeoutError:
                continue
            except OSError:
                break
            packet = decode(datagram)
            with self.lock:
                for reply in self._answer(packet):
                    self._send(reply)

    def _send(self, datagram: bytes) -> None:
        if not self.is_closed:
            self.socket.sendto(datagram, self.outbound)

    def _answer(self, packet: Packet) -> list[bytes]:
        if packet.sum != checksum(packet):
            self.forged += 1
            return []
        key = packet.src, packet.dst
        flow = self.flows.get(key)
        if packet.has(SYN) and not packet.has(ACK):
            return self._open(key, packet, flow)
        if flow is None:
            return [packet.returned()]
        if not flow.is_open:
            if packet.ack != (flow.isn + 1) % MODULUS:
                return [packet.returned()]
            flow.is_open = True
        if packet.has(RST):
            del self.flows[key]
            return []
        if packet.data:
            return self._take(key, packet, flow)
        if packet.has(FIN):
            flow.has_ended = True
            return [self._reply(key, flow, ACK | FIN)]
        return []

    def _open(
        self, key: FlowKey, packet: Packet, flow: ServerFlow | None
    ) -> list[bytes]:
        if flow is None or flow.client_isn != packet.seq:
            isn = self.random.randrange(MODULUS)
            expected = (packet.seq + 1) % MODULUS
            flow = ServerFlow(packet.seq, isn, (isn + 1) % MODULUS, expected)
            self.flows[key] = flow
            self.openings.append((monotonic(), key))
        reply = Packet(
            key[1], key[0], SYN | ACK, flow.isn, (flow.client_isn + 1) % MODULUS
        )
        return [reply.encode()]

    def _take(self, key: FlowKey, packet: Packet, flow: ServerFlow) -> list[bytes]:
        if flow.has_ended:
            return [self._reply(key, flow, RST)]
        if packet.seq == flow.expected:
            flow.expected = (packet.seq + len(packet.data)) % MODULUS
            flow.response = b""
            self.waiting.append((key, packet))
            return [self._reply(key, flow, ACK)]
        # A copy: the acknowledgement or the response was lost.
        return [flow.response or self._reply(key, flow, ACK)]

    def _reply(self, key: FlowKey, flow: ServerFlow, flags: int) -> bytes:
        return Packet(key[1], key[0], flags, flow.next_seq, flow.expected).encode()

    def _work(self) -> None:
        while not self.is_closed:
            with self.lock:
                job = self.waiting.popleft() if self.waiting else None
                if job is not None:
                    self.runs.append((monotonic(), job[0], job[1].data))
            if job is None:
                sleep(0.001)
                continue
            sleep(self.work_s * (1.6 if self.is_cold(monotonic()) else 1.0))
            with self.lock:
                self._respond(*job)

    def _respond(self, key: FlowKey, packet: Packet) -> None:
        flow = self.flows.get(key)
        if flow is None:
            return
        body = f"{self.service} {self.key}".encode()
        data = (
            b"HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nContent-Length: %d\r\n\r\n%s"
            % (len(body), body)
        )
        response = Packet(key[1], key[0], ACK, flow.next_seq, flow.expected, data)
        flow.next_seq = (flow.next_seq + len(data)) % MODULUS
        flow.response = response.encode()
        self._send(flow.response)

    def crash(self) -> None:
        """End at once: its flows are gone."""
        self.is_closed = True
        with self.lock:
            self.socket.close()
