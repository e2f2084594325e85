"""Serves peers: grants slots, runs granted requests and repeats of keyed ones.

A repeat is a request with an idempotency key that its caller sends again.
"""

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
from balsamtide.requests.ledger import LedgerSnapshot
from balsamtide.requests.model import Outcome, RequestFacts
from balsamtide.requests.runner import AnswerWriter, RequestHead
from balsamtide.requests.stamp import Stamp

__all__ = ["PeerHost"]


class PeerBody:
    """Request body streamed by a peer; not replayable once a chunk was read.

    Parameters
    ----------
    parts : async iterator of bytes
        Chunks of the body.
    """

    def __init__(self, parts: AsyncIterator[bytes]) -> None:
        self.parts = parts
        self.is_replayable = True

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body."""
        async for part in self.parts:
            self.is_replayable = False
            yield part


class PeerHost(HandOffHost):
    """Runs requests for the peers of one agent.

    Parameters
    ----------
    dispatcher : Dispatcher
        Passes requests to the admission policy.
    pending_offers : PendingOffers
        Queue of offers that wait for a slot.
    runner : SlotRunner
        Runs started requests on the own target.
    executor : Executor
        Admits and runs repeats.
    home : Home
        Decides about repeats and adopts closed ledgers.
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
        # A planned stop waits until no request of a peer is in progress.
        self.open_requests = 0

    async def offer(
        self, facts: RequestFacts, grant_deadline: float, wait_deadline: float
    ) -> bool:
        """Reserve a slot that is free now or becomes free before ``wait_deadline``."""
        return await self.pending_offers.offer(
            facts, grant_deadline, wait_deadline, current_time()
        )

    def use_grant(self, request_id: str) -> bool:
        """Start the request that holds the reservation; False if it has expired."""
        return self.dispatcher.policy.use_grant(request_id, current_time())

    def withdraw(self, request_id: str) -> None:
        """Release an unused reservation, or withdraw an offer that still waits."""
        self.dispatcher.cancel(request_id)

    async def run_granted(
        self,
        facts: RequestFacts,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Run a started request on the own target."""
        with self._count_running():
            return await self.runner.run(facts, head, body, answer)

    def decide_forwarded(self, facts: RequestFacts, stamp: Stamp) -> HomeDecision:
        """Decide about a repeat that a peer forwarded."""
        return self.home.decide_forwarded(facts, stamp, current_time())

    async def run_forwarded(
        self,
        facts: RequestFacts,
        decision: HomeDecision,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Admit and run a repeat whose home is this agent."""
        assert isinstance(decision, RunHere)
        job = Job(
            facts=facts,
            head=head,
            body=PeerBody(body),
            answer=AnswerRecorder(answer),
            keyed=decision.keyed,
        )
        with self._count_running():
            # The stage times of this job are not recorded, so no stall is counted:
            # ``float()`` returns 0.0.
            return await self.executor.execute(job, stall_s=float)

    @contextmanager
    def _count_running(self) -> Iterator[None]:
        self.open_requests += 1
        try:
            yield
        finally:
            self.open_requests -= 1

    def adopt(self, snapshot: LedgerSnapshot) -> bool:
        """Become the successor of a closed ledger."""
        return self.home.adopt(snapshot, current_time())
