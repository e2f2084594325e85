"""Handling of one request, from its headers to its request record."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from trio import CancelScope, current_time

from balsamtide.agent.events import REQUEST_FAULTED
from balsamtide.agent.execution import Executor, Job
from balsamtide.agent.flow_answer import FlowAnswer
from balsamtide.agent.flow_task import FlowTask
from balsamtide.agent.keyed_requests import KeyedRequests
from balsamtide.agent.request_facts import (
    InvalidRequestError,
    ParsedRequest,
    parse_request,
)
from balsamtide.agent.request_stream import RequestStream
from balsamtide.config.model import Service
from balsamtide.protocol.headers import REASON, RETRY_AFTER_MS
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.answer_recorder import AnswerRecorder
from balsamtide.requests.exits import Exit
from balsamtide.requests.home import ForwardToHome, Refuse, Replay, RunHere
from balsamtide.requests.model import Outcome, Refusal
from balsamtide.requests.runner import Header
from balsamtide.telemetry.records import RequestRecord
from balsamtide.telemetry.sink import Sink
from balsamtide.telemetry.stages import Stage, StageTimes

__all__ = ["RequestHandler"]

# Callers fetch their first stamp here, without running a request. A stamp is a signed
# token that names the agent whose ledger records a request with an idempotency key.
STAMP_PATH = "/.well-known/balsamtide"
STATUS_NO_CONTENT = 204
STATUS_BAD_REQUEST = 400
ERROR_CHARS = 300


class FlowBody:
    """Request body received over a flow.

    Parameters
    ----------
    stream : RequestStream
        Stream of the request.
    flows : FlowTask
        Task that owns the flow.
    """

    def __init__(self, stream: RequestStream, flows: FlowTask) -> None:
        self.stream = stream
        self.flows = flows

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be read from its start again."""
        return self.stream.is_replayable

    async def read(self) -> AsyncIterator[bytes]:
        """Yield chunks, resuming a paused body as they are consumed."""
        async for chunk in self.stream.body():
            if self.stream.try_resume():
                await self.flows.resume_body(self.stream.key)
            yield chunk


@dataclass(slots=True)
class RequestContext:
    """State of one request while it is handled."""

    stream: RequestStream
    parsed: ParsedRequest
    answer: FlowAnswer
    job: Job


class RequestHandler:
    """Handles requests; each call of ``handle`` runs in its own task.

    Parameters
    ----------
    service_name : str
        Name of the service.
    service : callable
        Returns the service in the configuration version in force.
    version : callable
        Returns the configuration version in force.
    zone : callable
        Returns the availability zone of a target, given its name.
    new_request_id : callable
        Returns an identifier that is unique in the fleet.
    flows : FlowTask
        Task that owns the flows.
    executor : Executor
        Admits and runs requests.
    keyed : KeyedRequests
        Decides about requests with an idempotency key.
    sink : Sink
        Receives request records and events.
    """

    def __init__(
        self,
        *,
        service_name: str,
        service: Callable[[], Service],
        version: Callable[[], int],
        zone: Callable[[str], str],
        new_request_id: Callable[[], str],
        flows: FlowTask,
        executor: Executor,
        keyed: KeyedRequests,
        sink: Sink,
    ) -> None:
        self.service_name = service_name
        self.service = service
        self.version = version
        self.zone = zone
        self.new_request_id = new_request_id
        self.flows = flows
        self.executor = executor
        self.keyed = keyed
        self.sink = sink
        self.open_requests = 0

    async def handle(self, stream: RequestStream) -> None:
        """Handle one request; report an exception and abort only this request."""
        request_id = self.new_request_id()
        answer = FlowAnswer(
            flows=self.flows,
            stream=stream,
            request_id=request_id,
            stamp=self.keyed.issue_stamp(),
        )
        self.open_requests += 1
        try:
            await self._parse_and_handle(stream, answer, request_id)
        except Exception as error:
            # An exception that propagates would stop the agent and all its flows.
            self.sink.event(
                REQUEST_FAULTED, request_id=request_id, error=repr(error)[:ERROR_CHARS]
            )
            await self.flows.finish(stream.key, is_aborted=True)
        finally:
            self.open_requests -= 1

    async def _parse_and_handle(
        self, stream: RequestStream, answer: FlowAnswer, request_id: str
    ) -> None:
        try:
            parsed = parse_request(
                stream.opened,
                service_name=self.service_name,
                service=self.service(),
                request_id=request_id,
                now=stream.opened_at,
            )
        except InvalidRequestError as fault:
            refusal = Refusal(
                verdict=Verdict.NOT_RUN, reason=str(fault), status=STATUS_BAD_REQUEST
            )
            await self._answer_without_running(stream, _send_refusal(answer, refusal))
            return
        if parsed.head.path == STAMP_PATH:
            sending = answer.start_with_verdict(
                STATUS_NO_CONTENT, (), Verdict.NOT_RUN, is_ended=True
            )
            await self._answer_without_running(stream, sending)
            return
        job = Job(
            facts=parsed.facts,
            head=parsed.head,
            body=FlowBody(stream, self.flows),
            answer=AnswerRecorder(answer),
        )
        await self._handle(RequestContext(stream, parsed, answer, job))

    async def _answer_without_running(self, stream: RequestStream, sending) -> None:  # type: ignore[no-untyped-def]
        """Await ``sending``, a coroutine that sends the whole answer."""
        with stream.scope:
            await sending
        await self.flows.finish(stream.key, is_aborted=False)

    async def _handle(self, context: RequestContext) -> None:
        outcome = Exit.CANCELLED_WAITING.outcome()
        try:
            with context.stream.scope:
                outcome = await self._decide_and_run(context)
            if context.stream.scope.cancelled_caught and context.job.is_started:
                outcome = Exit.CANCELLED_RUNNING.outcome()
        finally:
            is_answer_complete = context.answer.is_started and outcome.is_complete
            with CancelScope(shield=True):
                await self.flows.finish(
                    context.stream.key, is_aborted=not is_answer_complete
                )
        self._record(context, outcome)

    async def _decide_and_run(self, context: RequestContext) -> Outcome:
        now = current_time()
        decision = self.keyed.decide(context.parsed.facts, context.parsed.stamp, now)
        if isinstance(decision, Refuse):
            return await self._refuse(context, decision.refusal)
        if isinstance(decision, Replay):
            return await self._replay(context, decision)
        if isinstance(decision, ForwardToHome):
            return await self._forward_to_home(context, decision)
        return await self._run(context, decision)

    async def _replay(self, context: RequestContext, replay: Replay) -> Outcome:
        answer = replay.answer
        await context.answer.start_with_verdict(
            answer.status, answer.headers, Verdict.RAN
        )
        await context.answer.write(answer.body)
        await context.answer.end()
        return Exit.REPLAYED.outcome(status=answer.status)

    async def _forward_to_home(
        self, context: RequestContext, decision: ForwardToHome
    ) -> Outcome:
        runner = self.keyed.home_runner(decision)
        job = context.job
        outcome = await runner.run(job.facts, job.head, job.body.read(), job.answer)
        job.attempts.append(f"home {outcome.verdict.value} {outcome.reason}")
        return await self._finish_answer(context, outcome)

    async def _run(self, context: RequestContext, decision: RunHere) -> Outcome:
        context.job.keyed = decision.keyed
        # A request with a ledger claim is completed even if its caller is gone, so
        # that a repeat gets the recorded answer.
        context.stream.must_complete = decision.keyed is not None
        outcome = await self.executor.execute(
            context.job, stall_s=lambda: context.answer.stall_s
        )
        return await self._finish_answer(context, outcome)

    async def _finish_answer(
        self, context: RequestContext, outcome: Outcome
    ) -> Outcome:
        if context.answer.is_started:
            if outcome.is_complete:
                await context.answer.end()
            return outcome
        refusal = context.job.refusal or Refusal(
            verdict=outcome.verdict, reason=outcome.reason, status=outcome.status
        )
        return await self._refuse(context, refusal)

    async def _refuse(self, context: RequestContext, refusal: Refusal) -> Outcome:
        await _send_refusal(context.answer, refusal)
        return Outcome(
            verdict=refusal.verdict, status=refusal.status, reason=refusal.reason
        )

    def _record(self, context: RequestContext, outcome: Outcome) -> None:
        job = context.job
        self.sink.request(
            RequestRecord(
                request_id=job.facts.request_id,
                service=job.facts.service,
                route=job.facts.route,
                target=job.ran_on,
                zone=self.zone(job.ran_on),
                version=self.version(),
                verdict=outcome.verdict,
                status=outcome.status,
                reason=outcome.reason,
                stages=_add_flow_stages(context).seconds,
                attempts=tuple(job.attempts),
                balancer_version=context.stream.opened.balancer_version,
            )
        )


def _add_flow_stages(context: RequestContext) -> StageTimes:
    opened = context.stream.opened
    stages = context.job.stages
    elapsed = current_time() - context.stream.opened_at
    loss_stall_s = min(context.stream.loss_stall_s, context.answer.stall_s)
    stages.add(Stage.LOSS_STALL, loss_stall_s)
    stages.add(Stage.CALLER_STALL, context.answer.stall_s - loss_stall_s)
    # Computed before the stages that lie before ``opened_at`` are added.
    stages.add(Stage.UNEXPLAINED, max(0.0, elapsed - stages.total))
    stages.add(Stage.CALLER_PATH, opened.round_trip_s)
    stages.add(Stage.BALANCER, opened.forwarding_s)
    stages.add(Stage.HANDSHAKE, opened.handshake_s)
    return stages


async def _send_refusal(answer: FlowAnswer, refusal: Refusal) -> None:
    headers: list[Header] = [(REASON, refusal.reason.encode())]
    if refusal.retry_after_s is not None:
        milliseconds = max(1, int(refusal.retry_after_s * 1000))
        headers.append((RETRY_AFTER_MS, str(milliseconds).encode()))
        headers.append((b"retry-after", str(-(-milliseconds // 1000)).encode()))
    await answer.start_with_verdict(
        refusal.status, tuple(headers), refusal.verdict, is_ended=True
    )
