"""Order of queued flows that shares a target's time among classes of callers.

A class is a route and the availability zone of the client.  Requests on open flows
pass the queue of new flows, and flows of a higher priority come first there, so that a
long burst of one class would leave no time for others.  Each class with queued flows
therefore keeps a minimum share of the target's time.  Above the minimum shares,
`ObjectiveOrder` applies.

Load pattern: a burst of one kind of request on a busy day, with the targets of one
availability zone gone.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from math import exp

from balsamtide.fleet.view import FlowConfiguration
from balsamtide.flows.flow_queue import FlowClass, ObjectiveOrder, QueuedFlow
from balsamtide.flows.metrics import CLASS_DECISIONS
from balsamtide.telemetry.sink import Sink

__all__ = ["ClassDecision", "FairShareOrder", "ServedTime", "has_several_priorities"]

# Part of an equal share that each class with queued flows keeps; what a higher one
# costs the other classes is in docs/design/competing-callers.md.
MIN_SHARE_RATIO = 0.75
# Time constant of the served time.  It spans several tens of requests of a slot, so
# that one slow request does not decide, and is about the timeout of a request, so that
# a class gets its share before its clients give up.
WINDOW_S = 2.0
# A class counts as active until its served time has decayed to this.
FORGOTTEN_S = 0.001
# Windows after which the weights of times start from 1 again, so that they stay small.
REBASE_WINDOWS = 20
# Weight of one request in the moving average of a route's service time.
SERVICE_TIME_GAIN = 0.1
# Requests beyond the slots up to which flows are delivered by their minimum share.
# Requests on open flows are not queued at the agent and may keep all slots taken.  The
# targets' own queue has 8 places; the rest is for requests on open flows.
MAX_GUARANTEED_OVERCOMMIT = 6
# An estimated wait has to exceed the remaining time by this factor before a queued flow
# is refused: a wrong refusal costs a request, a late one costs its client some time.
REFUSAL_MARGIN = 1.25
# Least part of the target's capacity that the estimate of a wait assumes for new flows.
MIN_FREE_RATIO = 0.05


# Key of a new flow among queued ones, whose keys are never empty.
NEWCOMER = b""


class ClassDecision(Enum):
    """Why a flow of a class was served or refused."""

    MINIMUM_SHARE = "minimum-share"
    IN_OBJECTIVE = "in-objective"
    LATE = "late"
    OVER_SHARE = "over-share"
    NO_TIME = "no-time"


def has_several_priorities(configuration: FlowConfiguration, service: str) -> bool:
    """Whether routes of different priorities lead to a service."""
    priorities = {
        route.priority
        for route in configuration.routes.values()
        if any(name == service and weight > 0 for name, weight in route.shares)
    }
    return len(priorities) > 1


class ServedTime:
    """Time that a target recently spent on each class, decaying exponentially.

    Later times are weighted more, which is cheaper than to decay all earlier ones.
    """

    def __init__(self) -> None:
        self.weighted: dict[FlowClass, float] = {}
        self.base = 0.0

    def add(self, flow_class: FlowClass, seconds: float, now: float) -> None:
        """Add time of a class; a negative time takes back an earlier one."""
        if now - self.base > REBASE_WINDOWS * WINDOW_S:
            self.weighted, self.base = self.seconds(now), now
        weight = exp((now - self.base) / WINDOW_S)
        after = self.weighted.get(flow_class, 0.0) + seconds * weight
        self.weighted[flow_class] = max(0.0, after)

    def seconds(self, now: float) -> dict[FlowClass, float]:
        """Return the decayed time of each active class."""
        factor = exp((self.base - now) / WINDOW_S)
        return {
            flow_class: weighted * factor
            for flow_class, weighted in self.weighted.items()
            if weighted * factor > FORGOTTEN_S
        }

    def shares(self, queued: Iterable[FlowClass], now: float) -> "Shares":
        """Return the shares of all active classes and of those with queued flows."""
        seconds = self.seconds(now)
        active = seconds.keys() | set(queued)
        return Shares(seconds, sum(seconds.values()), max(1, len(active)))


@dataclass(frozen=True, slots=True)
class Shares:
    """Shares of classes of a target's time.

    Parameters
    ----------
    seconds : mapping of FlowClass to float
        Served time of each class.
    total : float
        Sum of it.
    active : int
        Classes among which the time is shared.
    """

    seconds: Mapping[FlowClass, float]
    total: float
    active: int

    @property
    def minimum(self) -> float:
        """Share that a class with queued flows keeps."""
        return MIN_SHARE_RATIO / self.active

    def share(self, flow_class: FlowClass) -> float:
        """Return the share of a class, 0 before any request was served."""
        return self.seconds.get(flow_class, 0.0) / self.total if self.total else 0.0

    def is_below_minimum(self, flow_class: FlowClass) -> bool:
        """Whether a class has got less than the share that it keeps."""
        return self.share(flow_class) < self.minimum

    def excess(self, flow_class: FlowClass) -> float:
        """Return how far a class is above an equal share."""
        return self.share(flow_class) - 1 / self.active


class FairShareOrder(ObjectiveOrder):
    """Minimum shares of a target's time by route and zone, then `ObjectiveOrder`.

    It is in effect while routes of several priorities lead to the target's service, and
    otherwise equal to `ObjectiveOrder`.

    Parameters
    ----------
    sink : Sink
        Receives metrics.
    zones : sequence of str
        All availability zones, in the order of their numbers in frames.
    """

    def __init__(self, *, sink: Sink, zones: Sequence[str] = ()) -> None:
        self.sink = sink
        self.zones = tuple(zones)
        self.is_enabled = False
        self.capacity = 1
        self.served = ServedTime()
        # Part of it on flows that were open already.
        self.served_on_open_flows = ServedTime()
        self.service_times_s: dict[str, float] = {}
        self.default_service_time_s = 0.0
        self.last_end_at = 0.0
        self.configuration: FlowConfiguration | None = None
        self.service = ""

    # Inputs

    def configure(self, configuration: FlowConfiguration, service: str) -> bool:
        """Adapt to the configuration; return whether it enables the shares."""
        if configuration is not self.configuration or service != self.service:
            self.configuration, self.service = configuration, service
            self.is_enabled = has_several_priorities(configuration, service)
        return self.is_enabled

    def set_target(self, *, capacity: int, service_time_s: float) -> None:
        """Set the slots of the target and its mean service time."""
        self.capacity = capacity
        self.default_service_time_s = service_time_s

    def record_start(
        self, flow_class: FlowClass, now: float, *, is_on_open_flow: bool
    ) -> None:
        """Charge a class for a request that goes to the target."""
        if self.is_enabled:
            seconds = self.service_time_s(flow_class.route)
            self.served.add(flow_class, seconds, now)
            if is_on_open_flow:
                self.served_on_open_flows.add(flow_class, seconds, now)

    def record_rejection(self, flow_class: FlowClass, now: float) -> None:
        """Take back the charge for a request that the target rejected."""
        if self.is_enabled:
            seconds = -self.service_time_s(flow_class.route)
            self.served.add(flow_class, seconds, now)
            self.served_on_open_flows.add(flow_class, seconds, now)

    def record_end(
        self, route: str, took_s: float, now: float, *, busy_before: int
    ) -> None:
        """Measure the service time of a request that ended.

        Parameters
        ----------
        route : str
            Name of its route.
        took_s : float
            Time since it was received.
        now : float
            Local time.
        busy_before : int
            Requests at the target when it was received.
        """
        last_end_at, self.last_end_at = self.last_end_at, now
        if not self.is_enabled:
            return
        if busy_before >= self.capacity:
            if self.capacity > 1:
                return
            # It waited at the target for the end of the one before it.
            took_s = min(took_s, now - last_end_at)
        mean_s = self.service_time_s(route) or took_s
        self.service_times_s[route] = mean_s + SERVICE_TIME_GAIN * (took_s - mean_s)

    def service_time_s(self, route: str) -> float:
        """Return the mean service time of a route, of all routes if not measured."""
        return self.service_times_s.get(route, self.default_service_time_s)

    # Decisions

    def choose_next(self, entries: Mapping[bytes, QueuedFlow], now: float) -> bytes:
        """Return the flow to deliver next."""
        guaranteed = self.choose_guaranteed(entries, now)
        if guaranteed is not None:
            return guaranteed
        return super().choose_next(entries, now)

    def choose_guaranteed(
        self, entries: Mapping[bytes, QueuedFlow], now: float
    ) -> bytes | None:
        """Return the next flow of the class furthest below its minimum share."""
        if not self.is_enabled or not entries:
            return None
        shares = self._shares(entries, now)
        below = {
            flow_class: shares.share(flow_class)
            for flow_class in {queued.flow_class for queued in entries.values()}
            if shares.is_below_minimum(flow_class)
        }
        if not below:
            return None
        least = min(below, key=lambda flow_class: (below[flow_class], flow_class))
        return super().choose_next(_of_class(entries, least), now)

    def may_overcommit(self, busy: int) -> bool:
        """Whether a flow may be delivered by its minimum share without a free slot."""
        return self.is_enabled and busy < self.capacity + MAX_GUARANTEED_OVERCOMMIT

    def choose_displaced(
        self, entries: Mapping[bytes, QueuedFlow], newcomer: QueuedFlow, now: float
    ) -> bytes | None:
        """Return the flow that loses its place to a new one, None for the new one.

        It is the last one of the class furthest above an equal share.
        """
        if not self.is_enabled or not entries:
            return None
        shares = self._shares(entries, now, newcomer)
        classes = {queued.flow_class for queued in entries.values()}
        most = max(classes, key=lambda one: (shares.excess(one), one))
        if shares.excess(most) <= max(0.0, shares.excess(newcomer.flow_class)):
            return None
        displaced = self.choose_last(_of_class(entries, most), now)
        after = {key: one for key, one in entries.items() if key != displaced}
        after[NEWCOMER] = newcomer
        return None if NEWCOMER in self.hopeless(after, now) else displaced

    def can_start(
        self, entries: Mapping[bytes, QueuedFlow], newcomer: QueuedFlow, now: float
    ) -> bool:
        """Whether a new flow of a class below its minimum would start in time."""
        if not self.is_enabled:
            return False
        shares = self._shares(entries, now, newcomer)
        if not shares.is_below_minimum(newcomer.flow_class):
            return False
        own = _of_class(entries, newcomer.flow_class).values()
        wait_s = self._guaranteed_wait_s(own, shares)
        return now + wait_s <= newcomer.give_up_at

    def hopeless(self, entries: Mapping[bytes, QueuedFlow], now: float) -> list[bytes]:
        """Return the flows that can't start before their clients give up."""
        if not self.is_enabled or not entries:
            return []
        shares = self._shares(entries, now)
        free = self._free_capacity(now)
        ahead_s = 0.0
        ahead_by_class: dict[FlowClass, float] = {}
        found = []
        for key in sorted(entries, key=lambda key: self.sort_key(entries[key], now)):
            queued = entries[key]
            flow_class = queued.flow_class
            own_s = ahead_by_class.get(flow_class, 0.0)
            guaranteed = shares.minimum * self.capacity
            wait_s = min(ahead_s / free, own_s / guaranteed)
            if wait_s > REFUSAL_MARGIN * (queued.give_up_at - now):
                found.append(key)
                continue
            took_s = self.service_time_s(flow_class.route)
            ahead_s += took_s
            ahead_by_class[flow_class] = own_s + took_s
        return found

    def _free_capacity(self, now: float) -> float:
        """Return the slots that requests on open flows leave to new flows."""
        open_s = sum(self.served_on_open_flows.seconds(now).values())
        return max(MIN_FREE_RATIO * self.capacity, self.capacity - open_s / WINDOW_S)

    def _guaranteed_wait_s(self, ahead: Iterable[QueuedFlow], shares: Shares) -> float:
        work_s = sum(self.service_time_s(queued.flow_class.route) for queued in ahead)
        return work_s / (shares.minimum * self.capacity)

    def _shares(
        self, entries: Mapping[bytes, QueuedFlow], now: float, *more: QueuedFlow
    ) -> Shares:
        queued = (one.flow_class for one in (*entries.values(), *more))
        return self.served.shares(queued, now)

    # Reports

    def explain(
        self,
        queued: QueuedFlow,
        entries: Mapping[bytes, QueuedFlow],
        now: float,
        *,
        refusal: ClassDecision | None = None,
    ) -> dict[str, object]:
        """Count a decision; return its inputs for the log.

        Parameters
        ----------
        queued : QueuedFlow
            The flow, before it is charged.
        entries : mapping of bytes to QueuedFlow
            The other queued flows.
        now : float
            Local time.
        refusal : ClassDecision or None
            Why it is refused, None if it is served.
        """
        flow_class = queued.flow_class
        shares = self._shares(entries, now, queued)
        if refusal is not None:
            decision = refusal
        elif shares.is_below_minimum(flow_class):
            decision = ClassDecision.MINIMUM_SHARE
        elif now <= queued.start_by:
            decision = ClassDecision.IN_OBJECTIVE
        else:
            decision = ClassDecision.LATE
        zone = self.zone_name(flow_class.zone)
        self.sink.count(
            CLASS_DECISIONS, route=flow_class.route, zone=zone, outcome=decision.value
        )
        return {
            "route": flow_class.route,
            "zone": zone,
            "why": decision.value,
            "share": round(shares.share(flow_class), 3),
            "minimum": round(shares.minimum, 3),
            "classes": shares.active,
        }

    def zone_name(self, number: int) -> str:
        """Return the name of a zone by its number in frames."""
        if 0 < number <= len(self.zones):
            return self.zones[number - 1]
        return "unknown"


def _of_class(
    entries: Mapping[bytes, QueuedFlow], flow_class: FlowClass
) -> dict[bytes, QueuedFlow]:
    return {
        key: queued
        for key, queued in entries.items()
        if queued.flow_class == flow_class
    }
