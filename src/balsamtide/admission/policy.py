"""The admission policy of one agent: what starts, what waits, what is refused."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from balsamtide.protocol.messages import LoadReport
from balsamtide.requests.model import Outcome, Refusal, RequestFacts

__all__ = ["AdmissionPolicy", "Refuse", "Start", "Transfer"]


@dataclass(frozen=True, slots=True)
class Start:
    """Start the request on this agent's own target now.

    Parameters
    ----------
    request_id : str
        The request.
    queued_behind : str
        What it waited for: ``""``, ``"short"``, ``"long"``, ``"cold"`` or ``"limit"``.
    """

    request_id: str
    queued_behind: str = ""


@dataclass(frozen=True, slots=True)
class Transfer:
    """Offer the request to these peers in turn; run it here if none grants.

    Parameters
    ----------
    request_id : str
        The request.
    targets : tuple of int
        Target numbers of peers, best first.
    """

    request_id: str
    targets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request now."""

    request_id: str
    refusal: Refusal


Decision = Start | Transfer | Refuse


class AdmissionPolicy(ABC):
    """Decides, without I/O, about the requests at one agent.

    Each method returns the decisions that became possible, also about other
    requests than the one it was called for.  A request that gets no decision waits.
    """

    @abstractmethod
    def arrive(self, request: RequestFacts, now: float) -> Sequence[Decision]:
        """Take a request from a caller."""

    @abstractmethod
    def finish(
        self, request_id: str, outcome: Outcome, now: float
    ) -> Sequence[Decision]:
        """Take the end of a request that was started here."""

    @abstractmethod
    def cancel(self, request_id: str, now: float) -> Sequence[Decision]:
        """Forget a request that its caller gave up, wherever it stands."""

    @abstractmethod
    def transfer_failed(self, request_id: str, now: float) -> Sequence[Decision]:
        """Take back a request that no peer granted."""

    @abstractmethod
    def offer(self, request: RequestFacts, grant_deadline: float, now: float) -> bool:
        """Reserve a slot for a peer's request until ``grant_deadline``, if free."""

    @abstractmethod
    def use_grant(self, request_id: str, now: float) -> bool:
        """Turn a reservation into a start; False if it has expired."""

    def receive(self, report: LoadReport, now: float) -> Sequence[Decision]:
        """Take what a peer reported of its load; a policy may ignore it."""
        return ()

    @abstractmethod
    def tick(self, now: float) -> Sequence[Decision]:
        """Do what is due at ``now``."""

    @property
    @abstractmethod
    def deadline(self) -> float:
        """Time at which ``tick`` is next due."""
