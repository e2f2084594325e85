"""HTTP/1.1 towards the target, with the verdict that is true of each failure."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from math import inf

from h11 import (
    CLIENT,
    DONE,
    NEED_DATA,
    PAUSED,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    InformationalResponse,
    ProtocolError,
    Request,
    Response,
)
from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    SocketStream,
    TooSlowError,
    current_time,
    fail_after,
    fail_at,
    open_nursery,
    open_tcp_stream,
)

from balsamtide.protocol.headers import DEADLINE_MS, REQUEST_ID, VERDICT
from balsamtide.protocol.messages import Endpoint
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.model import Outcome, RequestFacts
from balsamtide.requests.runner import AnswerWriter, Header, RequestHead, Runner

__all__ = ["TargetRunner"]

READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 4.0
IDLE_CONNECTIONS = 16
HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"te", b"upgrade", b"trailer")
)
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")
SHED_STATUS = 503
STREAM_ERRORS = (BrokenResourceError, ClosedResourceError, OSError)


@dataclass(slots=True)
class TargetConnection:
    """One TCP connection to the target."""

    stream: SocketStream
    http: Connection
    idle_deadline: float = 0.0


@dataclass(slots=True)
class Progress:
    """How far one request got; it decides the verdict of a failure."""

    started_at: float
    scope: CancelScope = field(default_factory=CancelScope)
    is_sent: bool = False
    status: int = 0
    is_answered: bool = False
    is_shed: bool = False

    @property
    def verdict(self) -> Verdict:
        """Verdict if the request failed now."""
        if self.is_shed:
            return Verdict.NOT_RUN
        if self.is_answered:
            return Verdict.RAN
        return Verdict.MAY_HAVE_RUN if self.is_sent else Verdict.NOT_RUN


class TargetRunner(Runner):
    """Runs requests on one target over keep-alive connections.

    A request is only ever written to a connection that was just opened or is known
    to be open, and it is never written twice.

    Parameters
    ----------
    target : Endpoint
        TCP endpoint of the target.
    """

    def __init__(self, target: Endpoint) -> None:
        self.target = target
        self.idle: list[TargetConnection] = []

    async def run(
        self,
        facts: RequestFacts,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Run one request on the target."""
        progress = Progress(started_at=current_time())
        try:
            with fail_at(facts.deadline):
                connection = await self._connect(progress)
                return await self._run_on(
                    connection, facts, head, body, answer, progress
                )
        except TooSlowError:
            return self._failed(progress, "target-timeout", status=504)
        except STREAM_ERRORS as error:
            return self._failed(progress, _reason(error, progress))
        except ProtocolError:
            return self._failed(progress, "target-protocol")

    def _failed(self, progress: Progress, reason: str, *, status: int = 502) -> Outcome:
        return Outcome(
            verdict=progress.verdict,
            status=progress.status or status,
            service_time_s=current_time() - progress.started_at,
            is_complete=False,
            reason=reason,
        )

    async def _connect(self, progress: Progress) -> TargetConnection:
        now = current_time()
        while self.idle:
            connection = self.idle.pop()
            if connection.idle_deadline > now and _is_open(connection.stream):
                return connection
            await connection.stream.aclose()
        with fail_after(CONNECT_TIMEOUT_S):
            stream = await open_tcp_stream(self.target.host, self.target.port)
        return TargetConnection(stream, Connection(our_role=CLIENT))

    async def _run_on(
        self,
        connection: TargetConnection,
        facts: RequestFacts,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
        progress: Progress,
    ) -> Outcome:
        is_reusable = False
        try:
            async with open_nursery() as nursery:
                nursery.start_soon(self._send, connection, facts, head, body, progress)
                await self._receive(connection, answer, progress)
                nursery.cancel_scope.cancel()
            is_reusable = await self._release(connection)
        except* STREAM_ERRORS as errors:
            raise errors.exceptions[0] from None
        except* ProtocolError as errors:
            raise errors.exceptions[0] from None
        finally:
            if not is_reusable:
                await connection.stream.aclose()
        if progress.is_shed:
            return self._failed(progress, "target-shed")
        return Outcome(
            verdict=Verdict.RAN,
            status=progress.status,
            service_time_s=current_time() - progress.started_at,
        )

    async def _send(
        self,
        connection: TargetConnection,
        facts: RequestFacts,
        head: RequestHead,
        body: AsyncIterator[bytes],
        progress: Progress,
    ) -> None:
        http = connection.http
        request = Request(
            method=head.method,
            target=head.path,
            headers=_request_headers(head.headers, self.target, facts),
        )
        octets = http.send(request)
        progress.is_sent = True
        await connection.stream.send_all(octets or b"")
        async for chunk in body:
            await connection.stream.send_all(http.send(Data(data=chunk)) or b"")
        await connection.stream.send_all(http.send(EndOfMessage()) or b"")

    async def _receive(
        self, connection: TargetConnection, answer: AnswerWriter, progress: Progress
    ) -> None:
        while True:
            event = connection.http.next_event()
            if event is NEED_DATA:
                octets = await connection.stream.receive_some(READ_BYTES)
                connection.http.receive_data(octets)
            elif isinstance(event, InformationalResponse):
                continue
            elif isinstance(event, Response):
                progress.status = event.status_code
                if _is_shed(event):
                    progress.is_shed = True
                    return
                progress.is_answered = True
                # The deadline is for the start of the answer; a stream may last.
                progress.scope.deadline = inf
                await answer.start(event.status_code, _answer_headers(event))
            elif isinstance(event, Data):
                await answer.write(bytes(event.data))
            elif isinstance(event, EndOfMessage | ConnectionClosed) or event is PAUSED:
                return

    async def _release(self, connection: TargetConnection) -> bool:
        http = connection.http
        if http.our_state is not DONE or http.their_state is not DONE:
            return False
        if len(self.idle) >= IDLE_CONNECTIONS:
            return False
        http.start_next_cycle()
        connection.idle_deadline = current_time() + IDLE_CONNECTION_S
        self.idle.append(connection)
        return True

    async def aclose(self) -> None:
        """Close idle connections."""
        while self.idle:
            await self.idle.pop().stream.aclose()


def _is_open(stream: SocketStream) -> bool:
    """Tell whether the target has neither closed the connection nor sent anything."""
    return not stream.socket.is_readable()


def _reason(error: BaseException, progress: Progress) -> str:
    if progress.is_answered:
        return "answer-broken"
    return "target-broken" if progress.is_sent else "target-unreachable"


def _request_headers(
    headers: tuple[Header, ...], target: Endpoint, facts: RequestFacts
) -> list[Header]:
    kept = [
        (name, value)
        for name, value in headers
        if name not in HOP_HEADERS and not name.startswith(b":") and name != b"host"
    ]
    kept.append((b"host", f"{target.host}:{target.port}".encode()))
    remaining_ms = max(0, int((facts.deadline - current_time()) * 1000))
    kept.append((REQUEST_ID, facts.request_id.encode()))
    kept.append((DEADLINE_MS, str(remaining_ms).encode()))
    has_length = any(name == b"content-length" for name, _ in kept)
    if facts.method in METHODS_WITH_BODY and not has_length:
        kept.append((b"transfer-encoding", b"chunked"))
    return kept


def _is_shed(response: Response) -> bool:
    """Tell whether the target itself says that it did not run the request."""
    said = (VERDICT, Verdict.NOT_RUN.value.encode())
    return response.status_code == SHED_STATUS and said in response.headers


def _answer_headers(response: Response) -> tuple[Header, ...]:
    return tuple(
        (name, value) for name, value in response.headers if name not in HOP_HEADERS
    )
