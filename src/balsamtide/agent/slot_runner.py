"""Runner that releases the slot of a request when it ends.

If the route says so, the slot is released when the answer starts.
"""

from collections.abc import AsyncIterator, Callable

from balsamtide.agent.dispatcher import Dispatcher
from balsamtide.config.model import Service
from balsamtide.config.routes import match_route
from balsamtide.requests.exits import Exit
from balsamtide.requests.model import Outcome, RequestFacts
from balsamtide.requests.runner import AnswerWriter, Header, RequestHead, Runner

__all__ = ["SlotRunner"]


class SlotFreeingAnswer(AnswerWriter):
    """Releases the slot when the answer starts.

    Parameters
    ----------
    answer : AnswerWriter
        Receives the answer.
    free : callable
        Releases the slot, given the HTTP status.
    """

    def __init__(self, answer: AnswerWriter, free: Callable[[int], None]) -> None:
        self.answer = answer
        self.free = free

    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Release the slot and forward the status and headers."""
        self.free(status)
        await self.answer.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Forward a chunk of the body."""
        await self.answer.write(chunk)


class SlotRunner(Runner):
    """Runs requests that were granted a slot.

    Parameters
    ----------
    runner : Runner
        Runs requests on the own target.
    dispatcher : Dispatcher
        Receives the outcome and thereby releases the slot.
    service : callable
        Returns the service in the configuration version in force.
    """

    def __init__(
        self,
        runner: Runner,
        *,
        dispatcher: Dispatcher,
        service: Callable[[], Service],
    ) -> None:
        self.runner = runner
        self.dispatcher = dispatcher
        self.service = service

    async def run(
        self,
        facts: RequestFacts,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Run one request and release its slot, at the latest on return."""
        if match_route(self.service(), head.path).frees_slot_at_head:
            answer = SlotFreeingAnswer(answer, lambda status: self._free(facts, status))
        outcome = Exit.CANCELLED_RUNNING.outcome()
        try:
            outcome = await self.runner.run(facts, head, body, answer)
        finally:
            # Without effect on the slot if ``_free`` has already released it.
            self.dispatcher.finish(facts.request_id, outcome)
        return outcome

    def _free(self, facts: RequestFacts, status: int) -> None:
        self.dispatcher.finish(facts.request_id, Exit.ANSWERED.outcome(status=status))
