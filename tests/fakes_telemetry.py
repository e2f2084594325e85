"""Builders of telemetry for tests."""

from collections.abc import Mapping
from io import StringIO

from balsamtide.protocol.verdict import Verdict
from balsamtide.telemetry.records import RequestRecord
from balsamtide.telemetry.stages import Stage
from balsamtide.telemetry.telemetry import Telemetry

__all__ = ["EPOCH_S", "FakeClock", "make_record", "make_telemetry"]

EPOCH_S = 1_700_000_000.0


class FakeClock:
    """A clock that is set by hand, seconds."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now

    def __call__(self) -> float:
        """Return the time."""
        return self.now

    def wall(self) -> float:
        """Return the time since the epoch."""
        return EPOCH_S + self.now


def make_record(
    request_id: str = "r1",
    *,
    stages: Mapping[Stage, float] | None = None,
    **changes: object,
) -> RequestRecord:
    """Return a record of a request that ran, with ``changes``."""
    values: dict[str, object] = {
        "request_id": request_id,
        "service": "timetable",
        "route": "/",
        "target": "timetable-1",
        "zone": "east-a",
        "version": 7,
        "verdict": Verdict.RAN,
        "status": 200,
        "stages": dict(stages or {Stage.TARGET: 0.01}),
    }
    return RequestRecord(**(values | changes))  # type: ignore[arg-type]


def make_telemetry(
    clock: FakeClock | None = None, *, log_format: str = "json", level: str = "INFO"
) -> Telemetry:
    """Return telemetry that writes to memory."""
    clock = clock or FakeClock()
    return Telemetry(
        instance="agent-1",
        log_format=log_format,
        log_level=level,
        log_stream=StringIO(),
        audit_stream=StringIO(),
        clock=clock,
        wall_clock=clock.wall,
    )
