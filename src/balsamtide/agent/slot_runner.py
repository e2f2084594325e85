"""Runs started requests on the own target and gives their slot back."""

from collections.abc import AsyncIterator, Callable

from balsamtide.agent.dispatcher import Dispatcher
from balsamtide.config.model import Service
from balsamtide.config.routes import match_route
from balsamtide.requests.exits import Exit
from balsamtide.requests.model import Outcome, RequestFacts
from balsamtide.requests.runner import AnswerWriter, Header, RequestHead, Runner

__all__ = ["SlotRunner"]


class SlotFreeingAnswer(AnswerWriter):
    """Gives the slot back when the answer begins.

    Parameters
    ----------
    answer : AnswerWriter
        Where the answer goes.
    free : callable
        Gives the slot back, told the status.
    """

    def __init__(self, answer: AnswerWriter, free: Callable[[int], None]) -> None:
        self.answer = answer
        self.free = free

    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Take the status and headers."""
        self.free(status)
        await self.answer.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""
        await self.answer.write(chunk)


class SlotRunner(Runner):
    """Runs requests that admission started.

    Parameters
    ----------
    runner : Runner
        Runs requests on the own target.
    dispatcher : Dispatcher
        Told when a slot is free.
    service : callable
        Returns the service of the version in force.
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
        """Run one request; its slot is free at the latest when this returns."""
        if match_route(self.service(), head.path).frees_slot_at_head:
            answer = SlotFreeingAnswer(answer, lambda status: self._free(facts, status))
        outcome = Exit.CANCELLED_RUNNING.outcome()
        try:
            outcome = await self.runner.run(facts, head, body, answer)
        finally:
            self.dispatcher.finish(facts.request_id, outcome)
        return outcome

    def _free(self, facts: RequestFacts, status: int) -> None:
        self.dispatcher.finish(facts.request_id, Exit.ANSWERED.outcome(status=status))
