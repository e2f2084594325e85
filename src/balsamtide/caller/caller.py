"""The caller library: flows, deadlines, verdicts and safe retries."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from uuid import uuid4
from weakref import WeakKeyDictionary

from trio import (
    Nursery,
    TooSlowError,
    current_time,
    fail_at,
    move_on_after,
    open_nursery,
    sleep,
)

from balsamtide.caller.answer import Answer, StreamedAnswer
from balsamtide.caller.call import IDEMPOTENT_METHODS, Call
from balsamtide.caller.errors import (
    CallerError,
    DeadlineError,
    StreamBrokenError,
)
from balsamtide.caller.flow import (
    AnswerStarted,
    RequestRejected,
    make_caller_configuration,
)
from balsamtide.caller.flow_keeper import FlowKeeper
from balsamtide.caller.flow_task import CallerFlowTask, PendingRequest
from balsamtide.protocol.headers import (
    RETRY_AFTER_MS,
    STAMP,
)
from balsamtide.protocol.messages import Endpoint
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.errors import AttemptsFailed, RequestError
from balsamtide.requests.retry_budget import RetryBudget
from balsamtide.requests.runner import Header

__all__ = ["Caller", "open_caller"]

STAMP_PATH = "/.well-known/balsamtide"
STATUS_STAMP_REQUIRED = 428
MOST_ATTEMPTS = 4
FIRST_BACKOFF_S = 0.02
LONGEST_BACKOFF_S = 1.0


class Caller:
    """Sends requests to one service address over as few flows as possible.

    Use ``open_caller`` to make one.

    Parameters
    ----------
    remote : Endpoint
        Service address.
    server_name : str
        Name in the service's certificate.
    authority : str or None
        Path of a PEM file with trusted authorities.
    nursery : Nursery
        Where the flows run.
    random : Random
        Source of jitter.
    """

    def __init__(
        self,
        *,
        remote: Endpoint,
        server_name: str,
        authority: str | None,
        nursery: Nursery,
        random: Random,
    ) -> None:
        self.server_name = server_name
        configuration = make_caller_configuration(
            server_name=server_name, authority=authority
        )
        self.flows = FlowKeeper(configuration, remote, nursery)
        self.random = random
        self.budget = RetryBudget(percent=20)
        self.stamps: WeakKeyDictionary[CallerFlowTask, bytes] = WeakKeyDictionary()

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: tuple[Header, ...] = (),
        body: bytes = b"",
        idempotency_key: str | None = None,
        stamp: bytes = b"",
        timeout_s: float = 10.0,
    ) -> Answer:
        """Send a request and return its whole answer.

        A non-idempotent request gets an idempotency key, if it has none, so that
        a repeat never runs twice.

        Parameters
        ----------
        method, path : str
            What is asked.
        headers : tuple of (bytes, bytes)
            Header fields.
        body : bytes
            Body.
        idempotency_key : str or None
            Key of a non-idempotent request.
        stamp : bytes
            ``key_stamp`` of an earlier try under the same key, perhaps by another
            caller; the request is then sent as a repeat.
        timeout_s : float
            Time until the deadline, seconds.

        Raises
        ------
        AttemptsFailed
            If no try got a whole answer; its verdict covers all tries.
        """
        is_keyed = method not in IDEMPOTENT_METHODS
        key = idempotency_key or (uuid4().hex if is_keyed else None)
        deadline = current_time() + timeout_s
        call = Call(
            method=method,
            path=path,
            headers=headers,
            body=body,
            key=key,
            deadline=deadline,
        )
        return await self._try_repeatedly(call, stamp)

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        path: str,
        *,
        headers: tuple[Header, ...] = (),
        body: bytes = b"",
        timeout_s: float = 10.0,
    ) -> AsyncIterator[StreamedAnswer]:
        """Send one request and read its answer part by part.

        A try that did not run is repeated; nothing is, once the answer has begun.
        ``timeout_s`` is for the start of the answer.

        Raises
        ------
        CallerError
            If the answer did not begin, or broke off.
        """
        call = Call(
            method=method,
            path=path,
            headers=headers,
            body=body,
            key=None,
            deadline=current_time() + timeout_s,
        )
        flow, pending, answer = await self._open_stream(call)
        try:
            yield answer
        finally:
            flow.cancel_request(pending)

    async def _open_stream(
        self, call: Call
    ) -> tuple[CallerFlowTask, PendingRequest, StreamedAnswer]:
        self.budget.record_first_attempt()
        attempt = 1
        while True:
            try:
                flow = await self.flows.flow(call.deadline)
                headers = call.head(self.server_name, attempt, b"")
                pending = await flow.open_request(headers, call.body)
                answer = await self._await_head(pending, call.deadline)
            except CallerError as error:
                if not self._may_repeat(call, error.verdict, attempt):
                    raise
                await self._back_off(attempt, call.deadline, b"")
                attempt += 1
                continue
            if not self._must_repeat(call, answer, attempt):
                return flow, pending, answer
            flow.cancel_request(pending)
            await self._back_off(attempt, call.deadline, answer.retry_after_ms)
            attempt += 1

    # Tries

    async def _try_repeatedly(self, call: Call, stamp: bytes) -> Answer:
        failures: list[RequestError] = []
        sent = 1 if stamp else 0
        self.budget.record_first_attempt()
        for attempt in range(1, MOST_ATTEMPTS + 1):
            try:
                flow = await self.flows.flow(call.deadline)
                if call.key is not None and not call.is_idempotent and sent == 0:
                    stamp = await self._stamp(flow, call.deadline)
                answer = await self._try(flow, call, sent + 1, stamp)
            except CallerError as error:
                sent += error.verdict is not Verdict.NOT_RUN or sent > 0
                failures.append(RequestError(error.verdict, error.reason))
                if not self._may_repeat(call, error.verdict, attempt):
                    break
                await self._back_off(attempt, call.deadline, b"")
                continue
            if answer.status == STATUS_STAMP_REQUIRED and sent == 0:
                self.stamps[flow] = answer.header(STAMP)
                continue
            if not self._must_repeat(call, answer, attempt):
                return answer
            # "Not run" holds for all tries so far, so the next one is a first try.
            sent = 0
            said = answer.header(RETRY_AFTER_MS)
            await self._back_off(attempt, call.deadline, said)
        raise AttemptsFailed(f"{call.method} {call.path} failed", failures)

    def _must_repeat(
        self, call: Call, answer: Answer | StreamedAnswer, attempt: int
    ) -> bool:
        is_refused = answer.verdict is Verdict.NOT_RUN and answer.status >= 500
        return is_refused and self._may_repeat(call, answer.verdict, attempt)

    def _may_repeat(self, call: Call, verdict: Verdict, attempt: int) -> bool:
        # A keyed repeat is safe after any verdict: its home runs it at most once.
        is_safe = verdict.is_retry_safe(is_idempotent=call.is_idempotent)
        is_safe = is_safe or call.key is not None
        if not is_safe or attempt >= MOST_ATTEMPTS:
            return False
        return self.budget.take(
            verdict, is_idempotent=True, now=current_time(), deadline=call.deadline
        )

    async def _back_off(self, attempt: int, deadline: float, said: bytes) -> None:
        least = int(said) / 1000 if said.isdigit() else 0.0
        longest = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2**attempt)
        pause = least + self.random.uniform(0, longest)
        await sleep(max(0.0, min(pause, deadline - current_time())))

    async def _try(
        self, flow: CallerFlowTask, call: Call, attempt: int, stamp: bytes
    ) -> Answer:
        headers = call.head(self.server_name, attempt, stamp)
        pending = await flow.open_request(headers, call.body)
        try:
            answer = await self._await_head(pending, call.deadline)
            body = await self._read_body(answer, call.deadline)
        finally:
            flow.cancel_request(pending)
        if answer.stamp:
            self.stamps[flow] = answer.stamp
        return Answer(
            status=answer.status,
            headers=answer.headers,
            body=body,
            verdict=answer.verdict,
            attempts=attempt,
            key_stamp=stamp,
        )

    async def _await_head(
        self, pending: PendingRequest, deadline: float
    ) -> StreamedAnswer:
        try:
            with fail_at(deadline):
                event = await pending.events.receive()
        except TooSlowError:
            raise DeadlineError(
                Verdict.MAY_HAVE_RUN, "no answer before the deadline"
            ) from None
        if isinstance(event, AnswerStarted):
            return StreamedAnswer(pending, event)
        if isinstance(event, RequestRejected):
            raise StreamBrokenError(Verdict.NOT_RUN, "rejected by the other end")
        raise StreamBrokenError(Verdict.MAY_HAVE_RUN, "the flow broke")

    async def _read_body(self, answer: StreamedAnswer, deadline: float) -> bytes:
        body = bytearray()
        try:
            with fail_at(deadline):
                async for part in answer.parts():
                    body += part
        except TooSlowError:
            raise DeadlineError(
                answer.verdict, "the answer was not whole at the deadline"
            ) from None
        return bytes(body)

    # Stamps

    async def _stamp(self, flow: CallerFlowTask, deadline: float) -> bytes:
        known = self.stamps.pop(flow, b"")
        if known:
            return known
        call = Call(
            method="GET",
            path=STAMP_PATH,
            headers=(),
            body=b"",
            key=None,
            deadline=deadline,
        )
        answer = await self._try(flow, call, 1, b"")
        return self.stamps.pop(flow, b"") or answer.header(STAMP)

    async def aclose(self) -> None:
        """Close all flows."""
        await self.flows.aclose()


@asynccontextmanager
async def open_caller(
    host: str,
    port: int,
    *,
    server_name: str,
    authority: str | None = None,
    random: Random | None = None,
) -> AsyncIterator[Caller]:
    """Open a caller for one service address.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        UDP port.
    server_name : str
        Name in the service's certificate.
    authority : str or None
        Path of a PEM file with trusted authorities; None for the system's.
    random : Random or None
        Source of jitter.
    """
    async with open_nursery() as nursery:
        caller = Caller(
            remote=Endpoint(host, port),
            server_name=server_name,
            authority=authority,
            nursery=nursery,
            random=random or Random(),
        )
        try:
            yield caller
        finally:
            with move_on_after(0.2) as scope:
                scope.shield = True
                await caller.aclose()
            nursery.cancel_scope.cancel()
