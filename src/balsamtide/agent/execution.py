"""Admission and execution of one request, on the own target or through a peer."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Protocol

from trio import current_time

from balsamtide.admission.policy import Decision, Refuse, Start, Transfer
from balsamtide.agent.dispatcher import Dispatcher
from balsamtide.agent.slot_runner import SlotRunner
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.answer_recorder import AnswerRecorder
from balsamtide.requests.exits import Exit
from balsamtide.requests.hand_off_client import HandOffRunner
from balsamtide.requests.home import KeyedRun
from balsamtide.requests.model import Outcome, Refusal, RequestFacts
from balsamtide.requests.runner import RequestHead, Runner
from balsamtide.telemetry.stages import Stage, StageTimes

__all__ = ["RequestBody", "Executor", "PeerRunnerFactory", "Job"]

# Safety limit against an endless loop; the policy itself limits the transfers.
MAX_DECISIONS = 64
# The time until a decision other than a start from a queue ("") counts as short queue.
STAGE_BY_QUEUE = {
    "": Stage.QUEUED_SHORT,
    "short": Stage.QUEUED_SHORT,
    "long": Stage.QUEUED_LONG,
    "cold": Stage.QUEUED_COLD,
    "limit": Stage.QUEUED_LIMIT,
}


class RequestBody(Protocol):
    """Body of a request."""

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be read from its start again."""

    def read(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body from its start."""


class PeerRunnerFactory(Protocol):
    """Creates runners that hand requests off to peers."""

    def runner(self, targets: tuple[int, ...], keyed: KeyedRun | None) -> HandOffRunner:
        """Return a runner that offers a request to ``targets`` in turn."""


@dataclass(slots=True, kw_only=True)
class Job:
    """One request from its admission to its outcome.

    Parameters
    ----------
    facts : RequestFacts
        Properties that admission decides by.
    head : RequestHead
        Method, path and headers for the target.
    body : RequestBody
        Body for the target.
    answer : AnswerRecorder
        Receives the answer.
    keyed : KeyedRun or None
        Claim on the ledger entry of a request with an idempotency key; records its
        start and outcome.
    """

    facts: RequestFacts
    head: RequestHead
    body: RequestBody
    answer: AnswerRecorder
    keyed: KeyedRun | None = None
    stages: StageTimes = field(default_factory=StageTimes)
    # One text per attempt: target name or "peer", verdict and reason.
    attempts: list[str] = field(default_factory=list)
    refusal: Refusal | None = None
    # Name of the target that ran the request, empty if none did.
    ran_on: str = ""
    is_started: bool = False
    # Whether the outcome is recorded in the ledger.
    is_settled: bool = False


class Executor:
    """Admits and runs jobs.

    Parameters
    ----------
    dispatcher : Dispatcher
        Passes requests to the admission policy.
    runner : SlotRunner
        Runs started requests on the own target.
    hand_off : PeerRunnerFactory
        Creates runners for peers.
    target_name : callable
        Returns the name of a target by its number; None stands for the own target.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        runner: SlotRunner,
        hand_off: PeerRunnerFactory,
        target_name: Callable[[int | None], str],
    ) -> None:
        self.dispatcher = dispatcher
        self.runner = runner
        self.hand_off = hand_off
        self.target_name = target_name

    async def execute(self, job: Job, *, stall_s: Callable[[], float]) -> Outcome:
        """Admit and run a job, then settle its ledger claim.

        If the job is refused, ``job.refusal`` is set.

        Parameters
        ----------
        job : Job
            Request to run.
        stall_s : callable
            Returns the total time spent waiting for the caller to accept answer bytes,
            seconds; it does not count as time of the target or hand-off.
        """
        outcome = Exit.CANCELLED_WAITING.outcome()
        try:
            outcome = await self._admit_and_run(job, stall_s)
        except BaseException:
            if job.is_started:
                outcome = Exit.CANCELLED_RUNNING.outcome()
            self.dispatcher.cancel(job.facts.request_id)
            raise
        finally:
            self._settle_claim(job, outcome)
        return outcome

    async def _admit_and_run(self, job: Job, stall_s: Callable[[], float]) -> Outcome:
        decision = await self._decide(job, self.dispatcher.decide, job.facts)
        for _ in range(MAX_DECISIONS):
            if isinstance(decision, Refuse):
                return self._refuse(job, decision.refusal)
            if isinstance(decision, Start):
                return await self._run_locally(job, stall_s)
            outcome = await self._run_at_peer(job, decision, stall_s)
            if outcome.verdict is not Verdict.NOT_RUN or not self._can_retry(job):
                return outcome
            decision = await self._decide(
                job, self.dispatcher.decide_again, job.facts.request_id
            )
        self.dispatcher.cancel(job.facts.request_id)
        return Exit.NO_GRANT.outcome()

    @staticmethod
    def _can_retry(job: Job) -> bool:
        is_restartable = job.body.is_replayable and not job.answer.status
        return is_restartable and current_time() < job.facts.deadline

    async def _decide(self, job: Job, request_decision, argument) -> Decision:  # type: ignore[no-untyped-def]
        """Await ``request_decision(argument)``; add the wait to the queue's stage."""
        started_at = current_time()
        decision: Decision = await request_decision(argument)
        queue = decision.queued_behind if isinstance(decision, Start) else ""
        job.stages.add(STAGE_BY_QUEUE[queue], current_time() - started_at)
        return decision

    @staticmethod
    def _refuse(job: Job, refusal: Refusal) -> Outcome:
        job.refusal = refusal
        return Outcome(
            verdict=refusal.verdict,
            status=refusal.status,
            is_complete=False,
            reason=refusal.reason,
        )

    async def _run_locally(self, job: Job, stall_s: Callable[[], float]) -> Outcome:
        if job.keyed is not None and not job.keyed.start():
            outcome = Exit.TENURE_CLOSED.outcome()
            self.dispatcher.finish(job.facts.request_id, outcome)
        else:
            outcome = await self._run(job, self.runner, Stage.TARGET, stall_s)
            job.ran_on = self.target_name(None)
        self._record_attempt(job, self.target_name(None), outcome)
        return outcome

    async def _run_at_peer(
        self, job: Job, transfer: Transfer, stall_s: Callable[[], float]
    ) -> Outcome:
        runner = self.hand_off.runner(transfer.targets, job.keyed)
        outcome = await self._run(job, runner, Stage.HAND_OFF, stall_s)
        self._split_target_time(job, outcome)
        # ``runner.attempts`` lists only the peers that failed.
        for error in runner.attempts:
            job.attempts.append(f"peer {error.verdict.value} {error.reason}")
        if runner.target is not None:
            job.ran_on = self.target_name(runner.target)
            self._record_attempt(job, job.ran_on, outcome)
        if outcome.verdict is not Verdict.NOT_RUN:
            self.dispatcher.finish(job.facts.request_id, outcome)
        return outcome

    @staticmethod
    def _split_target_time(job: Job, outcome: Outcome) -> None:
        """Move the time spent on the peer's target to the target stage."""
        spent = job.stages.seconds.get(Stage.HAND_OFF, 0.0)
        on_target = min(spent, outcome.service_time_s or 0.0)
        job.stages.add(Stage.TARGET, on_target)
        # A negative amount is subtracted.
        job.stages.add(Stage.HAND_OFF, -on_target)

    async def _run(
        self, job: Job, runner: Runner, stage: Stage, stall_s: Callable[[], float]
    ) -> Outcome:
        started_at = current_time()
        stalled_before = stall_s()
        job.is_started = True
        try:
            outcome = await runner.run(job.facts, job.head, job.body.read(), job.answer)
        finally:
            stalled = stall_s() - stalled_before
            job.stages.add(stage, max(0.0, current_time() - started_at - stalled))
        job.is_started = outcome.verdict is not Verdict.NOT_RUN
        return outcome

    @staticmethod
    def _record_attempt(job: Job, target: str, outcome: Outcome) -> None:
        reason = f" {outcome.reason}" if outcome.reason else ""
        job.attempts.append(f"{target} {outcome.verdict.value}{reason}")

    @staticmethod
    def _settle_claim(job: Job, outcome: Outcome) -> None:
        """Record the outcome of a keyed job in the ledger, once."""
        if job.keyed is None or job.is_settled:
            return
        job.is_settled = True
        if outcome.verdict is Verdict.NOT_RUN:
            # Undoes ``start``, so that a repeat may run.
            job.keyed.revert_start()
            job.keyed.release()
            return
        is_answer_complete = outcome.verdict is Verdict.RAN and outcome.is_complete
        answer = job.answer.answer if is_answer_complete else None
        job.keyed.finish(outcome.verdict, answer, current_time())
