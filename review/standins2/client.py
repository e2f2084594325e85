"""Stand-ins of the clients and of the platform's routers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from queue import Empty, SimpleQueue
from random import Random
from socket import AF_INET, SOCK_DGRAM, create_connection
from socket import socket as Socket
from threading import Thread
from time import monotonic, sleep
from zlib import crc32

from review.standins2.wire import (
    ACK,
    FIN,
    MODULUS,
    RESET_WINDOW,
    RST,
    SYN,
    Address,
    Packet,
    checksum,
    decode,
    distance,
)

READ_BYTES = 65_535
STEP_S = 0.02
# Waits after the first SYN and its copies.
SYN_WAITS_S = (0.2, 0.4, 0.8)
RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
PROBE_PERIOD_S = 0.5


class Routers:
    """The routers of one zone: steady hashing over the nodes in rotation.

    Parameters
    ----------
    nodes : sequence of str
        Hosts of the front nodes.
    packets, ready : int
        Their ports.
    """

    def __init__(self, nodes: list[str], packets: int, ready: int) -> None:
        self.nodes = nodes
        self.packets = packets
        self.ready = ready
        self.misses = dict.fromkeys(nodes, 2)
        self.is_closed = False
        for node in nodes:
            Thread(target=self._probe, args=(node,), daemon=True).start()

    def _probe(self, node: str) -> None:
        while not self.is_closed:
            self.misses[node] = 0 if self._is_ready(node) else self.misses[node] + 1
            sleep(PROBE_PERIOD_S)

    def _is_ready(self, node: str) -> bool:
        try:
            with create_connection((node, self.ready), timeout=0.4) as connection:
                request = f"GET /-/readiness HTTP/1.1\r\nHost: {node}\r\n\r\n"
                connection.sendall(request.encode())
                return connection.recv(READ_BYTES).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def in_rotation(self) -> list[str]:
        """Return the nodes in rotation, all if fewer than half of them are."""
        found = [node for node in self.nodes if self.misses[node] < 2]
        return found if 2 * len(found) >= len(self.nodes) else self.nodes

    def route(self, source: Address, destination: Address) -> Address:
        """Return where a client's packet goes."""

        def weight(node: str) -> int:
            return crc32(f"{source} {destination} {node}".encode())

        return max(self.in_rotation(), key=weight), self.packets


@dataclass
class Flow:
    """A flow of a client."""

    source: Address
    destination: Address
    isn: int
    inbox: SimpleQueue = field(default_factory=SimpleQueue)
    next_seq: int = 0
    expected: int = 0
    is_open: bool = False
    opened_at: float = 0.0
    # Resets of the system's own that the client took while the flow was open.
    resets: list[float] = field(default_factory=list)


class Client:
    """A client with many flows.

    Parameters
    ----------
    host : str
        Its address.
    port : int
        Port at which packets for clients arrive.
    routers : Routers
        The routers of its zone.
    log : callable
        Takes a line for the record.
    """

    def __init__(
        self, host: str, port: int, routers: Routers, log: Callable[[str], None]
    ) -> None:
        self.host = host
        self.routers = routers
        self.log = log
        self.flows: dict[int, Flow] = {}
        self.ports = count(20_000)
        self.ids = count(1)
        self.random = Random()
        self.forged = 0
        self.is_closed = False
        self.socket = Socket(AF_INET, SOCK_DGRAM)
        self.socket.bind((host, port))
        self.socket.settimeout(STEP_S)
        Thread(target=self._receive, daemon=True).start()

    def _receive(self) -> None:
        while not self.is_closed:
            try:
                packet = decode(self.socket.recv(READ_BYTES))
            except TimeoutError:
                continue
            except OSError:
                break
            if packet.sum != checksum(packet) and not (
                packet.has(RST) and packet.sum == 0 and not packet.data
            ):
                self.forged += 1
                continue
            flow = self.flows.get(packet.dst[1])
            if flow is not None:
                flow.inbox.put(packet)

    def _send(self, flow: Flow, flags: int, ack: int, data: bytes = b"") -> None:
        seq = flow.isn if flags == SYN else flow.next_seq
        packet = Packet(flow.source, flow.destination, flags, seq, ack, data)
        node = self.routers.route(flow.source, flow.destination)
        self.socket.sendto(packet.encode(), node)

    def open(self, destination: Address) -> Flow | None:
        """Open a flow; return None if the attempt ends without one."""
        port = next(self.ports)
        isn = self.random.randrange(MODULUS)
        flow = Flow((self.host, port), destination, isn, next_seq=isn)
        self.flows[port] = flow
        for copy, wait_s in enumerate(SYN_WAITS_S):
            self._send(flow, SYN, copy)
            until = monotonic() + wait_s
            while (packet := self._next(flow, until)) is not None:
                if packet.has(RST):
                    self.close(flow)
                    return None
                if packet.has(SYN | ACK):
                    flow.is_open = True
                    flow.opened_at = monotonic()
                    flow.next_seq = (isn + 1) % MODULUS
                    flow.expected = (packet.seq + 1) % MODULUS
                    self._send(flow, ACK, flow.expected)
                    return flow
        self.close(flow)
        return None

    def _next(self, flow: Flow, until: float) -> Packet | None:
        left_s = until - monotonic()
        if left_s <= 0:
            return None
        try:
            return flow.inbox.get(timeout=left_s)
        except Empty:
            return None

    def request(self, flow: Flow, deadline_s: float) -> tuple[str, bytes]:
        """Send a request on an open flow; return its outcome and the response."""
        number = next(self.ids)
        data = (
            f"GET /{number} HTTP/1.1\r\nHost: x\r\nX-Request-Id: r{number}\r\n\r\n"
        ).encode()
        end, wait_s = monotonic() + deadline_s, RETRANSMIT_S
        while monotonic() < end:
            self._send(flow, ACK, flow.expected, data)
            until = min(end, monotonic() + wait_s)
            wait_s = min(MAX_RETRANSMIT_S, 2 * wait_s)
            while (packet := self._next(flow, until)) is not None:
                outcome = self._judge(flow, packet)
                if outcome:
                    return outcome, packet.data
                if packet.data and packet.seq == flow.expected:
                    flow.next_seq = (flow.next_seq + len(data)) % MODULUS
                    flow.expected = (flow.expected + len(packet.data)) % MODULUS
                    self._send(flow, ACK, flow.expected)
                    return "answered", packet.data
        return "deadline", b""

    def _judge(self, flow: Flow, packet: Packet) -> str:
        """Return how a packet ends the flow, or nothing."""
        if not packet.has(RST):
            return ""
        if packet.sum != 0:
            return "reset by the server"
        near = min(
            distance(packet.seq, flow.expected), distance(flow.expected, packet.seq)
        )
        if near > RESET_WINDOW:
            return ""
        flow.resets.append(monotonic())
        return "reset by the system"

    def close(self, flow: Flow) -> None:
        """End a flow."""
        if flow.is_open:
            self._send(flow, FIN | ACK, flow.expected)
        self.flows.pop(flow.source[1], None)

    def call(self, destination: Address, deadline_s: float) -> tuple[str, bytes]:
        """Make one request on a flow of its own."""
        flow = self.open(destination)
        if flow is None:
            return "not opened", b""
        outcome = self.request(flow, deadline_s)
        self.close(flow)
        return outcome

    def stop(self) -> None:
        """Stop receiving."""
        self.is_closed = True
        self.socket.close()
