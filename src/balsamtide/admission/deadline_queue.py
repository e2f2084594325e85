"""A bounded queue in order of deadline, fair between callers."""

from bisect import bisect_left, insort
from collections import Counter
from dataclasses import dataclass, field
from math import inf

from balsamtide.requests.model import RequestFacts

__all__ = ["DeadlineQueue", "Waiting"]

SHORTEST_STEP_S = 0.1
STEP_SHARE = 0.25


@dataclass(order=True, slots=True)
class Waiting:
    """A queued request; the order of the fields is the order of service.

    Parameters
    ----------
    rank : int
        0 for requests already begun by an earlier try, 1 for others.
    order : float
        Its deadline, later for each request that its caller had queued already.
    number : int
        Order of arrival.
    request : RequestFacts
        The request.
    service_time_s : float
        Expected time on the target.
    cause : str
        What it waits for, see ``Start.queued_behind``.
    expires_at : float
        When a peer's offer ends; infinite for a request of this agent.
    """

    rank: int
    order: float
    number: int
    request: RequestFacts = field(compare=False)
    service_time_s: float = field(compare=False)
    cause: str = field(compare=False, default="")
    expires_at: float = field(compare=False, default=inf)

    @property
    def is_offer(self) -> bool:
        """Whether a peer offers the request and waits for a grant."""
        return self.expires_at < inf

    @property
    def latest_start(self) -> float:
        """When it has to start at the latest."""
        return min(self.expires_at, self.request.deadline - self.service_time_s)


class DeadlineQueue:
    """Requests of one size class that wait for a slot.

    Each request that its caller has queued already puts a new one behind by a share of
    the time to its deadline.  So a crowd of one caller stands behind the single
    requests of others, and still no request waits for ever.

    Parameters
    ----------
    capacity : int
        Most requests held.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.entries: list[Waiting] = []
        self.by_id: dict[str, Waiting] = {}
        self.by_caller: Counter[str] = Counter()
        self.arrivals = 0
        self.work_s = 0.0

    def __len__(self) -> int:
        return len(self.entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self.by_id

    @property
    def is_full(self) -> bool:
        """Whether no further request is taken."""
        return len(self.entries) >= self.capacity

    def place(self, request: RequestFacts, service_time_s: float) -> Waiting:
        """Return the entry that ``request`` would get, without adding it."""
        rank = 0 if request.attempt > 1 else 1
        step = max(SHORTEST_STEP_S, STEP_SHARE * (request.deadline - request.arrived))
        order = request.deadline + self.by_caller[request.caller] * step
        return Waiting(rank, order, self.arrivals, request, service_time_s)

    def work_before(self, entry: Waiting) -> float:
        """Return the expected work served before ``entry``, seconds."""
        position = bisect_left(self.entries, entry)
        if position == len(self.entries):
            return self.work_s
        return sum(waiting.service_time_s for waiting in self.entries[:position])

    def add(self, entry: Waiting) -> None:
        """Add an entry made by ``place`` just before."""
        insort(self.entries, entry)
        self.by_id[entry.request.request_id] = entry
        self.by_caller[entry.request.caller] += 1
        self.arrivals += 1
        self.work_s += entry.service_time_s

    def own(self) -> list[Waiting]:
        """Return the requests of this agent, in order of service."""
        return [entry for entry in self.entries if not entry.is_offer]

    def take(self) -> Waiting:
        """Remove and return the next request."""
        entry = self.entries[0]
        self.remove(entry.request.request_id)
        return entry

    def remove(self, request_id: str) -> Waiting | None:
        """Remove a request wherever it stands."""
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

    def hopeless(self, now: float) -> list[Waiting]:
        """Remove and return expired offers and requests that can't finish in time."""
        late = [e for e in self.entries if now >= e.latest_start]
        for entry in late:
            self.remove(entry.request.request_id)
        return late

    @property
    def latest_start(self) -> float:
        """Earliest of the times by which a waiting request has to start."""
        return min((e.latest_start for e in self.entries), default=inf)
