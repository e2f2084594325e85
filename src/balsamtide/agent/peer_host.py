"""What an agent does for its peers: grants, runs and repeats."""

from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

from trio import current_time

from balsamtide.admission.pending_offers import PendingOffers
from balsamtide.agent.dispatcher import Dispatcher
from balsamtide.agent.execution import Executor, Job
from balsamtide.agent.slot_runner import SlotRunner
from balsamtide.requests.answer_recorder import AnswerRecorder
from balsamtide.requests.hand_off_host import HandOffHost
from balsamtide.requests.home import Home, HomeDecision, RunHere
from balsamtide.requests.ledger import LedgerImage
from balsamtide.requests.model import Outcome, RequestFacts
from balsamtide.requests.runner import AnswerWriter, RequestHead
from balsamtide.requests.stamp import Stamp

__all__ = ["PeerHost"]


class PeerBody:
    """A body that comes from a peer and can be read once.

    Parameters
    ----------
    parts : async iterator of bytes
        The body.
    """

    def __init__(self, parts: AsyncIterator[bytes]) -> None:
        self.parts = parts
        self.is_replayable = True

    async def read(self) -> AsyncIterator[bytes]:
        """Yield its parts."""
        async for part in self.parts:
            self.is_replayable = False
            yield part


class PeerHost(HandOffHost):
    """Serves the peers of one agent.

    Parameters
    ----------
    dispatcher : Dispatcher
        Owner of the admission policy.
    pending_offers : PendingOffers
        Where offers wait for a slot.
    runner : SlotRunner
        Runs started requests on the own target.
    executor : Executor
        Admits and runs repeats.
    home : Home
        Decides about repeats and adopts ledgers.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        pending_offers: PendingOffers,
        runner: SlotRunner,
        executor: Executor,
        home: Home,
    ) -> None:
        self.dispatcher = dispatcher
        self.pending_offers = pending_offers
        self.runner = runner
        self.executor = executor
        self.home = home
        # Requests of peers in progress; a planned stop waits for them.
        self.running = 0

    async def offer(
        self, facts: RequestFacts, grant_deadline: float, wait_deadline: float
    ) -> bool:
        """Reserve a slot that is free now or before ``wait_deadline``."""
        return await self.pending_offers.offer(
            facts, grant_deadline, wait_deadline, current_time()
        )

    def use_grant(self, request_id: str) -> bool:
        """Turn the reservation into a start."""
        return self.dispatcher.policy.use_grant(request_id, current_time())

    def withdraw(self, request_id: str) -> None:
        """Free a reservation that is not going to be used."""
        self.dispatcher.cancel(request_id)

    async def run_granted(
        self,
        facts: RequestFacts,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Run a started request on the own target."""
        with self._counted():
            return await self.runner.run(facts, head, body, answer)

    def decide_asked(self, facts: RequestFacts, stamp: Stamp) -> HomeDecision:
        """Decide about a peer's repeat."""
        return self.home.decide_asked(facts, stamp, current_time())

    async def run_repeat(
        self,
        facts: RequestFacts,
        decision: HomeDecision,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Admit and run a repeat for which this agent is the home."""
        assert isinstance(decision, RunHere)
        job = Job(
            facts=facts,
            head=head,
            body=PeerBody(body),
            answer=AnswerRecorder(answer),
            keyed=decision.keyed,
        )
        with self._counted():
            return await self.executor.execute(job, stall_s=float)

    @contextmanager
    def _counted(self) -> Iterator[None]:
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1

    def adopt(self, image: LedgerImage) -> bool:
        """Become the successor of a closed ledger."""
        return self.home.adopt(image, current_time())
