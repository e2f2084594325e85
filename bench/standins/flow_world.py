"""A small fleet in virtual time: clients, routers, targets and the real decisions.

Balancers and agents are the product's own decision classes; the network, the clients
and the targets are simulated.  Everything follows from a seed.
"""

from bisect import bisect
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random
from zlib import crc32

from balsamtide.fleet.view import (
    FleetView,
    FlowConfiguration,
    FlowRoute,
    FlowTarget,
    TargetState,
    WarmUp,
)
from balsamtide.fleet.view_gossip import ViewGossip
from balsamtide.flows.evacuation import ZoneEvacuation
from balsamtide.flows.fair_share import FairShareOrder
from balsamtide.flows.flow_agent import FlowAgent
from balsamtide.flows.flow_balancer import FlowBalancer
from balsamtide.flows.flow_queue import ObjectiveOrder, QueueOrder
from balsamtide.flows.packet import FlowPacket
from balsamtide.flows.placement import LeastLoadedPlacement, PlacementPolicy
from balsamtide.flows.rebalancing import MoveShareOfNewTargets, QueueRebalancing
from balsamtide.flows.spillover import LoadSpillover, SpilloverPolicy
from balsamtide.flows.warm_up import WarmUpLimiter
from balsamtide.platform.packets import (
    ACK,
    FIN,
    HEADER,
    MAX_DATA_BYTES,
    RESET,
    RETURNED,
    SYN,
    WirePackets,
)
from balsamtide.protocol.flow_actions import Action, SendFrame, ToClient, ToTarget
from balsamtide.telemetry.memory_sink import MemorySink
from balsamtide.telemetry.sink import Sink

__all__ = [
    "FlowWorld",
    "Request",
    "RequestKind",
    "ServedShare",
    "Target",
    "WorldOptions",
]

SERVICE = "orders"
SERVICE_ADDRESS = (0xC6120001, 8443)
FIRST_BALANCER = 0x0A010001
FIRST_AGENT = 0x0A020001
FIRST_CLIENT = 0x64400001
INNER_DELAY_S = 0.0005
CLIENT_DELAY_S = 0.001
COPY_TIMES_S = (0.2, 0.6)
PATIENCE_S = 1.4
RETRANSMIT_S = 0.2
LONGEST_LATENESS_S = 1.0
# Clients take resets of open flows within so many octets of their acknowledgement.
RESET_WINDOW = 76_800
# Where a packet has its sum.
SUM = slice(4, 8)
REQUEST_BYTES = 100
PACKET_GAP_S = 0.005
ANSWER_BYTES = 600
TICK_S = 0.005
START = 1000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """A kind of request with its own route.

    Parameters
    ----------
    name : str
        Name of the route.
    rate : float
        Requests per second.
    work_s, objective_s, timeout_s : float
        As in `WorldOptions`.
    priority : int
        Priority of the route.
    request_packets : int
        As in `WorldOptions`.
    flows : int
        Long-lived flows that carry the requests; 0 for one flow each.
    requests_per_flow : int
        Requests after which a long-lived flow is replaced.
    """

    name: str
    rate: float
    work_s: float
    objective_s: float
    timeout_s: float
    priority: int
    request_packets: int = 1
    flows: int = 0
    requests_per_flow: int = 50


@dataclass(frozen=True, slots=True, kw_only=True)
class WorldOptions:
    """What a world is made of.

    Parameters
    ----------
    balancers, targets : int
        Numbers of them.
    capacity : int
        Requests that a target processes at once.
    server_queue : int
        Requests that wait at a target before it rejects.
    work_s : float
        Mean time of a request.
    objective_s, timeout_s : float
        Latency objective and deadline of a request.
    retries : int
        Further tries of a client.
    request_packets : int
        Packets of a request, one each `PACKET_GAP_S`.
    loss : float
        Share of packets that are lost.
    late_copies : float
        Share of opening packets of which a copy arrives late, at any balancer.
    seed : int
        Of everything random.
    kinds : tuple of RequestKind
        Kinds of requests, each with its own route; empty for one kind by the
        attributes above.
    zones : int
        Availability zones, over which processes and clients are spread.
    zone_delay_s : float
        Additional delay of frames between zones.
    retry_delay_s : float
        Longest time that a client waits before a further try; the time is uniformly
        distributed.
    reset_spread_s : float
        Longest additional delay of resets of flows that were not opened.
    warm_up : WarmUp or None
        Cold start of the targets.  A cold target that got more openings than its rate
        within the last second takes as many times as long for a request.
    evacuation_timeout_s : float or None
        Bound for evacuations.
    """

    balancers: int = 4
    targets: int = 7
    capacity: int = 1
    server_queue: int = 4
    work_s: float = 0.013
    objective_s: float = 0.1
    timeout_s: float = 0.5
    retries: int = 2
    request_packets: int = 1
    loss: float = 0.0
    late_copies: float = 0.0
    seed: int = 1
    kinds: tuple[RequestKind, ...] = ()
    zones: int = 1
    zone_delay_s: float = 0.0
    retry_delay_s: float = 0.0
    reset_spread_s: float = 0.0
    warm_up: WarmUp | None = None
    evacuation_timeout_s: float | None = None


@dataclass(slots=True)
class Request:
    """One request of a client, over all its tries.

    Parameters
    ----------
    began_at : float
        When it was first tried.
    work_s : float
        Time that it takes at a target.
    port : int
        Client's port of the present try.
    tries : int
        Tries so far.
    accepted : int or None
        Sequence of the handshake that the client took.
    answered_at : float or None
        When the answer came.
    is_over : bool
        Whether the client ended it.
    runs : int
        How often a target began to work on it.
    resets : int
        Resets of the fleet's own that came while the flow was open.
    kind : RequestKind
        Its kind.
    zone : int
        Availability zone of the client.
    sequence : int
        Sequence number of its first octet.
    acknowledgement : int
        What its packets acknowledge.
    uses : int
        Requests that its flow has carried before.
    refusals, rejections : int
        Resets by the fleet before the flow was open, and by targets.
    """

    began_at: float
    work_s: float
    kind: RequestKind
    zone: int = 0
    sequence: int = 0
    acknowledgement: int = 0
    uses: int = 0
    refusals: int = 0
    rejections: int = 0
    port: int = 0
    tries: int = 0
    accepted: int | None = None
    answered_at: float | None = None
    is_over: bool = False
    runs: int = 0
    resets: int = 0


@dataclass(slots=True)
class Target:
    """A simulated target.

    Parameters
    ----------
    host : int
        Its instance.
    """

    host: int
    is_silent: bool = False
    is_draining: bool = False
    slowness: float = 1.0
    flows: dict[tuple[int, int], int] = field(default_factory=dict)
    running: int = 0
    queue: list[tuple[Request, FlowPacket]] = field(default_factory=list)
    started: set[tuple[int, int]] = field(default_factory=set)
    parts: dict[tuple[int, int], set[int]] = field(default_factory=dict)
    openings: int = 0
    opened_at: list[float] = field(default_factory=list)
    warm_at: float = 0.0

    def max_openings(self, begin: float, end: float) -> int:
        """Return the most openings within a second that begins in a time."""
        times = [time for time in self.opened_at if begin <= time < end]
        return max((bisect(times, t + 1) - n for n, t in enumerate(times)), default=0)


@dataclass(frozen=True, slots=True)
class ServedShare:
    """Shares of requests by outcome."""

    in_objective: float
    late: float
    failed: float


class FlowWorld:
    """Plays requests through balancers and agents.

    Parameters
    ----------
    options : WorldOptions
        Sizes and rates.
    placement : callable or None
        Makes the policy of a balancer from a random source.
    spillover : callable or None
        Makes the policy of an agent.
    order : QueueOrder or None
        Order of waiting openings.
    fair_share : callable or None
        Makes the fair shares of an agent, which replace ``order``.
    rebalancing : callable or None
        Makes the policy of an agent for targets that are added.
    limiter : callable or None
        Makes the limit of an agent for its cold target from the time of its start.
    """

    def __init__(
        self,
        options: WorldOptions,
        *,
        placement: Callable[[Random], PlacementPolicy] | None = None,
        spillover: Callable[[Random], SpilloverPolicy] | None = None,
        order: QueueOrder | None = None,
        fair_share: Callable[[Sink], FairShareOrder] | None = None,
        rebalancing: Callable[[Random], QueueRebalancing] | None = None,
        limiter: Callable[[float], WarmUpLimiter] | None = None,
    ) -> None:
        self.options = options
        self.kinds = options.kinds or (
            RequestKind(
                name="r",
                rate=0.0,
                work_s=options.work_s,
                objective_s=options.objective_s,
                timeout_s=options.timeout_s,
                priority=1,
                request_packets=options.request_packets,
            ),
        )
        # Open flows without a request, as the last request on them, by kind and zone.
        self.idle: dict[tuple[str, int], list[Request]] = {}
        self.open_flows: Counter[tuple[str, int]] = Counter()
        self.random = Random(options.seed)
        # Apart, so that policies are compared under the same load.
        self.load_random = Random(options.seed)
        self.packets = WirePackets()
        self.now = START
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()
        self.ports = count(1024)
        self.requests: dict[int, Request] = {}
        self.finished: list[Request] = []
        self.sink = MemorySink()
        self.targets = {
            FIRST_AGENT + n: Target(FIRST_AGENT + n) for n in range(options.targets)
        }
        self.view = self._make_view()
        make_placement = placement
        self.make_spillover = spillover or (lambda random: LoadSpillover(random=random))
        self.order = order or ObjectiveOrder()
        self.fair_share = fair_share
        self.make_rebalancing = rebalancing or (
            lambda random: MoveShareOfNewTargets(random=random)
        )
        self.make_limiter = limiter or (lambda now: None)
        self.balancers = {
            FIRST_BALANCER + n: self._make_balancer(FIRST_BALANCER + n, make_placement)
            for n in range(options.balancers)
        }
        self.down: set[int] = set()
        self.agents = {host: self.make_agent(host) for host in self.targets}
        self._tick()

    # Parts

    def _make_view(self) -> FleetView:
        options = self.options
        routes = {
            self.address(kind): FlowRoute(
                name=kind.name,
                shares=((SERVICE, 1),),
                timeout_s=kind.timeout_s,
                objective_s=kind.objective_s,
                priority=kind.priority,
            )
            for kind in self.kinds
        }
        targets = {
            f"i-{host:08x}": FlowTarget(
                name=f"i-{host:08x}",
                service=SERVICE,
                host=host,
                port=80,
                zone=self.zone_name(host),
                capacity=options.capacity,
                state=TargetState.READY,
            )
            for host in self.targets
        }
        configuration = FlowConfiguration(
            version=1,
            routes=routes,
            services=frozenset({SERVICE}),
            idle_timeout_s=15.0,
            warm_ups={SERVICE: options.warm_up} if options.warm_up else {},
        )
        return FleetView(revision=1, configuration=configuration, targets=targets)

    def address(self, kind: RequestKind) -> tuple[int, int]:
        """Return the service address of a kind of request."""
        return SERVICE_ADDRESS[0], SERVICE_ADDRESS[1] + self.kinds.index(kind)

    def zone(self, host: int) -> int:
        """Return the number of a process's availability zone."""
        return host % self.options.zones

    def zone_name(self, host: int) -> str:
        """Return the name of a process's availability zone."""
        return f"z{self.zone(host)}" if self.options.zones > 1 else "z"

    def _make_gossip(self, host: int) -> ViewGossip:
        gossip = ViewGossip(host=host, seeds=(), random=self.random, now=self.now)
        gossip.view = self.view
        gossip.confirmed_at = self.now
        gossip.digest_at = float("inf")
        gossip.has_seen_peer = True
        return gossip

    def _make_balancer(
        self, host: int, placement: Callable[[Random], PlacementPolicy] | None
    ) -> FlowBalancer:
        default = LeastLoadedPlacement(zone=self.zone_name(host), random=self.random)
        return FlowBalancer(
            host=host,
            packets=self.packets,
            gossip=self._make_gossip(host),
            placement=placement(self.random) if placement else default,
            sink=self.sink,
            evacuation=self._make_evacuation(),
            client_zone=self.zone(host) + 1 if self.options.zones > 1 else 0,
        )

    def make_agent(self, host: int) -> FlowAgent:
        """Return a new agent, as after a start."""
        return FlowAgent(
            host=host,
            service=SERVICE,
            packets=self.packets,
            gossip=self._make_gossip(host),
            spillover=self.make_spillover(self.random),
            rebalancing=self.make_rebalancing(self.random),
            order=self.order,
            sink=self.sink,
            flow_lifetime_s=60.0,
            now=self.now,
            evacuation=self._make_evacuation(),
            limiter=self.make_limiter(self.now),
            fair_share=self.fair_share(self.sink) if self.fair_share else None,
        )

    def _make_evacuation(self) -> ZoneEvacuation:
        return ZoneEvacuation(timeout_s=self.options.evacuation_timeout_s)

    def restart_balancer(self, host: int) -> None:
        """Replace a balancer by one that knows no flows."""
        policy = self.balancers[host].placement
        self.balancers[host] = self._make_balancer(host, lambda _: policy)

    def publish(self, view: FleetView) -> None:
        """Make every process know a view at once."""
        self.view = view
        for process in (*self.balancers.values(), *self.agents.values()):
            process.gossip.view = view
        for host, agent in self.agents.items():
            if host not in self.down:
                self._act(host, agent.view_changed(self.now))

    def evacuate(self, *zones: str) -> None:
        """Evacuate these zones and no others."""
        view = self.view.changed(
            revision=self.view.revision + 1, evacuated_zones=frozenset(zones)
        )
        self.publish(view)

    def start_cold(self, *hosts: int) -> None:
        """Restart targets, with no flows and cold."""
        changes: dict[str, FlowTarget | None] = {}
        for target in self.view.targets.values():
            if target.host in hosts and self.options.warm_up is not None:
                warm_at = self.now + self.options.warm_up.lasts_s
                self.targets[target.host].warm_at = warm_at
                self.targets[target.host].flows.clear()
                started_ms = round(self.now * 1000)
                changes[target.name] = replace(
                    target, warm_at=warm_at, started_ms=started_ms
                )
        self.publish(
            self.view.changed(revision=self.view.revision + 1, targets=changes)
        )

    # Time

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Call something at a time."""
        heappush(self.events, (time, next(self.numbers), call))

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call something after a delay."""
        self.at(self.now + delay_s, call)

    def run_until(self, end: float) -> None:
        """Play until a time."""
        while self.events and self.events[0][0] <= end:
            self.now, _, call = heappop(self.events)
            call()
        self.now = end

    def _tick(self) -> None:
        for host, process in (*self.balancers.items(), *self.agents.items()):
            process.gossip.confirmed_at = self.now
            if host not in self.down:
                self._act(host, process.tick(self.now))
        self.after(TICK_S, self._tick)

    # Network

    def _is_lost(self) -> bool:
        return self.options.loss > 0 and self.random.random() < self.options.loss

    def _act(self, host: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendFrame):
                self._send_frame(host, action)
            elif isinstance(action, ToTarget):
                packet = self.packets.decode(action.packet)
                self._target_receives(self.targets[host], packet)
            elif isinstance(action, ToClient) and not self._is_lost():
                packet = self.packets.decode(action.packet)
                delay_s = CLIENT_DELAY_S
                if packet.is_reset and self.options.reset_spread_s:
                    delay_s += self.random.uniform(0.0, self.options.reset_spread_s)
                self.after(delay_s, lambda p=packet: self._client_receives(p))

    def _send_frame(self, source: int, action: SendFrame) -> None:
        def arrive() -> None:
            process = self.balancers.get(action.host) or self.agents.get(action.host)
            if process is not None and action.host not in self.down:
                self._act(
                    action.host, process.receive_frame(action.frame, source, self.now)
                )

        if not self._is_lost():
            is_in_zone = self.zone(source) == self.zone(action.host)
            delay_s = 0.0 if is_in_zone else self.options.zone_delay_s
            self.after(INNER_DELAY_S + delay_s, arrive)

    def _route(self, packet: bytes) -> None:
        """Hand a client's packet to the balancer that the routers choose."""
        decoded = self.packets.decode(packet)
        request = self.requests.get(decoded.source[1])
        zone = request.zone if request else 0
        live = [
            host
            for host in self.balancers
            if host not in self.down and self.zone(host) == zone
        ]
        if not live or self._is_lost():
            return
        key = decoded.client_key
        host = max(live, key=lambda host: crc32(host.to_bytes(4, "big") + key))
        self._hand_to(host, packet)

    def _route_anywhere(self, packet: bytes) -> None:
        self._hand_to(self.random.choice(list(self.balancers)), packet)

    def _hand_to(self, host: int, packet: bytes) -> None:
        def arrive() -> None:
            if host not in self.down:
                actions = self.balancers[host].receive_packet(packet, self.now)
                self._act(host, actions)

        self.after(CLIENT_DELAY_S, arrive)

    # Clients

    def request(
        self,
        work_s: float | None = None,
        *,
        kind: RequestKind | None = None,
        zone: int = 0,
    ) -> Request:
        """Begin a request now, on an open flow if its kind has one that is idle."""
        kind = kind or self.kinds[0]
        work_s = work_s or self.load_random.expovariate(1 / kind.work_s)
        request = Request(self.now, work_s, kind, zone)
        idle = self.idle.get((kind.name, zone), [])
        if idle and self.open_flows[kind.name, zone] >= kind.flows / self.options.zones:
            # A client has its own flow, so that any of them may be used next.
            index = self.load_random.randrange(len(idle))
            idle[index], idle[-1] = idle[-1], idle[index]
            self._use_flow(request, idle.pop())
        else:
            self._try(request)
        self.after(kind.timeout_s, lambda: self._end(request))
        return request

    def _use_flow(self, request: Request, last: Request) -> None:
        """Send a request on the open flow of an earlier one."""
        request.tries = 1
        request.port, request.accepted = last.port, last.accepted
        request.uses = last.uses + 1
        request.sequence = last.sequence + REQUEST_BYTES
        request.acknowledgement = last.acknowledgement + ANSWER_BYTES
        self.requests[request.port] = request
        self._send_request(request, request.port, RETRANSMIT_S)

    def _release_flow(self, request: Request) -> None:
        """Keep the flow of an answered request, or replace it after many requests."""
        kind, place = request.kind, (request.kind.name, request.zone)
        if kind.flows and request.uses + 1 < kind.requests_per_flow:
            self.idle.setdefault(place, []).append(request)
        elif kind.flows:
            self.open_flows[place] -= 1

    def _end(self, request: Request) -> None:
        if not request.is_over:
            request.is_over = True
            self.finished.append(request)
            if request.answered_at is None:
                self._lose_flow(request)

    def _lose_flow(self, request: Request) -> None:
        if request.kind.flows and request.accepted is not None:
            self.open_flows[request.kind.name, request.zone] -= 1
        request.accepted = None

    def _try(self, request: Request) -> None:
        request.tries += 1
        request.port = next(self.ports)
        request.accepted = None
        request.uses = 0
        request.sequence = request.port * 1000 + 1
        self.requests[request.port] = request
        port = request.port
        self._send_opening(request, port, 0)
        for copy, delay_s in enumerate(COPY_TIMES_S, 1):
            self.after(delay_s, lambda c=copy: self._send_opening(request, port, c))
        self.after(PATIENCE_S, lambda: self._give_up_opening(request, port))

    def _send_opening(self, request: Request, port: int, copy: int) -> None:
        if request.port == port and request.accepted is None and not request.is_over:
            address = self.address(request.kind)
            packet = self.packet(port, SYN, port * 1000, copy, address=address)
            self._route(packet)
            if self.random.random() < self.options.late_copies:
                delay_s = self.random.uniform(0.0, LONGEST_LATENESS_S)
                self.after(delay_s, lambda: self._route_anywhere(packet))

    def _give_up_opening(self, request: Request, port: int) -> None:
        if request.port == port and request.accepted is None:
            self._retry(request)

    def _retry(self, request: Request) -> None:
        if request.is_over:
            return
        if request.tries > self.options.retries:
            self._end(request)
        elif self.options.retry_delay_s:
            request.port = 0
            delay_s = self.random.uniform(0.0, self.options.retry_delay_s)
            self.after(delay_s, lambda: request.is_over or self._try(request))
        else:
            self._try(request)

    def packet(
        self,
        port: int,
        flags: int,
        sequence: int,
        acknowledgement: int,
        data: int = 0,
        *,
        address: tuple[int, int] = SERVICE_ADDRESS,
    ) -> bytes:
        """Return a packet of the client with this port."""
        head = HEADER.pack(
            0,
            1,
            flags,
            FIRST_CLIENT,
            address[1],
            port,
            address[0],
            data,
            sequence,
            acknowledgement,
        )
        return head + bytes(data)

    def _client_receives(self, packet: FlowPacket) -> None:
        request = self.requests.get(packet.destination[1])
        is_current = request is not None and request.port == packet.destination[1]
        if request is None or not is_current or request.is_over:
            return
        if packet.is_reset:
            self._take_reset(request, packet)
        elif packet.is_syn:
            if request.accepted is None:
                request.accepted = packet.sequence
                request.acknowledgement = packet.sequence + 1
                self.open_flows[request.kind.name, request.zone] += 1
                self._send_request(request, request.port, RETRANSMIT_S)
        elif packet.length and packet.sequence == request.acknowledgement:
            request.answered_at = self.now
            self._end(request)
            self._release_flow(request)

    def _take_reset(self, request: Request, packet: FlowPacket) -> None:
        if request.accepted is not None:
            distance = (packet.sequence - request.accepted) % (1 << 32)
            if RESET_WINDOW < distance < (1 << 32) - RESET_WINDOW:
                return
            # Resets of the fleet's own have no sum.
            request.resets += packet.raw[SUM] == bytes(4)
            request.rejections += packet.raw[SUM] != bytes(4)
            self._lose_flow(request)
        else:
            request.refusals += 1
        self._retry(request)

    def _send_request(self, request: Request, port: int, wait_s: float) -> None:
        if request.port != port or request.is_over or request.accepted is None:
            return
        sequence = request.sequence
        parts = request.kind.request_packets
        for part in range(parts):
            size = REQUEST_BYTES if part == parts - 1 else MAX_DATA_BYTES
            packet = self.packet(
                port,
                ACK,
                sequence,
                request.acknowledgement,
                size,
                address=self.address(request.kind),
            )
            self.after(part * PACKET_GAP_S, lambda packet=packet: self._route(packet))
            sequence += size
        wait_s += parts * PACKET_GAP_S
        self.after(wait_s, lambda: self._send_request(request, port, 2 * wait_s))

    # Targets

    def _target_receives(self, target: Target, packet: FlowPacket) -> None:
        if target.is_silent:
            return
        client = packet.source
        if packet.is_opening:
            target.openings += 1
            target.opened_at.append(self.now)
            sequence = target.flows.setdefault(client, self.random.getrandbits(31))
            self._target_sends(target, packet, SYN | ACK, sequence, 0)
        elif not self._is_known(target, packet):
            returned = bytearray(packet.raw)
            returned[8] |= RETURNED
            self._from_target(target, bytes(returned))
        elif packet.length:
            request = self.requests[client[1]]
            number = client[1], request.sequence
            if packet.sequence < request.sequence or number in target.started:
                return
            parts = target.parts.setdefault(number, set())
            parts.add(packet.sequence)
            if len(parts) == request.kind.request_packets:
                target.started.add(number)
                self._take_request(target, request, packet)

    def _is_known(self, target: Target, packet: FlowPacket) -> bool:
        """Whether the target has the flow and has sent what a packet acknowledges."""
        sent = packet.acknowledgement - target.flows.get(packet.source, 1 << 32) - 1
        return sent >= 0 and sent % ANSWER_BYTES == 0

    def _take_request(
        self, target: Target, request: Request, packet: FlowPacket
    ) -> None:
        options = self.options
        if target.running < options.capacity:
            self._run(target, request, packet)
        elif len(target.queue) < options.server_queue:
            target.queue.append((request, packet))
        else:
            # A target that rejects a request says so and closes the flow.
            self._target_sends(target, packet, RESET, packet.acknowledgement, 0)

    def _run(self, target: Target, request: Request, packet: FlowPacket) -> None:
        target.running += 1
        request.runs += 1
        work_s = request.work_s * target.slowness * self._coldness(target)
        self.after(work_s, lambda: self._answer(target, request, packet))

    def _coldness(self, target: Target) -> float:
        warm_up = self.options.warm_up
        if warm_up is None or self.now >= target.warm_at:
            return 1.0
        recent = len(target.opened_at) - bisect(target.opened_at, self.now - 1)
        return max(1.0, recent / warm_up.rate)

    def _answer(self, target: Target, request: Request, packet: FlowPacket) -> None:
        target.running -= 1
        if target.is_silent:
            return
        # Before the answer, upon which the agent may deliver another request at once.
        if target.queue:
            self._run(target, *target.queue.pop(0))
        self._target_sends(
            target,
            packet,
            ACK if request.kind.flows else ACK | FIN,
            packet.acknowledgement,
            ANSWER_BYTES,
        )

    def _target_sends(
        self, target: Target, packet: FlowPacket, flags: int, sequence: int, data: int
    ) -> None:
        head = HEADER.pack(
            0,
            1,
            flags,
            packet.destination[0],
            packet.source[1],
            packet.destination[1],
            packet.source[0],
            data,
            sequence,
            packet.sequence + 1,
        )
        self._from_target(target, head + bytes(data))

    def _from_target(self, target: Target, data: bytes) -> None:
        agent = self.agents[target.host]
        if target.host not in self.down:
            self._act(target.host, agent.receive_from_target(data, self.now))

    # Loads

    def offer_load(self, rate: float, begin: float, end: float) -> None:
        """Begin requests at a mean rate a second, from ``begin`` to ``end``."""
        time = begin
        while True:
            time += self.load_random.expovariate(rate)
            if time >= end:
                return
            work_s = self.load_random.expovariate(1 / self.options.work_s)
            self.at(time, lambda work_s=work_s: self.request(work_s))

    def offer_kind(
        self,
        kind: RequestKind,
        begin: float,
        end: float,
        *,
        factor: float = 1.0,
        zone_weights: Sequence[float] = (),
    ) -> None:
        """Begin requests of a kind at a multiple of its rate.

        The zones of the clients are chosen by weight, or alike without weights.
        """
        zones = range(self.options.zones)
        time = begin
        while True:
            time += self.load_random.expovariate(kind.rate * factor)
            if time >= end:
                return
            work_s = self.load_random.expovariate(1 / kind.work_s)
            (zone,) = self.load_random.choices(zones, zone_weights or None)
            self.at(
                time,
                lambda work_s=work_s, zone=zone: self.request(
                    work_s, kind=kind, zone=zone
                ),
            )

    def asked(
        self, begin: float, end: float, *, kind: str = "", zone: int | None = None
    ) -> list[Request]:
        """Return the finished requests that began in a time."""
        return [
            request
            for request in self.finished
            if begin <= request.began_at < end
            and kind in ("", request.kind.name)
            and zone in (None, request.zone)
        ]

    def served(
        self, begin: float, end: float, *, kind: str = "", zone: int | None = None
    ) -> ServedShare:
        """Return how the requests that began in a time ended."""
        asked = self.asked(begin, end, kind=kind, zone=zone)
        if not asked:
            return ServedShare(0.0, 0.0, 0.0)
        answered = [r for r in asked if r.answered_at is not None]
        in_objective = sum(
            1 for r in answered if r.answered_at - r.began_at <= r.kind.objective_s
        )
        return ServedShare(
            in_objective / len(asked),
            (len(answered) - in_objective) / len(asked),
            (len(asked) - len(answered)) / len(asked),
        )
