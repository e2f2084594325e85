"""Queue of new flows at an agent while all slots of its target are taken.

A target serves requests in order of arrival.  After an outage or during a load peak,
requests that are already late would delay new ones until all are late.  Flows therefore
queue at the agent, which first delivers those that can still meet their latency
objective.
"""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

from balsamtide.flows.packet import FlowPacket
from balsamtide.protocol.flow_frames import Carry

__all__ = [
    "ArrivalOrder",
    "ObjectiveOrder",
    "FlowClass",
    "FlowQueue",
    "QueueOrder",
    "QueuedFlow",
]

# Bounds memory; at a few hundred requests a second per target, clients further back
# would give up before they are served.
MAX_QUEUED = 256


class FlowClass(NamedTuple):
    """Flows of one route from the clients of one availability zone.

    Parameters
    ----------
    route : str
        Name of the route, empty if it is unknown.
    zone : int
        Number of the zone in frames, 0 if it is unknown.
    """

    route: str
    zone: int


UNKNOWN_CLASS = FlowClass("", 0)


@dataclass(slots=True)
class QueuedFlow:
    """A new flow that waits for a free slot.

    Parameters
    ----------
    packet : FlowPacket
        The SYN.
    carry : Carry
        Frame in which the SYN arrived.
    arrived_at : float
        Local time of its arrival.
    start_by : float
        Latest local time to start the request and meet the latency objective.
    give_up_at : float
        Local time at which the client gives up.
    priority : int
        0 is the highest.
    flow_class : FlowClass
        Route, and zone of the client.
    was_delivered : bool
        Whether the target got an earlier copy of the SYN, which it may still answer.
    """

    packet: FlowPacket
    carry: Carry
    arrived_at: float
    start_by: float
    give_up_at: float
    priority: int
    flow_class: FlowClass = UNKNOWN_CLASS
    was_delivered: bool = False

    def updated_carry(self, now: float) -> Carry:
        """Return the frame with the queueing time added to ``elapsed_s``."""
        return replace(
            self.carry, elapsed_s=self.carry.elapsed_s + now - self.arrived_at
        )


class QueueOrder(ABC):
    """Order in which queued flows are delivered."""

    @abstractmethod
    def sort_key(self, queued: QueuedFlow, now: float) -> tuple[float, ...]:
        """Return the sort key; the flow with the lowest is delivered first."""

    def choose_next(self, entries: Mapping[bytes, QueuedFlow], now: float) -> bytes:
        """Return the flow to deliver next, of at least one."""
        return min(entries, key=lambda key: self.sort_key(entries[key], now))

    def choose_last(self, entries: Mapping[bytes, QueuedFlow], now: float) -> bytes:
        """Return the flow that would be delivered last, of at least one."""
        return max(entries, key=lambda key: self.sort_key(entries[key], now))


class ArrivalOrder(QueueOrder):
    """First in, first out, for comparison in tests and benchmarks."""

    def sort_key(self, queued: QueuedFlow, now: float) -> tuple[float, ...]:
        """Return the time of arrival."""
        return (queued.arrived_at,)


class ObjectiveOrder(QueueOrder):
    """Flows that can meet their objective before late ones, then by priority."""

    def sort_key(self, queued: QueuedFlow, now: float) -> tuple[float, ...]:
        """Return whether the flow is late, its priority and its deadline."""
        if now <= queued.start_by:
            return 0, queued.priority, queued.start_by
        return 1, queued.priority, queued.give_up_at


class FlowQueue:
    """Bounded queue of new flows at one agent.

    Parameters
    ----------
    order : QueueOrder
        Order in which flows are delivered.
    """

    def __init__(self, *, order: QueueOrder) -> None:
        self.order = order
        self.entries: dict[bytes, QueuedFlow] = {}

    def __len__(self) -> int:
        return len(self.entries)

    @property
    def is_full(self) -> bool:
        """Whether no more flows can be added."""
        return len(self.entries) >= MAX_QUEUED

    def add(self, key: bytes, queued: QueuedFlow) -> None:
        """Add a flow."""
        self.entries[key] = queued

    def get(self, key: bytes) -> QueuedFlow | None:
        """Return a queued flow, if there is one."""
        return self.entries.get(key)

    def drop(self, key: bytes) -> None:
        """Remove a flow if it is queued."""
        self.entries.pop(key, None)

    def pop_next(self, now: float) -> QueuedFlow | None:
        """Remove and return the flow to deliver next."""
        if not self.entries:
            return None
        return self.entries.pop(self.order.choose_next(self.entries, now))

    def pop_last(self, now: float) -> QueuedFlow:
        """Remove and return the flow that would be delivered last.

        Raises
        ------
        IndexError
            If the queue is empty.
        """
        if not self.entries:
            raise IndexError("no flow is queued")
        return self.entries.pop(self.order.choose_last(self.entries, now))

    def pop_all(self) -> list[QueuedFlow]:
        """Remove and return all flows, in order of arrival."""
        queued, self.entries = list(self.entries.values()), {}
        return queued

    def pop_expired(self, now: float) -> list[QueuedFlow]:
        """Remove and return the flows whose clients have given up."""
        keys = [key for key, queued in self.entries.items() if queued.give_up_at <= now]
        return [self.entries.pop(key) for key in keys]
