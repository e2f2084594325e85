"""Processor time of one hand-off over grpclib, both ends, on loopback."""

from collections.abc import Iterator
from time import process_time

import trio

from balsamtide.requests.runner import RequestHead
from bench.figures import Figure
from tests.fakes_hand_off import PEER_TARGET, FakeHost, RecordingWriter, chunks, serving
from tests.fakes_requests import make_request

__all__ = ["figures"]

WARM_UP = 30
COUNT = 300
HEAD = RequestHead("POST", "/marks", ((b"content-type", b"text/plain"),))
BODY = b"x" * 200


async def _measure(*, is_granted: bool) -> float:
    host = FakeHost()
    host.is_granting = is_granted
    async with serving(host) as client:
        before = 0.0
        for number in range(WARM_UP + COUNT):
            if number == WARM_UP:
                before = process_time()
            facts = make_request(f"r{number}", deadline=trio.current_time() + 10)
            runner = client.runner((PEER_TARGET,))
            await runner.run(facts, HEAD, chunks(BODY), RecordingWriter())
        return (process_time() - before) / COUNT


def figures() -> Iterator[Figure]:
    """Measure a hand-off with offer, grant, run, body and answer."""
    for name, is_granted in (("granted and run", True), ("denied", False)):

        async def measure(is_granted: bool = is_granted) -> float:
            return await _measure(is_granted=is_granted)

        yield Figure(
            name=f"hand-off over grpclib, {name}: CPU of both ends",
            figure=1000 * trio.run(measure),
            unit="ms",
        )
