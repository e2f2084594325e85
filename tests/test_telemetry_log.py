"""Tests of the event log, the audit trail and the metric registry."""

from io import StringIO

import pytest
from msgspec.json import decode
from trio import current_time, move_on_after, run
from trio.testing import MockClock

from balsamtide.telemetry.audit import AuditTrail
from balsamtide.telemetry.event import Event, Level, Metric, MetricKind
from balsamtide.telemetry.events import REPEATS_SUPPRESSED, SERIES_LIMIT
from balsamtide.telemetry.logging import LoggedEvent
from balsamtide.telemetry.records import AuditRecord
from balsamtide.telemetry.registry import MAX_SERIES
from balsamtide.telemetry.telemetry import Telemetry
from tests.fakes_telemetry import EPOCH_S, FakeClock, make_record, make_telemetry

PROBE = Event(
    number=798,
    name="probe",
    level=Level.WARNING,
    meaning="A probe.",
    fields={"peer": "instance identifier", "at": "seconds"},
)
DEBUG_PROBE = Event(number=797, name="quiet", level=Level.DEBUG, meaning="Quiet.")
COUNTED = Metric(
    name="probes_total", kind=MetricKind.COUNTER, meaning="Probes.", labels=("why",)
)
HELD = Metric(name="probes_held", kind=MetricKind.GAUGE, meaning="Probes held.")
SECRET = "5up3r-s3cret"


def written(telemetry: Telemetry) -> str:
    """Return what the telemetry has logged."""
    stream = telemetry_stream(telemetry)
    telemetry.close()
    return stream.getvalue()


def telemetry_stream(telemetry: Telemetry) -> StringIO:
    """Return the stream that a telemetry of tests logs to."""
    stream = telemetry.log_stream
    assert isinstance(stream, StringIO)
    return stream


def logged(telemetry: Telemetry) -> list[LoggedEvent]:
    """Return the lines that the telemetry has logged."""
    lines = written(telemetry).splitlines()
    return [decode(line, type=LoggedEvent) for line in lines]


@pytest.mark.parametrize(
    ("log_format", "expected"),
    [
        ("text", "2023-11-14T22:13:20.000+00:00 WARNING 798 probe peer=a-2 at=1.5\n"),
        (
            "json",
            '{"time":"2023-11-14T22:13:20.000+00:00","level":"WARNING","number":798,'
            '"name":"probe","instance":"agent-1","fields":{"peer":"a-2","at":1.5}}\n',
        ),
    ],
)
def test_events_are_lines(log_format: str, expected: str) -> None:
    """An event is one line of text or JSON with its number and its fields."""
    telemetry = make_telemetry(log_format=log_format)
    telemetry.event(PROBE, peer="a-2", at=1.5)
    assert written(telemetry) == expected


@pytest.mark.parametrize(("level", "lines"), [("DEBUG", 2), ("INFO", 1), ("ERROR", 0)])
def test_level_is_a_threshold(level: str, lines: int) -> None:
    """Events below the level are not logged."""
    telemetry = make_telemetry(level=level)
    telemetry.event(PROBE)
    telemetry.event(DEBUG_PROBE)
    assert len(logged(telemetry)) == lines


@pytest.mark.parametrize(
    ("times", "numbers", "repeats"),
    [
        ([0.0] * 5, [798] * 5, []),
        ([0.0] * 12, [798] * 5 + [701], [7]),
        ([0.0] * 6 + [11.0] * 2, [798] * 5 + [701] + [798] * 2, [1]),
        ([0.0, 4.0, 9.9, 10.0, 10.0, 10.0], [798] * 6, []),
    ],
)
def test_repeats_are_limited_and_counted(
    times: list[float], numbers: list[int], repeats: list[int]
) -> None:
    """Five occurrences in ten seconds are logged and the others are counted."""
    clock = FakeClock()
    telemetry = make_telemetry(clock)
    for now in times:
        clock.now = now
        telemetry.event(PROBE)
    clock.now += 10
    lines = logged(telemetry)
    assert [line.number for line in lines] == numbers
    suppressed = [x for x in lines if x.number == REPEATS_SUPPRESSED.number]
    assert [line.fields["repeats"] for line in suppressed] == repeats


def test_running_telemetry_reports_repeats_of_a_burst() -> None:
    """Repeats of a burst are reported although the event does not occur again."""
    telemetry = make_telemetry()
    telemetry.event_log.clock = current_time
    recorded: list[int] = []

    async def main() -> None:
        for _ in range(9):
            telemetry.event(PROBE)
        with move_on_after(25):
            await telemetry.run()
        recorded.extend(line.number for line in telemetry.event_log.recent)

    run(main, clock=MockClock(autojump_threshold=0))
    assert recorded == [798] * 5 + [701]


def test_one_event_does_not_suppress_another() -> None:
    """Repeats are limited for each event by itself."""
    telemetry = make_telemetry()
    for _ in range(9):
        telemetry.event(PROBE)
    telemetry.event(SERIES_LIMIT, metric="m")
    assert [line.number for line in logged(telemetry)] == [798] * 5 + [702, 701]


def test_pending_repeats_are_logged_at_the_end() -> None:
    """Closing the telemetry reports repeats whose window is not over."""
    telemetry = make_telemetry()
    for _ in range(6):
        telemetry.event(PROBE)
    assert logged(telemetry)[-1].fields == {"event": 798, "repeats": 1}


@pytest.mark.parametrize(
    "fields",
    [
        {"token": SECRET},
        {"peer": SECRET.encode()},
        {"body": SECRET, "peer": "a-2"},
        {"key": bytearray(SECRET.encode())},
    ],
)
def test_secrets_are_never_logged(fields: dict[str, object]) -> None:
    """Fields outside the catalogue and octets never reach the log or its copies."""
    telemetry = make_telemetry()
    telemetry.event(PROBE, **fields)
    recent = repr(telemetry.event_log.recent)
    assert SECRET not in written(telemetry) + recent


def test_unlisted_field_is_reported_once() -> None:
    """A field that the catalogue lacks is dropped and named one time."""
    telemetry = make_telemetry()
    for _ in range(3):
        telemetry.event(PROBE, peer="a-2", extra=1)
    lines = logged(telemetry)
    assert [line.number for line in lines] == [700, 798, 798, 798]
    assert lines[0].fields == {"event": 798, "field": "extra"}
    assert lines[1].fields == {"peer": "a-2"}


def test_long_values_are_cut() -> None:
    """A text in a log line has at most 200 characters."""
    telemetry = make_telemetry()
    telemetry.event(PROBE, peer="x" * 5000)
    assert logged(telemetry)[0].fields["peer"] == "x" * 200


def test_audit_trail_is_stamped_bounded_and_written() -> None:
    """Changes get a sequence and a time, old ones are dropped, all are written."""
    clock, stream = FakeClock(), StringIO()
    trail = AuditTrail(stream, instance="agent-1", wall_clock=clock.wall, capacity=2)
    for number in range(3):
        clock.now = float(number)
        record = AuditRecord(
            kind=("entry", "drain", "entry")[number],
            subject=f"s-{number}",
            change="done",
            version=number,
        )
        trail.add(record)
    assert [entry.sequence for entry in trail.query()] == [2, 3]
    assert [entry.sequence for entry in trail.query(kind="entry")] == [3]
    assert [entry.sequence for entry in trail.query(subject="s-1")] == [2]
    assert [entry.sequence for entry in trail.query(since=EPOCH_S + 2)] == [3]
    lines = [decode(line) for line in stream.getvalue().splitlines()]
    assert [line["sequence"] for line in lines] == [1, 2, 3]
    assert lines[0]["time"] == "2023-11-14T22:13:20.000+00:00"


def exposition(telemetry: Telemetry) -> list[str]:
    """Return the lines of the exposition that hold values."""
    body, _ = telemetry.render_metrics()
    return [line for line in body.decode().splitlines() if not line.startswith("#")]


def test_metrics_are_exposed() -> None:
    """Counters add up, gauges are set, and labels outside the definition vanish."""
    telemetry = make_telemetry()
    telemetry.count(COUNTED, why="a")
    telemetry.count(COUNTED, 2, why="a", other="dropped")
    telemetry.gauge(HELD, 3)
    telemetry.gauge(HELD, 1.5)
    lines = exposition(telemetry)
    assert 'balsamtide_probes_total{why="a"} 3.0' in lines
    assert "balsamtide_probes_held 1.5" in lines


def test_label_values_are_bounded() -> None:
    """Series beyond the limit are added up as 'other' and reported."""
    telemetry = make_telemetry()
    for number in range(MAX_SERIES + 10):
        telemetry.count(COUNTED, why=f"w{number}")
    lines = [line for line in exposition(telemetry) if "probes_total" in line]
    assert len(lines) == MAX_SERIES + 1
    assert 'balsamtide_probes_total{why="other"} 10.0' in lines
    assert [line.number for line in logged(telemetry)] == [SERIES_LIMIT.number]


@pytest.mark.parametrize("minutes", [1, 30])
def test_request_metrics_never_go_down(minutes: int) -> None:
    """Totals hold all requests, also those of minutes that are no longer kept."""
    clock = FakeClock()
    telemetry = make_telemetry(clock)
    for minute in range(minutes):
        clock.now = 60.0 * minute
        telemetry.request(make_record())
        telemetry.render_metrics()
    lines = exposition(telemetry)
    labels = 'service="timetable",verdict="ran"'
    assert f"balsamtide_requests_total{{{labels}}} {minutes}" in lines
    name = "balsamtide_request_duration_seconds"
    assert f'{name}_bucket{{le="0.0096",service="timetable"}} 0.0' in lines
    assert f'{name}_bucket{{le="0.0128",service="timetable"}} {minutes}.0' in lines
    assert f'{name}_count{{service="timetable"}} {minutes}.0' in lines
