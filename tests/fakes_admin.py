"""An admin listener in memory, and a runner of balsamctl against it."""

from collections.abc import Callable

import trio
from cleo.testers.application_tester import ApplicationTester
from httpx import ASGITransport, AsyncClient, MockTransport, Request, Response
from msgspec import Struct

from balsamtide.cli.application import ControlApplication
from balsamtide.config.model import Address, Configuration, Service, Target
from balsamtide.telemetry.admin import AdminApplication, NumberedConfiguration
from balsamtide.telemetry.event import Event, Level
from balsamtide.telemetry.records import AuditRecord
from balsamtide.telemetry.stages import Stage
from balsamtide.telemetry.status import Status
from balsamtide.telemetry.summary import Summary
from tests.fakes_telemetry import make_record, make_telemetry

__all__ = ["CONFIGURATION", "PROBE", "CommandRun", "make_admin", "run_command"]

PROBE = Event(
    number=799, name="probe", level=Level.INFO, meaning="A probe.", fields={"peer": "p"}
)
TARGETS = {
    f"timetable-{number}": Target(
        number=number,
        zone="east-a",
        host="10.0.0.1",
        port=8000 + number,
        agent_host="10.0.0.1",
        agent_port=9000 + number,
        agent_rpc_port=9500 + number,
    )
    for number in (1, 2)
}
CONFIGURATION = NumberedConfiguration(
    version=7,
    entry=8,
    configuration=Configuration(
        services={
            "timetable": Service(
                number=1,
                addresses={"main": Address("192.0.2.1", 443)},
                targets=TARGETS,
            )
        }
    ),
)


class CommandRun(Struct, frozen=True):
    """What a run of balsamctl left behind."""

    code: int
    output: str
    error: str


def make_status(version: int) -> Status:
    """Return the status of an agent that has ``version``."""
    return Status(
        instance="agent-1",
        role="agent",
        region="east",
        zone="east-a",
        state="ready",
        version=version,
        entry=8,
        service="timetable",
    )


def make_admin(
    summary: Summary | None = None, *, version: Callable[[], int] = lambda: 7
) -> AdminApplication:
    """Return the listener of an agent with a request, a change and an event."""
    telemetry = make_telemetry()
    record = make_record(
        "r1",
        stages={Stage.TARGET: 0.03, Stage.UNEXPLAINED: 0.01},
        attempts=("timetable-2 not-run full", "timetable-1 ran "),
    )
    telemetry.request(record)
    for kind, change in (("entry", "in force"), ("drain", "started <now>")):
        telemetry.audit(
            AuditRecord(kind=kind, subject="timetable-2", change=change, version=7)
        )
    telemetry.event(PROBE, peer="agent-2")

    async def ask_summary(service: str) -> Summary:
        return summary or telemetry.request_log.summary(service)

    return AdminApplication(
        telemetry,
        status=lambda: make_status(version()),
        ask_summary=ask_summary,
        configuration=lambda: CONFIGURATION,
    )


def run_command(arguments: str, admin: AdminApplication | None = None) -> CommandRun:
    """Run balsamctl with ``arguments`` against ``admin``."""
    application = ControlApplication(_transport(admin or make_admin()))
    tester = ApplicationTester(application)
    code = tester.execute(arguments)
    return CommandRun(code, tester.io.fetch_output(), tester.io.fetch_error())


def _transport(admin: AdminApplication) -> MockTransport:
    async def get(url: str) -> Response:
        async with AsyncClient(transport=ASGITransport(admin)) as client:
            return await client.get(url)

    def handle(request: Request) -> Response:
        answer = trio.run(get, str(request.url))
        return Response(answer.status_code, content=answer.content)

    return MockTransport(handle)
