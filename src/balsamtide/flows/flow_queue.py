"""Where new flows wait while their target's slots are taken, and who goes first.

A target serves what it has in order of arrival.  After an outage or in a crest that
makes everybody late: old requests, late already, hold up the new ones.  So openings
wait at the agent, and those that can still meet their latency objective go first.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass, replace

from balsamtide.flows.packet import FlowPacket
from balsamtide.protocol.flow_frames import Carry

__all__ = ["ArrivalOrder", "ObjectiveOrder", "FlowQueue", "QueueOrder", "QueuedFlow"]

# Bounds memory; at a few hundred requests a second for each target nothing beyond it
# could be served before its client gives up.
MAX_QUEUED = 256


@dataclass(slots=True)
class QueuedFlow:
    """An opening that waits.

    Parameters
    ----------
    packet : FlowPacket
        The opening packet.
    carry : Carry
        How it came.
    arrived_at : float
        When it came.
    start_by : float
        Until when its request can start and still meet the latency objective.
    give_up_at : float
        When its client no longer waits.
    priority : int
        0 is the highest.
    """

    packet: FlowPacket
    carry: Carry
    arrived_at: float
    start_by: float
    give_up_at: float
    priority: int

    def updated_carry(self, now: float) -> Carry:
        """Return how it came, with the time that it waited."""
        return replace(
            self.carry, elapsed_s=self.carry.elapsed_s + now - self.arrived_at
        )


class QueueOrder(ABC):
    """Says which waiting opening starts next."""

    @abstractmethod
    def sort_key(self, queued: QueuedFlow, now: float) -> tuple[float, ...]:
        """Return a rank; the lowest starts first."""


class ArrivalOrder(QueueOrder):
    """First come, first served: the baseline."""

    def sort_key(self, queued: QueuedFlow, now: float) -> tuple[float, ...]:
        """Return the time of arrival."""
        return (queued.arrived_at,)


class ObjectiveOrder(QueueOrder):
    """What can meet its objective before what is late already; then by priority."""

    def sort_key(self, queued: QueuedFlow, now: float) -> tuple[float, ...]:
        """Return lateness, priority and deadline."""
        if now <= queued.start_by:
            return 0, queued.priority, queued.start_by
        return 1, queued.priority, queued.give_up_at


class FlowQueue:
    """The openings that wait at one agent.

    Parameters
    ----------
    order : QueueOrder
        Who goes first.
    """

    def __init__(self, *, order: QueueOrder) -> None:
        self.order = order
        self.entries: dict[bytes, QueuedFlow] = {}

    def __len__(self) -> int:
        return len(self.entries)

    @property
    def is_full(self) -> bool:
        """Whether no more may wait."""
        return len(self.entries) >= MAX_QUEUED

    def add(self, key: bytes, queued: QueuedFlow) -> None:
        """Let an opening wait."""
        self.entries[key] = queued

    def get(self, key: bytes) -> QueuedFlow | None:
        """Return a waiting opening."""
        return self.entries.get(key)

    def drop(self, key: bytes) -> None:
        """Forget a waiting opening."""
        self.entries.pop(key, None)

    def pop_next(self, now: float) -> QueuedFlow | None:
        """Take out the opening that starts next."""
        if not self.entries:
            return None
        order = self.order
        key = min(self.entries, key=lambda key: order.sort_key(self.entries[key], now))
        return self.entries.pop(key)

    def pop_all(self) -> list[QueuedFlow]:
        """Take out all openings, in order of arrival."""
        queued, self.entries = list(self.entries.values()), {}
        return queued

    def pop_expired(self, now: float) -> list[QueuedFlow]:
        """Take out the openings whose clients no longer wait."""
        keys = [key for key, w in self.entries.items() if w.give_up_at <= now]
        return [self.entries.pop(key) for key in keys]
