"""Tests of the admin listener, over a real socket."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio
from httpx import AsyncClient

from balsamtide.protocol.messages import Endpoint
from balsamtide.telemetry.admin import AdminApplication, serve_admin
from balsamtide.telemetry.event import Event, Level
from balsamtide.telemetry.records import AuditRecord
from balsamtide.telemetry.status import Status
from tests.fakes_telemetry import EPOCH_S, make_record, make_telemetry

STATUS = Status(
    instance="agent-1",
    role="agent",
    region="east",
    zone="east-a",
    state="ready",
    version=7,
    entry=8,
)
PROBE = Event(number=799, name="probe", level=Level.INFO, meaning="A probe.")


def make_application() -> AdminApplication:
    """Return an application with one request, one change and one event."""
    telemetry = make_telemetry()
    telemetry.request(make_record("r1"))
    telemetry.request(make_record("r2", status=503, reason="queue-full"))
    telemetry.audit(
        AuditRecord(kind="drain", subject="agent-1", change="started", version=7)
    )
    telemetry.event(PROBE)
    return AdminApplication(telemetry, status=lambda: STATUS)


@asynccontextmanager
async def admin_client() -> AsyncIterator[AsyncClient]:
    """Serve the application on loopback and yield a client of it."""
    async with trio.open_nursery() as nursery:
        urls = await nursery.start(
            serve_admin, make_application(), Endpoint("127.0.0.1", 0)
        )
        async with AsyncClient(base_url=urls[0], trust_env=False) as client:
            yield client
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("path", "status", "expected"),
    [
        ("/status", 200, '"version":7'),
        ("/metrics", 200, "balsamtide_requests_total"),
        ("/metrics", 200, "balsamtide_request_duration_seconds_bucket"),
        ("/audit", 200, '"kind":"drain"'),
        ("/audit?kind=entry", 200, "[]"),
        (f"/audit?kind=drain&since={EPOCH_S + 1}", 200, "[]"),
        (f"/audit?subject=agent-1&since={EPOCH_S}", 200, '"change":"started"'),
        ("/audit?since=noon", 400, "since is not a number"),
        ("/events", 200, '"number":799'),
        ("/requests/r2", 200, '"reason":"queue-full"'),
        ("/requests/r9", 404, "not kept here"),
        ("/slow?service=timetable", 200, '"failed":[{"request_id":"r2"'),
        ("/summary?service=timetable", 200, '"instances":["agent-1"]'),
        ("/summary", 400, "no service is named"),
        ("/nothing", 404, "there are: /metrics"),
    ],
)
def test_admin_answers(path: str, status: int, expected: str) -> None:
    """Each page answers with its status and content, errors say what to try."""

    async def main() -> None:
        async with admin_client() as client:
            response = await client.get(path)
            assert response.status_code == status
            assert expected in response.text

    trio.run(main)


def test_only_get_is_answered() -> None:
    """Nothing can be changed through the admin listener."""

    async def main() -> None:
        async with admin_client() as client:
            response = await client.post("/status")
            assert response.status_code == 405

    trio.run(main)
