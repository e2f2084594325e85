"""Bounded deadline queue with fairness between callers."""

from bisect import bisect_left, insort
from collections import Counter
from dataclasses import dataclass, field
from math import inf

from balsamtide.requests.model import RequestFacts

__all__ = ["DeadlineQueue", "QueueEntry"]

MIN_CALLER_PENALTY_S = 0.1
CALLER_PENALTY_SHARE = 0.25


@dataclass(order=True, slots=True)
class QueueEntry:
    """A queued request; entries sort by the first three fields.

    Parameters
    ----------
    priority : int
        0 for retries, which go first, 1 for first attempts.
    virtual_deadline : float
        Deadline plus a penalty for each request that its caller had queued already.
    sequence : int
        Arrival number, breaks ties.
    request : RequestFacts
        The request.
    service_time_s : float
        Expected service time on the target, seconds.
    cause : str
        Reason for the wait, see ``Start.queued_behind``.
    expires_at : float
        Time at which a peer's offer expires; infinite for a local request.
    """

    priority: int
    virtual_deadline: float
    sequence: int
    request: RequestFacts = field(compare=False)
    service_time_s: float = field(compare=False)
    cause: str = field(compare=False, default="")
    expires_at: float = field(compare=False, default=inf)

    @property
    def is_offer(self) -> bool:
        """Whether the request is an offer of a peer that waits for a grant."""
        return self.expires_at < inf

    @property
    def latest_start(self) -> float:
        """Latest start before the offer expires or the deadline is missed, seconds."""
        return min(self.expires_at, self.request.deadline - self.service_time_s)


class DeadlineQueue:
    """Requests of one size class that wait for a slot.

    Each request that a caller has already queued delays its next one by a share of the
    time to the deadline.  A burst of one caller is thus served after single requests of
    others, and no request starves.

    Parameters
    ----------
    capacity : int
        Maximum number of entries.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.entries: list[QueueEntry] = []
        self.by_id: dict[str, QueueEntry] = {}
        self.by_caller: Counter[str] = Counter()
        self.arrivals = 0
        self.work_s = 0.0

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.by_id

    @property
    def is_full(self) -> bool:
        """Whether the queue is at capacity."""
        return len(self.entries) >= self.capacity

    def new_entry(self, request: RequestFacts, service_time_s: float) -> QueueEntry:
        """Return an entry for ``request`` without adding it to the queue."""
        priority = 0 if request.attempt > 1 else 1
        penalty = max(
            MIN_CALLER_PENALTY_S,
            CALLER_PENALTY_SHARE * (request.deadline - request.arrived),
        )
        virtual_deadline = request.deadline + self.by_caller[request.caller] * penalty
        return QueueEntry(
            priority, virtual_deadline, self.arrivals, request, service_time_s
        )

    def work_ahead_of(self, entry: QueueEntry) -> float:
        """Return the expected service time queued ahead of ``entry``, seconds."""
        position = bisect_left(self.entries, entry)
        if position == len(self.entries):
            return self.work_s
        return sum(waiting.service_time_s for waiting in self.entries[:position])

    def add(self, entry: QueueEntry) -> None:
        """Add the entry that ``new_entry`` returned last."""
        insort(self.entries, entry)
        self.by_id[entry.request.request_id] = entry
        self.by_caller[entry.request.caller] += 1
        self.arrivals += 1
        self.work_s += entry.service_time_s

    def local_entries(self) -> list[QueueEntry]:
        """Return the local requests in queue order."""
        return [entry for entry in self.entries if not entry.is_offer]

    def pop(self) -> QueueEntry:
        """Remove and return the first entry."""
        entry = self.entries[0]
        self.remove(entry.request.request_id)
        return entry

    def remove(self, request_id: str) -> QueueEntry | None:
        """Remove and return the entry of a request, None if it is not queued."""
        entry = self.by_id.pop(request_id, None)
        if entry is None:
            return None
        del self.entries[bisect_left(self.entries, entry)]
        caller = entry.request.caller
        self.by_caller[caller] -= 1
        if not self.by_caller[caller]:
            del self.by_caller[caller]
        self.work_s = max(0.0, self.work_s - entry.service_time_s)
        if not self.entries:
            self.work_s = 0.0
        return entry

    def pop_expired(self, now: float) -> list[QueueEntry]:
        """Remove and return the entries whose ``latest_start`` has passed."""
        expired = [entry for entry in self.entries if now >= entry.latest_start]
        for entry in expired:
            self.remove(entry.request.request_id)
        return expired

    @property
    def latest_start(self) -> float:
        """Earliest ``latest_start`` of the entries, infinite if empty."""
        return min((entry.latest_start for entry in self.entries), default=inf)
