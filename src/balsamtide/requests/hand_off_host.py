"""The port through which a hand-off server uses its agent."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

from balsamtide.requests.home import HomeDecision
from balsamtide.requests.ledger import LedgerImage
from balsamtide.requests.model import Outcome, RequestFacts
from balsamtide.requests.runner import AnswerWriter, RequestHead
from balsamtide.requests.stamp import Stamp

__all__ = ["HandOffHost"]


class HandOffHost(ABC):
    """What an agent does for its peers; all methods are called in trio tasks."""

    @abstractmethod
    async def offer(
        self, facts: RequestFacts, grant_deadline: float, wait_deadline: float
    ) -> bool:
        """Reserve a slot; True at the moment when one is reserved.

        A slot that is free now is reserved until ``grant_deadline``; one that becomes
        free before ``wait_deadline`` for ``GRANT_S``.  ``PendingOffers`` does this.
        """

    @abstractmethod
    def use_grant(self, request_id: str) -> bool:
        """Turn the reservation into a start, as ``AdmissionPolicy.use_grant``."""

    @abstractmethod
    def withdraw(self, request_id: str) -> None:
        """Forget an offer: free its reservation, or stop waiting for a slot."""

    @abstractmethod
    async def run_granted(
        self,
        facts: RequestFacts,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Run a started request on the own target and report its end to admission."""

    @abstractmethod
    def decide_asked(self, facts: RequestFacts, stamp: Stamp) -> HomeDecision:
        """Decide about a peer's repeat, as ``Home.decide_asked``."""

    @abstractmethod
    async def run_repeat(
        self,
        facts: RequestFacts,
        decision: HomeDecision,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Admit and run a peer's repeat for which ``decide_asked`` gave ``RunHere``.

        The implementation reports start and end to ``decision.keyed``.
        """

    @abstractmethod
    def adopt(self, image: LedgerImage) -> bool:
        """Become the successor of a closed ledger, as ``Home.adopt``."""
