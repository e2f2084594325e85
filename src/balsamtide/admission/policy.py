"""Interface of the admission policy of one agent, and its decisions."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from balsamtide.protocol.messages import LoadReport
from balsamtide.requests.model import Outcome, Refusal, RequestFacts

__all__ = ["AdmissionPolicy", "Refuse", "Start", "Transfer"]


@dataclass(frozen=True, slots=True)
class Start:
    """Start the request on the local target now.

    Parameters
    ----------
    request_id : str
        The request.
    queued_behind : str
        Reason of its wait: ``""``, ``"short"``, ``"long"``, ``"cold"`` or ``"limit"``.
    """

    request_id: str
    queued_behind: str = ""


@dataclass(frozen=True, slots=True)
class Transfer:
    """Offer the request to peers in order; run it here if none grants.

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
    """Refuse the request now.

    Parameters
    ----------
    request_id : str
        The request.
    refusal : Refusal
        Verdict, reason and retry delay for the caller.
    """

    request_id: str
    refusal: Refusal


Decision = Start | Transfer | Refuse


class AdmissionPolicy(ABC):
    """Admission control of one agent, without I/O.

    Each method returns all decisions that became possible, including those about other
    requests than its argument.  A request without a decision is queued.
    """

    @abstractmethod
    def arrive(self, request: RequestFacts, now: float) -> Sequence[Decision]:
        """Decide about a new request of a caller."""

    @abstractmethod
    def finish(
        self, request_id: str, outcome: Outcome, now: float
    ) -> Sequence[Decision]:
        """Record the outcome of a request that was started here."""

    @abstractmethod
    def cancel(self, request_id: str, now: float) -> Sequence[Decision]:
        """Remove a cancelled request, whether queued, offered or running."""

    @abstractmethod
    def transfer_failed(self, request_id: str, now: float) -> Sequence[Decision]:
        """Decide again about a request that no peer granted."""

    @abstractmethod
    def offer(self, request: RequestFacts, grant_deadline: float, now: float) -> bool:
        """Reserve a slot until ``grant_deadline``; return whether one was free."""

    @abstractmethod
    def use_grant(self, request_id: str, now: float) -> bool:
        """Turn a reservation into a running request; return False if it expired."""

    def receive(self, report: LoadReport, now: float) -> Sequence[Decision]:
        """Apply a peer's load report; the default ignores it."""
        return ()

    @abstractmethod
    def tick(self, now: float) -> Sequence[Decision]:
        """Process timers that are due at ``now``."""

    @property
    @abstractmethod
    def deadline(self) -> float:
        """Time at which ``tick`` is due, seconds."""
