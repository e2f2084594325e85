"""Baseline policy: an unbounded FIFO queue without hand-off."""

from collections import deque
from collections.abc import Sequence

from balsamtide.admission.policy import AdmissionPolicy, Decision, Start
from balsamtide.requests.model import Outcome, RequestFacts

__all__ = ["FifoAdmission"]


class FifoAdmission(AdmissionPolicy):
    """Starts requests in order of arrival and never refuses.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running: set[str] = set()
        self.waiting: deque[str] = deque()

    def _start(self) -> list[Decision]:
        started: list[Decision] = []
        while self.waiting and len(self.running) < self.slots:
            request_id = self.waiting.popleft()
            self.running.add(request_id)
            started.append(Start(request_id, "short"))
        return started

    def arrive(self, request: RequestFacts, now: float) -> Sequence[Decision]:
        """Queue the request."""
        self.waiting.append(request.request_id)
        return self._start()

    def finish(
        self, request_id: str, outcome: Outcome, now: float
    ) -> Sequence[Decision]:
        """Free the slot."""
        self.running.discard(request_id)
        return self._start()

    def cancel(self, request_id: str, now: float) -> Sequence[Decision]:
        """Remove the request from the queue or free its slot."""
        self.running.discard(request_id)
        if request_id in self.waiting:
            self.waiting.remove(request_id)
        return self._start()

    def transfer_failed(self, request_id: str, now: float) -> Sequence[Decision]:
        """Queue a request that no peer granted."""
        self.waiting.append(request_id)
        return self._start()

    def offer(self, request: RequestFacts, grant_deadline: float, now: float) -> bool:
        """Return False: this policy grants no offers."""
        return False

    def use_grant(self, request_id: str, now: float) -> bool:
        """Return False: this policy grants no offers."""
        return False

    def tick(self, now: float) -> Sequence[Decision]:
        """Return no decisions."""
        return ()

    @property
    def deadline(self) -> float:
        """Infinite: ``tick`` is never due."""
        return float("inf")
