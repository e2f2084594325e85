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
    def offer(self, facts: RequestFacts, grant_deadline: float) -> bool:
        """Reserve a slot until ``grant_deadline``, as ``AdmissionPolicy.offer``."""

    @abstractmethod
    def use_grant(self, request_id: str) -> bool:
        """Turn the reservation into a start, as ``AdmissionPolicy.use_grant``."""

    @abstractmethod
    def withdraw(self, request_id: str) -> None:
        """Free a reservation that is not going to be used."""

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
