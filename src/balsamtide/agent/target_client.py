"""HTTP/1.1 client of the target that derives the verdict of each failure."""

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
    RemoteProtocolError,
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

from balsamtide.protocol.headers import DEADLINE_MS, REQUEST_ID
from balsamtide.protocol.messages import Endpoint
from balsamtide.requests.exits import Exit
from balsamtide.requests.model import Outcome, RequestFacts
from balsamtide.requests.runner import AnswerWriter, Header, RequestHead, Runner
from balsamtide.requests.target_answers import classify_answer

__all__ = ["TargetRunner"]

READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 4.0
MAX_IDLE_CONNECTIONS = 16
HOP_BY_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"transfer-encoding", b"te", b"upgrade", b"trailer")
)
REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {b"host", REQUEST_ID, DEADLINE_MS}
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")
STREAM_ERRORS = (BrokenResourceError, ClosedResourceError, OSError)


@dataclass(slots=True)
class TargetConnection:
    """TCP connection to the target with its HTTP state."""

    stream: SocketStream
    http: Connection
    idle_deadline: float = 0.0


@dataclass(slots=True)
class Progress:
    """Progress of one request, from which the verdict of a failure follows."""

    started_at: float
    scope: CancelScope = field(default_factory=CancelScope)
    is_connected: bool = False
    is_write_started: bool = False
    status: int = 0
    is_answered: bool = False
    # How the request ends if its answer is received completely.
    answer_exit: Exit = Exit.ANSWERED

    def failure_exit(self, *, is_timeout: bool = False) -> Exit:
        """Return how the request ends if its connection fails at this point."""
        if self.is_answered:
            return Exit.ANSWER_CUT
        if self.is_write_started:
            return Exit.TARGET_TIMEOUT if is_timeout else Exit.REQUEST_CUT
        if self.is_connected:
            return Exit.REQUEST_NOT_SENT
        return Exit.CONNECT_TIMEOUT if is_timeout else Exit.CONNECT_REFUSED


class TargetRunner(Runner):
    """Runs requests on one target over keep-alive connections.

    A request is written once, to a new connection or to an idle one after a check that
    it is still open. It is never retried here, as it may have run.

    Parameters
    ----------
    target : Endpoint
        TCP address of the target.
    """

    def __init__(self, target: Endpoint) -> None:
        self.target = target
        self.idle_connections: list[TargetConnection] = []

    async def run(
        self,
        facts: RequestFacts,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Run one request on the target and stream its answer."""
        progress = Progress(started_at=current_time())
        try:
            with fail_at(facts.deadline) as scope:
                progress.scope = scope
                connection = await self._connect()
                progress.is_connected = True
                return await self._exchange(
                    connection, facts, head, body, answer, progress
                )
        except TooSlowError:
            return self._make_outcome(progress, progress.failure_exit(is_timeout=True))
        except (*STREAM_ERRORS, ProtocolError):
            return self._make_outcome(progress, progress.failure_exit())

    @staticmethod
    def _make_outcome(progress: Progress, request_exit: Exit) -> Outcome:
        return request_exit.outcome(
            status=progress.status or None,
            service_time_s=current_time() - progress.started_at,
        )

    async def _connect(self) -> TargetConnection:
        now = current_time()
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.idle_deadline > now and _is_open(connection.stream):
                return connection
            await connection.stream.aclose()
        with fail_after(CONNECT_TIMEOUT_S):
            stream = await open_tcp_stream(self.target.host, self.target.port)
        return TargetConnection(stream, Connection(our_role=CLIENT))

    async def _exchange(
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
            # No other task runs between the check of an idle connection and this write,
            # so that an answer which is read later follows the request.
            await self._send_head(connection, facts, head, progress)
            async with open_nursery() as nursery:
                nursery.start_soon(self._send_body, connection, body)
                await self._receive(connection, facts, answer, progress)
                nursery.cancel_scope.cancel()
            is_reusable = await self._keep_idle(connection)
        except* STREAM_ERRORS as errors:
            raise errors.exceptions[0] from None
        except* ProtocolError as errors:
            raise errors.exceptions[0] from None
        finally:
            if not is_reusable:
                await connection.stream.aclose()
        return self._make_outcome(progress, progress.answer_exit)

    async def _send_head(
        self,
        connection: TargetConnection,
        facts: RequestFacts,
        head: RequestHead,
        progress: Progress,
    ) -> None:
        request = Request(
            method=head.method,
            target=head.path,
            headers=_request_headers(head.headers, self.target, facts),
        )
        request_bytes = connection.http.send(request)
        progress.is_write_started = True
        await connection.stream.send_all(request_bytes or b"")

    @staticmethod
    async def _send_body(
        connection: TargetConnection, body: AsyncIterator[bytes]
    ) -> None:
        http = connection.http
        async for chunk in body:
            await connection.stream.send_all(http.send(Data(data=chunk)) or b"")
        await connection.stream.send_all(http.send(EndOfMessage()) or b"")

    async def _receive(
        self,
        connection: TargetConnection,
        facts: RequestFacts,
        answer: AnswerWriter,
        progress: Progress,
    ) -> None:
        while True:
            event = connection.http.next_event()
            if event is NEED_DATA:
                received = await connection.stream.receive_some(READ_BYTES)
                connection.http.receive_data(received)
            elif isinstance(event, InformationalResponse):
                continue
            elif isinstance(event, Response):
                _check_request_id(event, facts)
                progress.status = event.status_code
                headers = _answer_headers(event)
                progress.answer_exit = classify_answer(event.status_code, headers)
                # The target did not run the request, which may be retried elsewhere, so
                # this answer is not passed on.
                if progress.answer_exit is Exit.TARGET_SHED:
                    return
                progress.is_answered = True
                # The deadline limits the start of the answer, not its duration.
                progress.scope.deadline = inf
                await answer.start(event.status_code, headers)
            elif isinstance(event, Data):
                await answer.write(bytes(event.data))
            elif isinstance(event, EndOfMessage | ConnectionClosed) or event is PAUSED:
                if not progress.is_answered:
                    raise RemoteProtocolError(f"{event!r} before an answer")
                return

    async def _keep_idle(self, connection: TargetConnection) -> bool:
        http = connection.http
        if http.our_state is not DONE or http.their_state is not DONE:
            return False
        unread, _ = http.trailing_data
        if unread:
            # Octets behind the answer, such as a second copy of it, would be taken for
            # the answer to the next request.
            return False
        if len(self.idle_connections) >= MAX_IDLE_CONNECTIONS:
            return False
        http.start_next_cycle()
        connection.idle_deadline = current_time() + KEEP_ALIVE_S
        self.idle_connections.append(connection)
        return True

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self.idle_connections:
            await self.idle_connections.pop().stream.aclose()


def _is_open(stream: SocketStream) -> bool:
    """Return whether the target has neither closed the connection nor sent data."""
    return not stream.socket.is_readable()


def _check_request_id(response: Response, facts: RequestFacts) -> None:
    """Raise `RemoteProtocolError` if an answer names another request than its own."""
    for name, value in response.headers:
        if name == REQUEST_ID and value != facts.request_id.encode():
            raise RemoteProtocolError(
                f"the answer to {facts.request_id} names the request {value!r}"
            )


def _request_headers(
    headers: tuple[Header, ...], target: Endpoint, facts: RequestFacts
) -> list[Header]:
    kept = [
        (name, value)
        for name, value in headers
        if name not in REPLACED_HEADERS and not name.startswith(b":")
    ]
    kept.append((b"host", f"{target.host}:{target.port}".encode()))
    remaining_ms = max(0, int((facts.deadline - current_time()) * 1000))
    kept.append((REQUEST_ID, facts.request_id.encode()))
    kept.append((DEADLINE_MS, str(remaining_ms).encode()))
    has_length = any(name == b"content-length" for name, _ in kept)
    if facts.method in METHODS_WITH_BODY and not has_length:
        kept.append((b"transfer-encoding", b"chunked"))
    return kept


def _answer_headers(response: Response) -> tuple[Header, ...]:
    return tuple(
        (name, value)
        for name, value in response.headers
        if name not in HOP_BY_HOP_HEADERS
    )
