"""Requests offered to peers, with exponential backoff between offers."""

from dataclasses import dataclass

from balsamtide.requests.model import RequestFacts

__all__ = ["TRANSFER_RETRY_S", "OfferedRequest", "Transfers"]

TRANSFER_RETRY_S = 0.005
MAX_TRANSFER_RETRY_S = 0.08
MAX_TRANSFER_ATTEMPTS = 32
MAX_OFFERED = 256


@dataclass(frozen=True, slots=True)
class OfferedRequest:
    """A request that is offered to peers or run by one of them.

    Parameters
    ----------
    request : RequestFacts
        The request.
    targets : tuple of int
        Target numbers of the peers.
    """

    request: RequestFacts
    targets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class OfferAttempts:
    """Number of failed offers of a request and the earliest time of the next one."""

    count: int = 0
    next_at: float = 0.0

    def after_failure(self, now: float) -> "OfferAttempts":
        """Return the state after another failed offer."""
        wait = TRANSFER_RETRY_S * 2**self.count
        return OfferAttempts(self.count + 1, now + min(MAX_TRANSFER_RETRY_S, wait))


class Transfers:
    """Requests of one agent that are or were offered to peers."""

    def __init__(self) -> None:
        self.offered: dict[str, OfferedRequest] = {}
        self.attempts: dict[str, OfferAttempts] = {}

    def begin(self, request: RequestFacts, targets: tuple[int, ...]) -> None:
        """Record that a request is offered to ``targets``."""
        self.offered[request.request_id] = OfferedRequest(request, targets)

    def fail(self, request_id: str, now: float) -> OfferedRequest | None:
        """Record that no peer granted a request; return it, None if unknown."""
        offered = self.offered.pop(request_id, None)
        if offered is not None:
            attempts = self.attempts.get(request_id, OfferAttempts())
            self.attempts[request_id] = attempts.after_failure(now)
        return offered

    def forget(self, request_id: str) -> OfferedRequest | None:
        """Drop and return a request that ended or is started here."""
        self.attempts.pop(request_id, None)
        return self.offered.pop(request_id, None)

    def may_offer(self, request_id: str, now: float) -> bool:
        """Return whether the request may be offered at ``now``."""
        attempts = self.attempts.get(request_id)
        if attempts is None:
            return True
        return attempts.count < MAX_TRANSFER_ATTEMPTS and now >= attempts.next_at

    def expire(self, now: float) -> None:
        """Drop requests past their deadline if more than ``MAX_OFFERED`` are held."""
        if len(self.offered) <= MAX_OFFERED:
            return
        old = [
            request_id
            for request_id, offered in self.offered.items()
            if now >= offered.request.deadline
        ]
        for request_id in old:
            self.forget(request_id)
