"""Clients: they open flows, send requests on them and check what comes back."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count
from random import Random

from trio import (
    MemoryReceiveChannel,
    current_time,
    move_on_at,
    open_memory_channel,
    sleep,
)

from balsamtide.flows.packet import FlowPacket, flow_key, sequence_distance
from balsamtide.platform.packets import ACK, FIN, HEADER, SYN
from bench.fault_soak.promises import Promise, PromiseLog
from bench.fault_soak.router import Router
from bench.fault_soak.target import SoakTarget, make_packet

__all__ = ["CallOutcome", "ClientPool", "Route"]

# When copies of an opening packet follow, and when the client gives it up.
COPY_AGES_S = (0.0, 0.2, 0.6)
PATIENCE_S = 1.4
RETRANSMIT_S = 0.2
LONGEST_RETRANSMIT_S = 1.6
DEADLINE_S = 3.0
MAX_TRIES = 3
# The platform's clients take resets of open flows within so many octets.
RESET_WINDOW = 76_800
FIRST_SEQUENCE = 1000
CHANNEL_PACKETS = 64


@dataclass(slots=True)
class Route:
    """A service address.

    Parameters
    ----------
    address : tuple of (int, int)
        IPv4 address as a number, and port.
    service : str
        Its service.
    dropped_at : float
        When a configuration without it was published, infinite if none was.
    """

    address: tuple[int, int]
    service: str
    dropped_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """How one call of a client ended."""

    began_at: float
    is_served: bool


class FlowResetError(Exception):
    """The flow was reset."""


@dataclass(slots=True)
class ClientFlow:
    """The client's end of one flow."""

    pool: "ClientPool"
    route: Route
    port: int
    packets: MemoryReceiveChannel[FlowPacket]
    sequence: int = FIRST_SEQUENCE + 1
    acknowledgement: int = 0
    is_open: bool = False

    @property
    def key(self) -> bytes:
        """The flow's key."""
        return flow_key((self.pool.host, self.port), self.route.address)

    async def _send(self, flags: int, sequence: int, data: bytes = b"") -> None:
        packet = make_packet(
            (self.pool.host, self.port),
            self.route.address,
            flags,
            sequence,
            self.acknowledgement,
            data,
        )
        await self.pool.router.send(packet, self.key)

    async def _receive(self, until: float) -> FlowPacket | None:
        with move_on_at(until):
            packet = await self.packets.receive()
            if packet.is_reset and not self._is_in_window(packet):
                return None
            if packet.is_reset:
                self.pool.check_reset(self)
                raise FlowResetError
            return packet
        return None

    def _is_in_window(self, packet: FlowPacket) -> bool:
        """Whether a client takes a reset; on an open flow it has to know the numbers.

        A copy of an opening may be refused by one target while another one has the
        flow; such a reset carries no number of the flow.
        """
        if not self.is_open:
            return True
        ahead = sequence_distance(packet.sequence, self.acknowledgement)
        behind = sequence_distance(self.acknowledgement, packet.sequence)
        return min(ahead, behind) <= RESET_WINDOW

    async def open(self) -> bool:
        """Open the flow; return whether a target took it."""
        started_at = current_time()
        ends = (*COPY_AGES_S[1:], PATIENCE_S)
        for copy, end in enumerate(ends):
            self.acknowledgement = copy
            await self._send(SYN, FIRST_SEQUENCE)
            while current_time() < started_at + end:
                packet = await self._receive(started_at + end)
                if packet is not None and packet.is_syn:
                    self.acknowledgement = packet.sequence + 1
                    self.is_open = True
                    return True
        return False

    async def exchange(self, request: str) -> bool:
        """Send a request until its answer has come; return whether it came."""
        data = request.encode()
        deadline = current_time() + DEADLINE_S
        wait_s = RETRANSMIT_S
        while current_time() < deadline:
            await self._send(ACK, self.sequence, data)
            until = min(deadline, current_time() + wait_s)
            wait_s = min(LONGEST_RETRANSMIT_S, 2 * wait_s)
            while current_time() < until:
                packet = await self._receive(until)
                if packet is None or packet.sequence != self.acknowledgement:
                    continue
                if packet.length:
                    self._take_answer(packet, request)
                    self.sequence += len(data)
                    return True
        return False

    def _take_answer(self, packet: FlowPacket, request: str) -> None:
        self.acknowledgement += packet.length
        body = packet.raw[HEADER.size :].decode()
        if body != f"{self.route.service}|{request}":
            detail = f"{request} on port {self.port} got {body!r}"
            self.pool.log.breach(Promise.WHOLE_ANSWER, current_time(), detail)

    async def close(self) -> None:
        """Close the client's side."""
        await self._send(ACK | FIN, self.sequence)


@dataclass(slots=True)
class ClientPool:
    """All clients of a run.

    Parameters
    ----------
    host : int
        Their address.
    router : Router
        Carries their packets.
    targets : list of SoakTarget
        What may hold their flows.
    log : PromiseLog
        Where breaches go.
    random : Random
        Source of choices.
    runs : Counter
        Starts of each request at the targets.
    is_reset_allowed : callable
        Whether an open flow of a route may be reset now.
    """

    host: int
    router: Router
    targets: list[SoakTarget]
    log: PromiseLog
    random: Random
    runs: Counter
    is_reset_allowed: Callable[[Route], bool]
    outcomes: list[CallOutcome] = field(default_factory=list)
    ports: Iterator[int] = field(default_factory=lambda: count(2000))
    numbers: Iterator[int] = field(default_factory=count)

    def check_reset(self, flow: ClientFlow) -> None:
        """Note a breach if a target that lives holds the flow that was reset.

        Targets of the soak send no resets.
        """
        if not flow.is_open or self.is_reset_allowed(flow.route):
            return
        for target in self.targets:
            held = target.flows.get(flow.key)
            if held is not None and held.is_open:
                detail = f"port {flow.port}, held by {target.name}"
                self.log.breach(Promise.OPEN_FLOW, current_time(), detail)

    async def call(self, route: Route, *, requests: int, pause_s: float) -> None:
        """Make some requests on one flow, with pauses, and begin anew if it breaks."""
        for _ in range(requests):
            began_at = current_time()
            is_served = await self._call_once(route, pause_s)
            self.outcomes.append(CallOutcome(began_at, is_served))

    async def keep_flow(self, route: Route, *, requests: int, pause_s: float) -> None:
        """Send requests on one flow while it lasts."""
        flow, send = self._new_flow(route)
        try:
            if not await flow.open():
                return
            for _ in range(requests):
                request = f"kept-{next(self.numbers)}"
                if not await flow.exchange(request):
                    return
                await sleep(pause_s)
            await flow.close()
        except FlowResetError:
            return
        finally:
            self.router.clients.pop(flow.port, None)
            send.close()

    async def _call_once(self, route: Route, pause_s: float) -> bool:
        """Make one request that must not be repeated; retry while it has not run."""
        request = f"once-{next(self.numbers)}"
        for _ in range(MAX_TRIES):
            flow, send = self._new_flow(route)
            try:
                if not await flow.open():
                    continue
                is_served = await flow.exchange(request)
                await flow.close()
                await sleep(pause_s)
                return is_served
            except FlowResetError:
                if flow.is_open:
                    return False
            finally:
                self.router.clients.pop(flow.port, None)
                send.close()
        return False

    def _new_flow(self, route: Route):
        send, receive = open_memory_channel[FlowPacket](CHANNEL_PACKETS)
        port = next(self.ports)
        self.router.clients[port] = send
        return ClientFlow(self, route, port, receive), send

    def check_runs(self, now: float) -> None:
        """Note requests that ran more often than once."""
        for request, runs in self.runs.items():
            if request.startswith("once-") and runs > 1:
                self.log.breach(
                    Promise.AT_MOST_ONCE, now, f"{request} ran {runs} times"
                )
