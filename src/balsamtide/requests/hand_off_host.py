"""Interface between the hand-off server and its agent."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

from balsamtide.requests.home import HomeDecision
from balsamtide.requests.ledger import LedgerSnapshot
from balsamtide.requests.model import Outcome, RequestFacts
from balsamtide.requests.runner import AnswerWriter, RequestHead
from balsamtide.requests.stamp import Stamp

__all__ = ["HandOffHost"]


class HandOffHost(ABC):
    """Agent as seen by the hand-off server, which calls it in trio tasks."""

    @abstractmethod
    async def offer(
        self, facts: RequestFacts, grant_deadline: float, wait_deadline: float
    ) -> bool:
        """Reserve a slot; return True as soon as one is reserved, else False.

        A slot that is free now is reserved until ``grant_deadline``; one that becomes
        free before ``wait_deadline`` is reserved for ``GRANT_TTL_S`` from then on.
        ``balsamtide.admission.pending_offers.PendingOffers`` implements this.
        """

    @abstractmethod
    def use_grant(self, request_id: str) -> bool:
        """Start a request in its reserved slot, as ``AdmissionPolicy.use_grant``.

        Return whether the reservation still held; the request then occupies the slot.
        """

    @abstractmethod
    def withdraw(self, request_id: str) -> None:
        """Cancel an offer: release its reservation, or stop waiting for a slot."""

    @abstractmethod
    async def run_granted(
        self,
        facts: RequestFacts,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Run a started request on the local target and report its end to admission."""

    @abstractmethod
    def decide_forwarded(self, facts: RequestFacts, stamp: Stamp) -> HomeDecision:
        """Decide about a forwarded retry, as ``Home.decide_forwarded``."""

    @abstractmethod
    async def run_forwarded(
        self,
        facts: RequestFacts,
        decision: HomeDecision,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Admit and run a retry for which ``decide_forwarded`` returned ``RunHere``.

        Implementations record the start and the end in ``decision.keyed``.
        """

    @abstractmethod
    def adopt(self, snapshot: LedgerSnapshot) -> bool:
        """Adopt a closed ledger as its successor, as ``Home.adopt``."""
