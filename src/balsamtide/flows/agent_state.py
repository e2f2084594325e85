"""State of an agent: its target and the flows there."""

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING, Any

from balsamtide.fleet.view import FlowConfiguration, FlowTarget, WarmUp
from balsamtide.fleet.view_gossip import ViewGossip
from balsamtide.flows.evacuation import ZoneEvacuation
from balsamtide.flows.events import TARGET_COLD
from balsamtide.flows.fair_share import FairShareOrder
from balsamtide.flows.flow_queue import FlowClass, FlowQueue, QueueOrder
from balsamtide.flows.local_flows import LocalFlow, LocalFlows
from balsamtide.flows.metrics import PACKETS
from balsamtide.flows.packet import PacketCodec, service_address
from balsamtide.flows.processor import FlowProcessor
from balsamtide.flows.rebalancing import QueueRebalancing
from balsamtide.flows.spillover import SpilloverPolicy
from balsamtide.flows.warm_up import WarmUpLimiter
from balsamtide.protocol.flow_actions import Action, ToTarget
from balsamtide.protocol.flow_frames import (
    Carry,
    service_tag,
)
from balsamtide.telemetry.sink import Sink

if TYPE_CHECKING:
    # Loaded only by processes that share loads.
    from balsamtide.flows.load_table import LoadTable

__all__ = ["AgentState", "PendingHandshake", "ForwardedFlow"]

# A target answers a SYN at once; allows several scheduling delays of a slow target.
HANDSHAKE_TIMEOUT_S = 0.1
# Flows delivered beyond the target's capacity, so that the handshake of the next
# request overlaps with the processing of the current one.
MAX_OVERCOMMIT = 1
# Initial mean service time, as a fraction of the latency objective.
INITIAL_SERVICE_TIME_RATIO = 0.2
# Timers run several times within this time, unless the process was suspended.
SUSPENSION_S = 1.0
# Time after a suspension in which digests of peers bring a new view; they are sent
# every 0.25 s.  It is limited because the store may be unavailable.
CATCH_UP_S = 0.5
# Shortest mean service time by which a wait is expressed as a load.
MIN_SERVICE_TIME_S = 0.001
# Flows with shorter requests are not queued: a slot is idle during the handshake of a
# queued flow, and its 5 ms would exceed a quarter of the service time.
MIN_QUEUED_SERVICE_TIME_S = 0.02


@dataclass(frozen=True, slots=True)
class ForwardedFlow:
    """Agent that a new flow was forwarded to; valid until ``expires_at``."""

    host: int
    client_isn: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class PendingHandshake:
    """A SYN that the target has not answered yet."""

    carry: Carry
    delivered_at: float

    @property
    def deadline(self) -> float:
        """Time at which the target counts as unresponsive."""
        return self.delivered_at + HANDSHAKE_TIMEOUT_S


class AgentState(FlowProcessor):
    """State shared by all parts of an agent.

    Parameters
    ----------
    host : int
        IPv4 address of this instance, as a number.
    service : str
        Service of the target.
    packets : PacketCodec
        Codec of the platform's packets.
    gossip : ViewGossip
        Replica of routes and targets.
    spillover : SpilloverPolicy
        Accepts, forwards or refuses new flows.
    rebalancing : QueueRebalancing
        Moves queued flows to targets that were added.
    order : QueueOrder
        Order in which queued flows are delivered.
    sink : Sink
        Receives events and metrics.
    flow_lifetime_s : float
        Longest lifetime of a flow, in seconds.
    now : float
        Local time of the start, in seconds.
    evacuation : ZoneEvacuation or None
        As for `FlowProcessor`.
    limiter : WarmUpLimiter or None
        Limits the SYNs that the target gets while it is cold; None for no limit.
    loads : LoadTable or None
        Loads that are shared with other processes.
    fair_share : FairShareOrder or None
        Shares the target's time among classes of callers; it replaces ``order``.
    """

    def __init__(
        self,
        *,
        host: int,
        service: str,
        packets: PacketCodec,
        gossip: ViewGossip,
        spillover: SpilloverPolicy,
        rebalancing: QueueRebalancing,
        order: QueueOrder,
        sink: Sink,
        flow_lifetime_s: float,
        now: float,
        evacuation: ZoneEvacuation | None = None,
        limiter: WarmUpLimiter | None = None,
        loads: "LoadTable | None" = None,
        fair_share: FairShareOrder | None = None,
    ) -> None:
        super().__init__(
            host=host,
            packets=packets,
            gossip=gossip,
            sink=sink,
            evacuation=evacuation,
        )
        self.limiter = limiter
        self.spillover = spillover
        self.rebalancing = rebalancing
        self.loads = loads
        # Agents whose targets were available at the last change of the view, None
        # before the first one.
        self.seen_hosts: frozenset[int] | None = None
        self.flow_lifetime_s = flow_lifetime_s
        # At first the target may have flows older than this process.  Comparing the
        # start times of both would be wrong if the wall clock jumped in between.
        self.flows = LocalFlows(complete_at=now + flow_lifetime_s)
        self.queue = FlowQueue(order=fair_share or order)
        self.fair_share = fair_share
        self.forwarded: dict[bytes, ForwardedFlow] = {}
        self.pending_handshakes: dict[bytes, PendingHandshake] = {}
        # Local time until which the target is known not to have a flow, by flow key.
        self.absent_until: dict[bytes, float] = {}
        self.unresponsive_since = inf
        self.next_probe_at = -inf
        self.last_packet_at = -inf
        self.last_tick_at = now
        # Local time until which only a fresh view proves that the zone takes flows.
        self.caught_up_at = -inf
        self.is_stopping = False
        self.next_return_at = -inf
        self.next_sweep_at = now
        self.next_queue_check_at = inf
        self.set_service(service)

    def set_service(self, service: str) -> None:
        """Set the service of the target after a change of the settings."""
        self.service = service
        # Configuration from which the initial service time was computed.
        self.assumed_from: FlowConfiguration | None = None
        self.assumed_service_time_s = 0.0
        self.service_tag = service_tag(service)

    # The target

    def own_target(self) -> FlowTarget | None:
        """Return this agent's target as listed in the view."""
        return self.view.by_host.get(self.host)

    def _unavailable_reason(self, now: float) -> str:
        """Return why the target gets no new flows, or an empty string."""
        if self.is_stopping:
            return "stopping"
        withheld = self._withheld_reason(now)
        if withheld:
            return withheld
        target = self.own_target()
        if target is None:
            return "gone" if self.gossip.is_fresh(now) else ""
        if target.service != self.service:
            return "other-service"
        if not target.takes_new_flows(now):
            return target.state.value
        if self.unresponsive_since < inf and now < self.next_probe_at:
            return "silent"
        return ""

    def _withheld_reason(self, now: float) -> str:
        """Return why the target gets no SYN at all, not even a retransmitted one."""
        evacuation = self.evacuation
        if self.view.evacuated_zones is not evacuation.zones:
            self.update_zones(now)
        if evacuation.phases:
            target = self.own_target()
            zone = target.zone if target else evacuation.zone
            if evacuation.share(zone, self.service, self.view, now) <= 0.0:
                return "evacuated"
        if evacuation.timeout_s is None:
            return ""
        self._detect_suspension(now)
        is_behind = now < self.caught_up_at and not self.gossip.is_fresh(now)
        return "suspended" if is_behind else ""

    def _detect_suspension(self, now: float) -> None:
        """Start to wait for a fresh view if the timers did not run for too long.

        Packets that arrived meanwhile may be for a zone that is evacuated by now.
        """
        if now > self.last_tick_at + SUSPENSION_S:
            self.last_tick_at = now
            self.caught_up_at = now + CATCH_UP_S

    def _needs_view(self) -> bool:
        """Whether the settings allow what can't be known without a view.

        That is whether the zone is evacuated, and whether the target is cold.
        """
        return self.evacuation.timeout_s is not None or self.limiter is not None

    def _is_known_absent(self, key: bytes, now: float) -> bool:
        """Whether the target certainly does not have a flow missing from the table."""
        is_table_complete = now >= self.flows.complete_at
        return is_table_complete or now < self.absent_until.get(key, -inf)

    def _capacity(self) -> int:
        target = self.own_target()
        return target.capacity if target else 1

    def load(self, now: float) -> float:
        """Return the active and queued requests per slot of the target."""
        return self._demand(now) / self._capacity()

    def has_requests(self, now: float) -> bool:
        """Whether the target or the queue has requests."""
        return self.flows.busy(now) + len(self.queue) > 0

    def _demand(self, now: float) -> float:
        """Return the number of requests at the target and of queued flows.

        At a cold target that gets no SYN now, return the number after which a new flow
        would wait as long as it has to, so that `SpilloverPolicy` and other processes
        need not know the reason of the wait.
        """
        demand = self.flows.busy(now) + len(self.queue)
        if self.limiter is None:
            return demand
        wait_s = self._warm_up_wait_s(now, len(self.queue))
        if wait_s <= 0.0:
            return demand
        capacity = self._capacity()
        service_time_s = max(self._service_time_s(), MIN_SERVICE_TIME_S)
        return max(demand, capacity, capacity - 1 + capacity * wait_s / service_time_s)

    # Cold start of the target

    def _cold_warm_up(self, now: float) -> WarmUp | None:
        """Return the warm-up of the target's service while it limits new flows."""
        if self.limiter is None:
            return None
        warm_up = self.view.configuration.warm_ups.get(self.service)
        target = self.own_target()
        is_warm = target is not None and now >= target.warm_at
        return None if is_warm and now >= self.limiter.assumed_until else warm_up

    def _warm_up_wait_s(self, now: float, ahead: int = 0) -> float:
        """Return how long the target is too cold for a SYN behind ``ahead`` others."""
        if self.limiter is None:
            return 0.0
        warm_up = self._cold_warm_up(now)
        if warm_up is None:
            return 0.0
        return self.limiter.admits_at(warm_up, ahead, now) - now

    def _assume_cold(self, reason: str, now: float) -> None:
        """Limit new flows because the target may have restarted."""
        if self.limiter is None:
            return
        warm_up = self.view.configuration.warm_ups.get(self.service)
        if warm_up is not None:
            self.limiter.assume_cold(warm_up, now)
            self.sink.event(
                TARGET_COLD, reason=reason, lasts_ms=round(warm_up.lasts_s * 1000)
            )

    def _record_demand(self, now: float) -> None:
        """Record a change of the demand for the mean that peers get."""
        if self.loads is not None:
            demand = len(self.flows.active) + len(self.queue)
            self.loads.meter.update(demand, now)

    def _may_deliver(self, now: float) -> bool:
        """Whether a new flow is delivered now instead of queued.

        True also without a free slot if requests are too short to be queued, or if
        `MAX_OVERCOMMIT` allows one more; false while a cold target gets no SYN.
        """
        if self.limiter is not None and self._warm_up_wait_s(now) > 0.0:
            return False
        if self._service_time_s() < MIN_QUEUED_SERVICE_TIME_S:
            return True
        return self.flows.busy(now) < self._capacity() + MAX_OVERCOMMIT

    def _service_time_s(self) -> float:
        """Return the mean service time, initially a fraction of the objective."""
        if self.flows.service_time_s:
            return self.flows.service_time_s
        configuration = self.view.configuration
        if configuration is not self.assumed_from:
            # Kept, since it is asked for with each packet and a configuration may have
            # thousands of routes.
            self.assumed_from = configuration
            objectives = [
                route.objective_s
                for route in configuration.routes.values()
                if any(service == self.service for service, _ in route.shares)
            ]
            shortest_s = min(objectives, default=0.0)
            self.assumed_service_time_s = INITIAL_SERVICE_TIME_RATIO * shortest_s
        return self.assumed_service_time_s

    def _enabled_fair_share(self) -> FairShareOrder | None:
        """Return the fair shares if the configuration in force enables them."""
        fair_share = self.fair_share
        if fair_share is None:
            return None
        if not fair_share.configure(self.view.configuration, self.service):
            return None
        fair_share.set_target(
            capacity=self._capacity(), service_time_s=self._service_time_s()
        )
        return fair_share

    def _flow_class(self, flow: LocalFlow) -> FlowClass:
        """Return the class of an open flow."""
        route = self.view.route(service_address(flow.key))
        return FlowClass(route.name if route else "", flow.client_zone)

    def _known_flow(self, key: bytes, now: float) -> LocalFlow | None:
        return self.flows.get(key, now, self.idle_timeout_s)

    def _new_flow(
        self, key: bytes, last_balancer: int, now: float, **fields: Any
    ) -> LocalFlow:
        """Add a flow to the table and return it."""
        flow = LocalFlow(
            key,
            last_balancer,
            delivered_at=now,
            last_packet_at=now,
            kept_until=now + self.flow_lifetime_s,
            **fields,
        )
        self.flows.add(flow)
        return flow

    def _send_to_target(self, raw: bytes) -> Action:
        self.sink.count(PACKETS, direction="to-target")
        return ToTarget(raw)

    def _send_syn(self, raw: bytes, now: float) -> Action:
        if self.limiter is not None:
            self.limiter.record(now)
        return self._send_to_target(raw)

    def _elapsed(self, handshake: PendingHandshake, now: float) -> float:
        """Return the seconds since the balancer received the SYN."""
        return handshake.carry.elapsed_s + now - handshake.delivered_at
