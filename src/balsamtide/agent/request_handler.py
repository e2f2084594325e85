"""One task per request: admission, run or hand-off, answer, record."""

from collections.abc import Callable
from dataclasses import dataclass, field

from trio import CancelScope, current_time

from balsamtide.admission.policy import Decision, Refused, Start, Transfer
from balsamtide.agent.dispatcher import Dispatcher
from balsamtide.agent.flow_answer import FlowAnswer
from balsamtide.agent.flow_task import FlowTask
from balsamtide.agent.keyed_requests import KeyedRequests
from balsamtide.agent.request_facts import (
    ParsedRequest,
    RequestFault,
    parse_request,
)
from balsamtide.agent.request_stream import RequestStream
from balsamtide.config.model import Service
from balsamtide.protocol.headers import REASON, RETRY_AFTER_MS
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.home import AskHome, KeyedRun, Refuse, Replay
from balsamtide.requests.model import Outcome, Refusal, RequestFacts
from balsamtide.requests.runner import Header, Runner
from balsamtide.telemetry.sink import RequestRecord, Sink
from balsamtide.telemetry.stages import Stage, StageTimes

__all__ = ["AgentIdentity", "RequestHandler"]

STAMP_PATH = "/.well-known/balsamtide"
MOST_TRIES = 6
STATUS_NO_CONTENT = 204
STATUS_BAD_REQUEST = 400
QUEUE_STAGES = {
    "": Stage.QUEUED_SHORT,
    "short": Stage.QUEUED_SHORT,
    "long": Stage.QUEUED_LONG,
    "cold": Stage.QUEUED_COLD,
    "limit": Stage.QUEUED_LIMIT,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentIdentity:
    """Names that appear in records.

    Parameters
    ----------
    service, target, zone : str
        Names of the service, of the target and of its availability zone.
    """

    service: str
    target: str
    zone: str


@dataclass(slots=True)
class Work:
    """State of one request while it is handled."""

    stream: RequestStream
    parsed: ParsedRequest
    answer: FlowAnswer
    keyed: KeyedRun | None = None
    stages: StageTimes = field(default_factory=StageTimes)
    attempts: list[str] = field(default_factory=list)
    ran_on: str = ""
    is_admitted: bool = False

    @property
    def facts(self) -> RequestFacts:
        """Facts of the request."""
        return self.parsed.facts


class RequestHandler:
    """Handles requests; one call of ``handle`` is one task.

    Parameters
    ----------
    identity : AgentIdentity
        Names for records.
    service : callable
        Returns the service of the version in force.
    version : callable
        Returns that version.
    new_request_id : callable
        Returns an identifier unique in the fleet.
    flows : FlowTask
        Owner of the flows.
    dispatcher : Dispatcher
        Owner of the admission policy.
    keyed : KeyedRequests
        Decides about keyed requests.
    runner : Runner
        Runs requests on the own target.
    hand_off : callable
        Returns the runner that runs requests on these peers.
    sink : Sink
        Where requests are accounted.
    """

    def __init__(
        self,
        *,
        identity: AgentIdentity,
        service: Callable[[], Service],
        version: Callable[[], int],
        new_request_id: Callable[[], str],
        flows: FlowTask,
        dispatcher: Dispatcher,
        keyed: KeyedRequests,
        runner: Runner,
        hand_off: Callable[[tuple[int, ...]], Runner],
        sink: Sink,
    ) -> None:
        self.identity = identity
        self.service = service
        self.version = version
        self.new_request_id = new_request_id
        self.flows = flows
        self.dispatcher = dispatcher
        self.keyed = keyed
        self.runner = runner
        self.hand_off = hand_off
        self.sink = sink
        self.open_requests = 0

    async def handle(self, stream: RequestStream) -> None:
        """Handle one request from its first header to its record."""
        request_id = self.new_request_id()
        answer = FlowAnswer(
            flows=self.flows,
            stream=stream,
            request_id=request_id,
            stamp=self.keyed.issue_stamp(),
        )
        self.open_requests += 1
        try:
            await self._handle(stream, answer, request_id)
        finally:
            self.open_requests -= 1

    async def _handle(
        self, stream: RequestStream, answer: FlowAnswer, request_id: str
    ) -> None:
        try:
            parsed = parse_request(
                stream.opened,
                service_name=self.identity.service,
                service=self.service(),
                request_id=request_id,
                now=stream.opened_at,
            )
        except RequestFault as fault:
            refusal = Refusal(
                verdict=Verdict.NOT_RUN, reason=str(fault), status=STATUS_BAD_REQUEST
            )
            await self._refuse(stream, answer, refusal)
            return
        if parsed.head.path == STAMP_PATH:
            await self._answer_stamp(stream, answer)
            return
        work = Work(stream, parsed, answer)
        await self._handle_work(work)

    async def _answer_stamp(self, stream: RequestStream, answer: FlowAnswer) -> None:
        with stream.scope:
            await answer.start_with(
                STATUS_NO_CONTENT, (), Verdict.NOT_RUN, is_ended=True
            )
        await self._finish(stream, is_aborted=False)

    async def _handle_work(self, work: Work) -> None:
        outcome = Outcome(
            verdict=Verdict.NOT_RUN, status=499, reason="cancelled", is_complete=False
        )
        try:
            with work.stream.scope:
                outcome = await self._decide_and_run(work)
            if work.stream.scope.cancelled_caught:
                outcome = self._cancelled(work)
        finally:
            self._settle(work, outcome)
            with CancelScope(shield=True):
                await self._close(work, outcome)
        self._record(work, outcome)

    def _cancelled(self, work: Work) -> Outcome:
        self.dispatcher.cancel(work.facts.request_id)
        verdict = Verdict.MAY_HAVE_RUN if work.is_admitted else Verdict.NOT_RUN
        return Outcome(
            verdict=verdict, status=499, reason="cancelled", is_complete=False
        )

    # Decisions

    async def _decide_and_run(self, work: Work) -> Outcome:
        decision = self.keyed.decide(work.facts, work.parsed.stamp, current_time())
        if isinstance(decision, Refuse):
            return await self._answer_refusal(work, decision.refusal)
        if isinstance(decision, Replay):
            return await self._replay(work, decision)
        if isinstance(decision, AskHome):
            return await self._ask_home(work, decision)
        work.keyed = decision.keyed
        work.answer.is_recorded = work.keyed is not None
        return await self._admit_and_run(work)

    async def _replay(self, work: Work, replay: Replay) -> Outcome:
        answer = replay.answer
        await work.answer.start_with(answer.status, answer.headers, Verdict.RAN)
        await work.answer.write(answer.body)
        await work.answer.end()
        return Outcome(verdict=Verdict.RAN, status=answer.status, reason="replayed")

    async def _ask_home(self, work: Work, decision: AskHome) -> Outcome:
        runner = self.keyed.runner_at_home(decision)
        outcome = await runner.run(
            work.facts, work.parsed.head, work.stream.body(), work.answer
        )
        work.attempts.append(f"home-{decision.target} {outcome.verdict.value}")
        return await self._complete(work, outcome)

    async def _admit_and_run(self, work: Work) -> Outcome:
        decision = await self._decide(work)
        outcome = None
        for _ in range(MOST_TRIES):
            if isinstance(decision, Refused):
                return await self._answer_refusal(work, decision.refusal)
            outcome = await self._attempt(work, decision)
            if outcome.verdict is not Verdict.NOT_RUN or not self._can_retry(work):
                return await self._complete(work, outcome)
            if isinstance(decision, Transfer):
                decision = await self._decide_again(work)
            else:
                return await self._complete(work, outcome)
        assert outcome is not None
        return await self._complete(work, outcome)

    def _can_retry(self, work: Work) -> bool:
        return (
            work.stream.is_replayable
            and not work.answer.is_started
            and current_time() < work.facts.deadline
        )

    async def _decide(self, work: Work) -> Decision:
        before = current_time()
        decision = await self.dispatcher.decide(work.facts)
        self._add_queue_time(work, decision, before)
        return decision

    async def _decide_again(self, work: Work) -> Decision:
        before = current_time()
        decision = await self.dispatcher.decide_again(work.facts.request_id)
        self._add_queue_time(work, decision, before)
        return decision

    @staticmethod
    def _add_queue_time(work: Work, decision: Decision, before: float) -> None:
        behind = decision.queued_behind if isinstance(decision, Start) else ""
        work.stages.add(QUEUE_STAGES[behind], current_time() - before)

    # Attempts

    async def _attempt(self, work: Work, decision: Start | Transfer) -> Outcome:
        if work.keyed is not None and not work.keyed.start():
            return self._lost_claim(work, decision)
        work.is_admitted = True
        work.stream.must_complete = work.keyed is not None
        if isinstance(decision, Transfer):
            outcome = await self._run(
                work, self.hand_off(decision.targets), Stage.HAND_OFF
            )
            work.attempts.append(f"hand-off {outcome.verdict.value} {outcome.reason}")
        else:
            outcome = await self._run(work, self.runner, Stage.TARGET)
            self.dispatcher.finish(work.facts.request_id, outcome)
            work.ran_on = self.identity.target
            work.attempts.append(
                f"{self.identity.target} {outcome.verdict.value} {outcome.reason}"
            )
        if outcome.verdict is Verdict.NOT_RUN:
            work.is_admitted = False
            if work.keyed is not None:
                work.keyed.unstart()
        return outcome

    def _lost_claim(self, work: Work, decision: Start | Transfer) -> Outcome:
        outcome = Outcome(
            verdict=Verdict.NOT_RUN,
            status=503,
            reason="tenure-closed",
            is_complete=False,
        )
        if isinstance(decision, Start):
            self.dispatcher.finish(work.facts.request_id, outcome)
        else:
            self.dispatcher.cancel(work.facts.request_id)
        return outcome

    async def _run(self, work: Work, runner: Runner, stage: Stage) -> Outcome:
        before = current_time()
        stall_before = work.answer.stall_s
        body = self._read_body(work.stream)
        try:
            return await runner.run(work.facts, work.parsed.head, body, work.answer)
        finally:
            stalled = work.answer.stall_s - stall_before
            work.stages.add(stage, current_time() - before - stalled)

    async def _read_body(self, stream: RequestStream):  # type: ignore[no-untyped-def]
        async for chunk in stream.body():
            if stream.can_resume():
                await self.flows.resume_body(stream.key)
            yield chunk

    # Ends

    async def _complete(self, work: Work, outcome: Outcome) -> Outcome:
        if work.answer.is_started:
            if outcome.is_complete:
                await work.answer.end()
            return outcome
        refusal = Refusal(
            verdict=outcome.verdict, reason=outcome.reason, status=outcome.status
        )
        return await self._answer_refusal(work, refusal)

    async def _answer_refusal(self, work: Work, refusal: Refusal) -> Outcome:
        await self._send_refusal(work.answer, refusal)
        return Outcome(
            verdict=refusal.verdict, status=refusal.status, reason=refusal.reason
        )

    async def _refuse(
        self, stream: RequestStream, answer: FlowAnswer, refusal: Refusal
    ) -> None:
        with stream.scope:
            await self._send_refusal(answer, refusal)
        await self._finish(stream, is_aborted=False)

    @staticmethod
    async def _send_refusal(answer: FlowAnswer, refusal: Refusal) -> None:
        headers: list[Header] = [(REASON, refusal.reason.encode())]
        if refusal.retry_after_s is not None:
            milliseconds = max(1, int(refusal.retry_after_s * 1000))
            headers.append((RETRY_AFTER_MS, str(milliseconds).encode()))
            headers.append((b"retry-after", str(-(-milliseconds // 1000)).encode()))
        await answer.start_with(
            refusal.status, tuple(headers), refusal.verdict, is_ended=True
        )

    def _settle(self, work: Work, outcome: Outcome) -> None:
        """Tell the ledger how a keyed request ended."""
        if work.keyed is None:
            return
        if outcome.verdict is Verdict.NOT_RUN:
            work.keyed.release()
            return
        is_whole = outcome.verdict is Verdict.RAN and outcome.is_complete
        answer = work.answer.recorded_answer() if is_whole else None
        work.keyed.finish(outcome.verdict, answer, current_time())

    async def _close(self, work: Work, outcome: Outcome) -> None:
        is_whole = work.answer.is_started and outcome.is_complete
        await self._finish(work.stream, is_aborted=not is_whole)

    async def _finish(self, stream: RequestStream, *, is_aborted: bool) -> None:
        await self.flows.finish(stream.key, is_aborted=is_aborted)

    # Records

    def _record(self, work: Work, outcome: Outcome) -> None:
        stages = self._stages(work)
        self.sink.request(
            RequestRecord(
                request_id=work.facts.request_id,
                service=work.facts.service,
                route=work.facts.route,
                target=work.ran_on,
                zone=self.identity.zone if work.ran_on else "",
                version=self.version(),
                verdict=outcome.verdict,
                status=outcome.status,
                reason=outcome.reason,
                stages=stages.seconds,
                attempts=tuple(work.attempts),
            )
        )

    @staticmethod
    def _stages(work: Work) -> StageTimes:
        opened = work.stream.opened
        stages = work.stages
        elapsed = current_time() - work.stream.opened_at
        loss_s = min(work.stream.loss_s, work.answer.stall_s)
        stages.add(Stage.LOSS_STALL, loss_s)
        stages.add(Stage.CALLER_STALL, work.answer.stall_s - loss_s)
        stages.add(Stage.UNEXPLAINED, max(0.0, elapsed - stages.total))
        stages.add(Stage.CALLER_PATH, opened.round_trip_s)
        stages.add(Stage.BALANCER, opened.inner_s)
        stages.add(Stage.HANDSHAKE, opened.handshake_s)
        return stages
