"""Serve an agent's admin listener over seeded traffic with one injected fault.

``python -m bench.slow_example "queue behind exports"`` listens on 127.0.0.1:9180 until
interrupted; ask it with ``balsamctl slow --service timetable``.
"""

import sys
from argparse import ArgumentParser
from collections.abc import Mapping
from io import StringIO
from time import time

import trio

from balsamtide.protocol.messages import Endpoint
from balsamtide.telemetry.admin import AdminApplication, serve_admin
from balsamtide.telemetry.records import AuditRecord
from balsamtide.telemetry.request_log import RequestLog
from balsamtide.telemetry.status import Status
from balsamtide.telemetry.summary import RequestView, Summary
from balsamtide.telemetry.telemetry import Telemetry
from bench.standins.request_records import (
    FAULTS,
    SERVICE,
    make_fault,
    merge_logs,
    record_traffic,
)

__all__ = ["main", "make_application"]

AGENT = "timetable-1"
SEED = 1
CHANGES = (
    (900.0, "role", AGENT, "started"),
    (600.0, "entry", "6", "in force"),
    (320.0, "drain", "timetable-5", "started"),
    (200.0, "drain", "timetable-5", "ended"),
    (90.0, "entry", "7", "in force"),
)


def make_application(fault: str, seed: int = SEED) -> AdminApplication:
    """Return the listener of one agent that asks six others in this process."""
    logs = record_traffic(seed, make_fault(fault, seed) if fault else None)
    telemetry = Telemetry(instance=AGENT, audit_stream=StringIO())
    telemetry.request_log = logs[AGENT]
    _add_changes(telemetry)

    async def ask_summary(service: str) -> Summary:
        if service != SERVICE:
            return Summary(service=service)
        return merge_logs(logs)

    async def ask_request(request_id: str) -> RequestView | None:
        return _find(logs, request_id)

    return AdminApplication(
        telemetry,
        status=_status,
        ask_summary=ask_summary,
        ask_request=ask_request,
    )


def main(arguments: list[str] | None = None) -> int:
    """Serve until interrupted."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("fault", nargs="?", default="", choices=["", *FAULTS])
    parser.add_argument("--port", type=int, default=9180)
    options = parser.parse_args(arguments)
    application = make_application(options.fault)
    trio.run(serve_admin, application, Endpoint("127.0.0.1", options.port))
    return 0


def _add_changes(telemetry: Telemetry) -> None:
    now = time()
    for ago_s, kind, subject, change in CHANGES:
        telemetry.audit_trail.wall_clock = lambda at=now - ago_s: at
        telemetry.audit(
            AuditRecord(kind=kind, subject=subject, change=change, version=7)
        )


def _find(logs: Mapping[str, RequestLog], request_id: str) -> RequestView | None:
    views = (log.find(request_id) for log in logs.values())
    return next((view for view in views if view is not None), None)


def _status() -> Status:
    return Status(
        instance=AGENT,
        role="agent",
        region="east",
        zone="east-a",
        state="ready",
        version=7,
        entry=7,
        service=SERVICE,
        target=AGENT,
    )


if __name__ == "__main__":
    sys.exit(main())
