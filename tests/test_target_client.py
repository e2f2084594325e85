"""Tests of the HTTP client of the target against targets that misbehave."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial

import pytest
from trio import (
    BrokenResourceError,
    Event,
    SocketStream,
    current_time,
    open_nursery,
    open_tcp_listeners,
    run,
    serve_listeners,
)

from balsamtide.agent import target_client
from balsamtide.agent.target_client import TargetRunner
from balsamtide.protocol.messages import Endpoint
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.model import Outcome, RequestFacts
from balsamtide.requests.runner import AnswerWriter, Header, RequestHead

HOST = "127.0.0.1"
DEADLINE_S = 2.0
FIRST = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst"
SECOND = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond"

Serve = Callable[[SocketStream, int], Awaitable[None]]


@dataclass(slots=True)
class RecordedAnswer(AnswerWriter):
    """What a caller would have got."""

    status: int = 0
    body: bytes = b""
    headers: list[Header] = field(default_factory=list)

    async def start(self, status, headers):
        """Record the head."""
        self.status = status
        self.headers += headers

    async def write(self, chunk):
        """Record a part of the body."""
        self.body += chunk


async def no_body() -> AsyncIterator[bytes]:
    """Return the body of a GET."""
    for chunk in ():
        yield chunk


async def send_request(runner: TargetRunner, number: int) -> tuple[Outcome, bytes]:
    """Run one GET and return its outcome and body."""
    now = current_time()
    facts = RequestFacts(
        request_id=f"request-{number}",
        service="quick",
        route="/",
        method="GET",
        is_idempotent=True,
        key=None,
        attempt=1,
        caller=HOST,
        arrived=now,
        deadline=now + DEADLINE_S,
    )
    head = RequestHead(method="GET", path="/", headers=())
    answer = RecordedAnswer()
    outcome = await runner.run(facts, head, no_body(), answer)
    return outcome, answer.body


async def read_head(stream: SocketStream) -> bytes:
    """Read up to the end of a request's head."""
    received = b""
    while b"\r\n\r\n" not in received:
        chunk = await stream.receive_some(4096)
        if not chunk:
            return b""
        received += chunk
    return received


async def serve_twice(stream: SocketStream, connection: int, *, first: bytes) -> None:
    """Answer with ``first``, which holds a second copy, then with ``SECOND``."""
    answer = first if connection == 1 else SECOND
    while await read_head(stream):
        await stream.send_all(answer)
        answer = SECOND


async def serve_and_close(stream: SocketStream, connection: int) -> None:
    """Answer one request on the first connection and close it without a notice."""
    await read_head(stream)
    await stream.send_all(FIRST if connection == 1 else SECOND)
    if connection > 1:
        await stream.receive_some(1)


async def serve_another_request(stream: SocketStream, connection: int) -> None:
    """Answer with the identifier of another request."""
    await read_head(stream)
    await stream.send_all(
        b"HTTP/1.1 200 OK\r\nbalsamtide-request-id: request-7\r\n"
        b"content-length: 5\r\n\r\nother"
    )


async def serve_part(stream: SocketStream, connection: int, *, part: bytes) -> None:
    """Send a part of an answer and close the connection."""
    await read_head(stream)
    await stream.send_all(part)


async def with_target(serve: Serve, scenario: Callable[[TargetRunner], Awaitable]):
    """Run a scenario against a target that serves each connection by ``serve``."""
    connections = 0

    async def handle(stream: SocketStream) -> None:
        nonlocal connections
        connections += 1
        with suppress(BrokenResourceError):
            await serve(stream, connections)

    async with open_nursery() as nursery:
        listeners = await open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(serve_listeners, handle, listeners)
        runner = TargetRunner(Endpoint(HOST, port))
        await scenario(runner)
        await runner.aclose()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    "first", [FIRST + FIRST, FIRST + FIRST[:9]], ids=["whole", "begun"]
)
def test_second_copy_of_an_answer_reaches_no_other_request(first):
    """A copy that arrives together with its answer is not the next one's answer."""

    async def scenario(runner):
        assert (await send_request(runner, 1))[1] == b"first"
        outcome, body = await send_request(runner, 2)
        assert (outcome.verdict, body) == (Verdict.RAN, b"second")

    run(with_target, partial(serve_twice, first=first), scenario)


def test_copy_that_arrives_later_reaches_no_other_request():
    """A copy that arrives while the connection is idle is not the next answer."""
    is_idle, is_repeated = Event(), Event()

    async def serve(stream, connection):
        await read_head(stream)
        await stream.send_all(FIRST if connection == 1 else SECOND)
        await is_idle.wait()
        await stream.send_all(FIRST)
        is_repeated.set()
        await read_head(stream)

    async def scenario(runner):
        assert (await send_request(runner, 1))[1] == b"first"
        is_idle.set()
        await is_repeated.wait()
        outcome, body = await send_request(runner, 2)
        assert (outcome.verdict, body) == (Verdict.RAN, b"second")

    run(with_target, serve, scenario)


def test_connection_closed_before_the_request_is_no_answer(monkeypatch):
    """A close between the check of an idle connection and its use is no success."""
    monkeypatch.setattr(target_client, "_is_open", lambda stream: True)

    async def scenario(runner):
        assert (await send_request(runner, 1))[1] == b"first"
        outcome, _ = await send_request(runner, 2)
        assert outcome.verdict is not Verdict.RAN
        assert outcome.reason

    run(with_target, serve_and_close, scenario)


def test_answer_to_another_request_is_not_passed_on():
    """An answer that names another request is not passed on; its own may have run."""

    async def scenario(runner):
        outcome, body = await send_request(runner, 1)
        assert (outcome.verdict, body) == (Verdict.MAY_HAVE_RUN, b"")

    run(with_target, serve_another_request, scenario)


PARTS = {
    "nothing": (b"", Verdict.MAY_HAVE_RUN),
    "part of the head": (FIRST[:20], Verdict.MAY_HAVE_RUN),
    "head alone": (FIRST[:-5], Verdict.RAN),
    "short body": (FIRST[:-1], Verdict.RAN),
    "chunk without its end": (
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n",
        Verdict.RAN,
    ),
}


@pytest.mark.parametrize(("part", "verdict"), PARTS.values(), ids=PARTS)
def test_answer_that_breaks_off_is_incomplete(part, verdict):
    """An answer whose connection closes before its end is reported as incomplete."""

    async def scenario(runner):
        outcome, _ = await send_request(runner, 1)
        assert outcome.verdict is verdict
        assert not outcome.is_complete

    run(with_target, partial(serve_part, part=part), scenario)
