"""What an agent knows of its target and of the flows there."""

from dataclasses import dataclass
from math import inf

from balsamtide.fleet.sharing import ViewSharing
from balsamtide.fleet.view import FlowTarget
from balsamtide.flows.flow_queue import FlowQueue, QueueOrder
from balsamtide.flows.local_flows import LocalFlows
from balsamtide.flows.metrics import PACKETS
from balsamtide.flows.packet import PacketCodec
from balsamtide.flows.processor import FlowProcessor
from balsamtide.flows.spillover import SpilloverPolicy
from balsamtide.protocol.flow_actions import Action, ToTarget
from balsamtide.protocol.flow_frames import (
    Carry,
    service_tag,
)
from balsamtide.telemetry.sink import Sink

__all__ = ["AgentState", "PendingHandshake", "ForwardedFlow"]

# A target answers an opening packet at once; some scheduling delays of a slow one.
HANDSHAKE_TIMEOUT_S = 0.1
# Openings that the target gets beyond its slots: the handshake of the next request then
# overlaps with the work on the present one.
MAX_OVERCOMMIT = 1
# Mean time of requests before one was measured, as a share of their latency objective.
INITIAL_SERVICE_TIME_RATIO = 0.2
# Openings of shorter requests are not held back: the slots would stand idle for a good
# part of the time while handshakes are under way.  Four handshakes of 5 ms.
MIN_QUEUED_SERVICE_TIME_S = 0.02


@dataclass(frozen=True, slots=True)
class ForwardedFlow:
    """Where a new flow was passed on to, until ``expires_at``."""

    host: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class PendingHandshake:
    """An opening packet that the target has not answered yet."""

    carry: Carry
    delivered_at: float

    @property
    def deadline(self) -> float:
        """When the target counts as silent."""
        return self.delivered_at + HANDSHAKE_TIMEOUT_S


class AgentState(FlowProcessor):
    """The target beside an agent, and what the agent remembers.

    Parameters
    ----------
    host : int
        This instance.
    service : str
        Service of the target.
    packets : PacketCodec
        The platform's packets.
    sharing : ViewSharing
        The view of routes and targets.
    spillover : SpilloverPolicy
        Decides about new flows.
    order : QueueOrder
        Which of the waiting openings goes first.
    sink : Sink
        Where decisions are reported.
    flow_lifetime_s : float
        A flow that is older may be forgotten.
    now : float
        Local time of the start.
    """

    def __init__(
        self,
        *,
        host: int,
        service: str,
        packets: PacketCodec,
        sharing: ViewSharing,
        spillover: SpilloverPolicy,
        order: QueueOrder,
        sink: Sink,
        flow_lifetime_s: float,
        now: float,
    ) -> None:
        super().__init__(host=host, packets=packets, sharing=sharing, sink=sink)
        self.spillover = spillover
        self.flows = LocalFlows()
        self.queue = FlowQueue(order=order)
        self.forwarded: dict[bytes, ForwardedFlow] = {}
        self.pending_handshakes: dict[bytes, PendingHandshake] = {}
        # Flows that the target said it does not hold.
        self.absent_until: dict[bytes, float] = {}
        self.unresponsive_since = inf
        self.next_probe_at = -inf
        self.last_packet_at = -inf
        self.is_stopping = False
        # Flows that are older than this process may be open at the target.
        self.table_complete_at = now + flow_lifetime_s
        self.next_sweep_at = now
        self.next_queue_check_at = inf
        self.set_service(service)

    def set_service(self, service: str) -> None:
        """Set the service of the target, which new settings may change."""
        self.service = service
        self.service_tag = service_tag(service)

    # The target

    def own_target(self) -> FlowTarget | None:
        """Return what the view says of the target beside this agent."""
        return self.view.by_host.get(self.host)

    def _unavailable_reason(self, now: float) -> str:
        """Return why the target gets no new flows, empty if it does."""
        if self.is_stopping:
            return "stopping"
        target = self.own_target()
        if target is None:
            return "gone" if self.sharing.is_fresh(now) else ""
        if target.service != self.service:
            return "other-service"
        if not target.takes_new_flows(now):
            return target.state.value
        if self.unresponsive_since < inf and now < self.next_probe_at:
            return "silent"
        return ""

    def _is_table_complete(self, now: float) -> bool:
        """Whether every flow that is open at the target is known here.

        Times of starts say nothing about it: the time of day may have jumped between
        the start of the target and that of this process.
        """
        return now >= self.table_complete_at

    def _is_known_absent(self, key: bytes, now: float) -> bool:
        """Whether a flow that is not known here is not at the target."""
        return self._is_table_complete(now) or now < self.absent_until.get(key, -inf)

    def _capacity(self) -> int:
        target = self.own_target()
        return target.capacity if target else 1

    def load(self, now: float) -> float:
        """Return the requests per slot at the target, with those that wait."""
        return self._demand(now) / self._capacity()

    def _demand(self, now: float) -> int:
        return self.flows.busy(now) + len(self.queue)

    def _has_free_slot(self, now: float) -> bool:
        """Whether one more opening may go to the target now."""
        if self._service_time_s() < MIN_QUEUED_SERVICE_TIME_S:
            return True
        return self.flows.busy(now) < self._capacity() + MAX_OVERCOMMIT

    def _service_time_s(self) -> float:
        """Return the mean time of a request, a share of its objective at first."""
        if self.flows.service_time_s:
            return self.flows.service_time_s
        objectives = [
            route.objective_s
            for route in self.view.configuration.routes.values()
            if any(service == self.service for service, _ in route.shares)
        ]
        return INITIAL_SERVICE_TIME_RATIO * min(objectives, default=0.0)

    def _expiry(self, now: float) -> float:
        return now + self.view.configuration.idle_timeout_s

    def _send_to_target(self, raw: bytes) -> Action:
        self.sink.count(PACKETS, direction="to-target")
        return ToTarget(raw)

    def _elapsed(self, handshake: PendingHandshake, now: float) -> float:
        return handshake.carry.elapsed_s + now - handshake.delivered_at
