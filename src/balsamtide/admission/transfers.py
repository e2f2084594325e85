"""Which requests are offered to peers, and when one may be offered again."""

from dataclasses import dataclass

from balsamtide.requests.model import RequestFacts

__all__ = ["TRANSFER_RETRY_S", "Offered", "Transfers"]

TRANSFER_RETRY_S = 0.005
LONGEST_TRANSFER_RETRY_S = 0.08
MOST_TRANSFERS = 32
MOST_OFFERED = 256


@dataclass(frozen=True, slots=True)
class Offered:
    """A request that is away, offered to peers or run by one of them.

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
class Attempts:
    """How often a request was offered, and when it is offered again at the earliest."""

    count: int = 0
    next_at: float = 0.0

    def failed(self, now: float) -> "Attempts":
        """Return what is true after another failure."""
        wait = TRANSFER_RETRY_S * 2**self.count
        return Attempts(self.count + 1, now + min(LONGEST_TRANSFER_RETRY_S, wait))


class Transfers:
    """The requests of one agent that are or were offered to peers."""

    def __init__(self) -> None:
        self.offered: dict[str, Offered] = {}
        self.attempts: dict[str, Attempts] = {}

    def begin(self, request: RequestFacts, targets: tuple[int, ...]) -> None:
        """Take a request that is offered now."""
        self.offered[request.request_id] = Offered(request, targets)

    def fail(self, request_id: str, now: float) -> Offered | None:
        """Take back a request that no peer granted; None if it is not known."""
        offered = self.offered.pop(request_id, None)
        if offered is not None:
            attempts = self.attempts.get(request_id, Attempts())
            self.attempts[request_id] = attempts.failed(now)
        return offered

    def forget(self, request_id: str) -> Offered | None:
        """Drop a request that ended or is started here."""
        self.attempts.pop(request_id, None)
        return self.offered.pop(request_id, None)

    def may_offer(self, request_id: str, now: float) -> bool:
        """Tell whether the request may be offered at ``now``."""
        attempts = self.attempts.get(request_id)
        if attempts is None:
            return True
        return attempts.count < MOST_TRANSFERS and now >= attempts.next_at

    def expire(self, now: float) -> None:
        """Drop what was handed off and never reported back, if it is too much."""
        if len(self.offered) <= MOST_OFFERED:
            return
        old = [i for i, o in self.offered.items() if now >= o.request.deadline]
        for request_id in old:
            self.forget(request_id)
