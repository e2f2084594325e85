"""Tests of the request log, its summaries and the naming of causes."""

from random import Random

import pytest
from hypothesis import given
from hypothesis.strategies import floats, integers, lists
from msgspec.msgpack import decode, encode

from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit
from balsamtide.telemetry.cause import SILENT_REASONS, diagnose
from balsamtide.telemetry.cells import BUCKETS, bucket_of, lower_bound_s
from balsamtide.telemetry.diagnosis import CauseKind
from balsamtide.telemetry.records import RequestRecord
from balsamtide.telemetry.request_log import (
    FAILED_REQUESTS,
    GROUP_MINUTES,
    GROUPS_PER_MINUTE,
    LATEST_REQUESTS,
    MAX_SERVICES,
    SLOWEST_PER_MINUTE,
    RequestLog,
)
from balsamtide.telemetry.stages import Stage
from balsamtide.telemetry.summary import (
    MAX_GROUPS,
    MAX_REASONS,
    MAX_ROUTES,
    Summary,
    merge,
    new_histogram,
    quantile_s,
)
from bench.standins.request_records import FAULTS, make_fault, summarise
from tests.fakes_telemetry import FakeClock, make_record

SERVICE = "timetable"
MAX_SUMMARY_OCTETS = 200_000


def make_log(clock: FakeClock | None = None, instance: str = "agent-1") -> RequestLog:
    """Return an empty log."""
    return RequestLog(instance=instance, clock=clock or FakeClock())


def flood(log: RequestLog, clock: FakeClock, minutes: int) -> None:
    """Add requests with far more routes, targets and reasons than are kept."""
    random = Random(1)
    for minute in range(minutes):
        clock.now = 60.0 * minute
        for number in range(300):
            log.add(
                make_record(
                    f"{minute}-{number}",
                    stages={stage: random.uniform(0, 100) for stage in Stage},
                    route=f"/{number}",
                    target=f"t-{number}",
                    service=f"s-{number % 10}" if number % 2 else SERVICE,
                    status=503,
                    attempts=(f"t not-run why-{number}",) * 9,
                )
            )


@given(floats(min_value=0, max_value=1e6))
def test_bucket_holds_its_value(seconds: float) -> None:
    """A value lies in its bucket, which is narrow up to the last one."""
    bucket = bucket_of(seconds)
    assert 0 <= bucket < BUCKETS
    assert lower_bound_s(bucket) <= seconds + 1e-9
    if bucket < BUCKETS - 1:
        upper = lower_bound_s(bucket + 1)
        assert seconds < upper + 1e-9
        assert upper - lower_bound_s(bucket) <= max(1e-4, 0.25 * upper) + 1e-9


@given(lists(floats(min_value=0.0001, max_value=3000), min_size=1), integers(1, 100))
def test_quantile_error_is_bounded(values: list[float], percent: int) -> None:
    """A percentile is within 6.25% or 0.1 ms of the value at its rank."""
    histogram = new_histogram()
    for value in values:
        histogram.record_value(int(value * 10_000))
    rank = max(1, int(percent / 100 * len(values) + 0.5))
    exact = sorted(values)[rank - 1]
    assert abs(quantile_s(histogram, percent) - exact) <= 0.0625 * exact + 1.1e-4


def test_memory_is_bounded() -> None:
    """No collection grows beyond its limit, whatever names requests carry."""
    clock = FakeClock()
    log = make_log(clock)
    flood(log, clock, GROUP_MINUTES + 5)
    assert len(log.latest) == LATEST_REQUESTS
    assert len(log.failed) == FAILED_REQUESTS
    assert len(log.services) == MAX_SERVICES + 1
    for service in log.services.values():
        assert len(service.minutes) == GROUP_MINUTES
        assert len(service.routes) < MAX_ROUTES
        for minute in service.minutes:
            assert len(minute.groups) <= GROUPS_PER_MINUTE
            assert len(minute.slowest) <= SLOWEST_PER_MINUTE
            assert len(minute.histograms) <= MAX_ROUTES
            for group in minute.groups.values():
                assert len(group.reasons) <= MAX_REASONS + 1


def test_summary_is_bounded_and_loses_no_request() -> None:
    """A summary keeps the largest groups and adds up the others."""
    clock = FakeClock()
    log = make_log(clock)
    flood(log, clock, 2)
    summary = log.summary(SERVICE)
    assert len(summary.recent) == MAX_GROUPS
    assert len(summary.routes) <= MAX_ROUTES
    assert sum(group.count for group in summary.recent) == 300
    assert len(encode(summary)) < MAX_SUMMARY_OCTETS


@pytest.mark.parametrize(
    ("minute", "recent", "baseline"),
    [(0, 1, 0), (1, 1, 0), (2, 0, 0), (3, 0, 1), (10, 0, 1), (19, 0, 1), (20, 0, 0)],
)
def test_windows_of_a_summary(minute: int, recent: int, baseline: int) -> None:
    """A request is recent for two minutes and baseline from the third to the 20th."""
    clock = FakeClock()
    log = make_log(clock)
    log.add(make_record())
    clock.now = 60.0 * minute
    summary = log.summary(SERVICE)
    assert sum(group.count for group in summary.recent) == recent
    assert sum(group.count for group in summary.baseline) == baseline


def test_merge_equals_one_log() -> None:
    """Merged summaries of two agents equal the summary of one that saw all."""
    clock = FakeClock()
    both, first, second = (make_log(clock, name) for name in ("c", "a", "b"))
    for number in range(200):
        clock.now = number * 5.0
        record = make_record(
            f"r{number}",
            stages={Stage.TARGET: 0.001 * (number + 1)},
            target=f"t-{number % 3}",
        )
        (first if number % 2 else second).add(record)
        both.add(record)
    parts = [encode(log.summary(SERVICE)) for log in (first, second)]
    merged = merge([decode(part, type=Summary) for part in parts])
    expected = merge([both.summary(SERVICE)])
    assert merged.instances == ("a", "b")
    assert set(merged.recent) == set(expected.recent)
    assert set(merged.baseline) == set(expected.baseline)
    assert [v.request_id for v in merged.slowest] == [
        v.request_id for v in expected.slowest
    ]


@pytest.mark.parametrize(
    ("record", "is_failed"),
    [
        (make_record("r1"), False),
        (make_record("r1", status=404), False),
        (make_record("r1", status=500), True),
        (make_record("r1", verdict=Verdict.MAY_HAVE_RUN, status=409), True),
        (make_record("r1", verdict=Verdict.NOT_RUN, status=428), True),
    ],
)
def test_failed_requests_outlive_others(record: RequestRecord, is_failed: bool) -> None:
    """Requests that failed are found after many others and many minutes."""
    clock = FakeClock()
    log = make_log(clock)
    log.add(record)
    clock.now = 3600.0
    for number in range(LATEST_REQUESTS):
        log.add(make_record(f"later-{number}"))
    assert (log.find("r1") is not None) is is_failed
    assert len(log.failures(SERVICE)) == int(is_failed)


def test_slowest_are_kept_in_order() -> None:
    """The slowest requests come first, whenever they ended."""
    log = make_log()
    times = [float(number * 7 % 50) for number in range(50)]
    for number, seconds in enumerate(times):
        log.add(make_record(f"r{number}", stages={Stage.TARGET: seconds}))
    slowest = [view.total_s for view in log.slowest(SERVICE)]
    assert slowest == sorted(times, reverse=True)[:10]


@pytest.mark.parametrize("name", FAULTS)
@pytest.mark.parametrize("seed", [1, 2])
def test_cause_is_named(name: str, seed: int) -> None:
    """Each injected fault is named first, with the part of the service it hits."""
    fault = make_fault(name, seed)
    finding = diagnose(summarise(seed, fault)).findings[0]
    assert (finding.kind, finding.scope) == (fault.kind, fault.scope)


@pytest.mark.parametrize("seed", range(3))
def test_calm_traffic_has_no_cause(seed: int) -> None:
    """Changes of rate, mix and bursts are not reported."""
    diagnosis = diagnose(summarise(seed))
    assert diagnosis.is_comparable
    assert diagnosis.sentence == "nothing unusual"


def test_few_requests_are_not_judged() -> None:
    """Without enough requests in both windows it says so."""
    log = make_log()
    log.add(make_record())
    diagnosis = diagnose(log.summary(SERVICE))
    assert not diagnosis.is_comparable
    assert "too few requests" in diagnosis.sentence


@pytest.mark.parametrize(
    ("reason", "kind"),
    [
        ("queue-full", CauseKind.FAILURES),
        ("target-timeout", CauseKind.SILENT_CONNECTION),
    ],
)
def test_failures_without_lost_time_are_named(reason: str, kind: CauseKind) -> None:
    """Attempts that fail at once are reported with their reason."""
    clock = FakeClock()
    log = make_log(clock)
    for number in range(400):
        clock.now = 3.0 * number
        is_failed = number >= 380
        log.add(
            make_record(
                f"r{number}",
                status=503 if is_failed else 200,
                attempts=(f"t-1 not-run {reason}",) if is_failed else (),
            )
        )
    finding = diagnose(log.summary(SERVICE)).findings[0]
    assert (finding.kind, finding.reason) == (kind, reason)


def test_silent_reasons_are_those_of_requests() -> None:
    """The reasons that mean silence are reasons that requests end with."""
    exits = (Exit.CONNECT_TIMEOUT, Exit.PEER_SILENT, Exit.TARGET_TIMEOUT)
    assert {end.reason for end in exits} == SILENT_REASONS
