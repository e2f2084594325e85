"""Named causes for injected faults, false alarms, and the price of tracing."""

from collections.abc import Iterator
from gc import collect
from os import devnull
from random import Random
from time import process_time
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing

from msgspec.msgpack import encode

from balsamtide.telemetry.cause import diagnose
from balsamtide.telemetry.records import AuditRecord, RequestRecord
from balsamtide.telemetry.request_log import RequestLog
from balsamtide.telemetry.stages import Stage
from balsamtide.telemetry.telemetry import Telemetry
from bench.figures import Figure
from bench.standins.http3_exchange import Exchange
from bench.standins.request_records import (
    FAULTS,
    SERVICE,
    make_fault,
    merge_logs,
    record_traffic,
    summarise,
)
from tests.fakes_telemetry import FakeClock, make_record, make_telemetry

__all__ = ["figures"]

FIRST_SEED = 500
FAULT_SEEDS = 20
CALM_SEEDS = 100
WARM_UP_REQUESTS = 50
COST_REQUESTS = 1000
COST_ROUNDS = 5
MAX_CPU_PERCENT = 5.0
MAX_MEMORY_MB = 16.0
MINUTE_S = 60.0
MEMORY_MINUTES = 25
AUDIT_ENTRIES = 5000
MEMORY_ROUTES = 20
MEMORY_TARGETS = 12
MEGABYTE = 2**20
TYPICAL_STAGES = {
    Stage.CALLER_PATH: 0.001,
    Stage.BALANCER: 0.00005,
    Stage.INNER_PATH: 0.0004,
    Stage.QUEUED_SHORT: 0.003,
    Stage.TARGET: 0.008,
    Stage.RETURN_PATH: 0.0012,
    Stage.UNEXPLAINED: 0.0002,
}


def figures() -> Iterator[Figure]:
    """Yield all figures of this subject."""
    for name in FAULTS:
        yield _named_share(name)
    yield _false_alarms()
    yield from _cpu()
    yield from _memory()
    yield from _summaries()


def _named_share(name: str) -> Figure:
    right = sum(_is_named(name, FIRST_SEED + seed) for seed in range(FAULT_SEEDS))
    percent = 100 * right / FAULT_SEEDS
    return Figure(
        name=f"cause: {name} named, with its scope",
        figure=percent,
        unit="% of runs",
        target="100",
        met=percent == 100,
    )


def _is_named(name: str, seed: int) -> bool:
    fault = make_fault(name, seed)
    findings = diagnose(summarise(seed, fault)).findings
    if not findings:
        return False
    return findings[0].kind is fault.kind and findings[0].scope == fault.scope


def _false_alarms() -> Figure:
    seeds = range(FIRST_SEED, FIRST_SEED + CALM_SEEDS)
    alarms = sum(bool(diagnose(summarise(seed)).findings) for seed in seeds)
    return Figure(
        name="cause: false alarms in calm traffic",
        figure=alarms,
        unit=f"of {CALM_SEEDS} runs",
        target="0",
        met=alarms == 0,
    )


def _cpu() -> Iterator[Figure]:
    exchange = Exchange()
    telemetry = make_telemetry()
    records = [
        make_record(f"r{number}", stages=TYPICAL_STAGES)
        for number in range(COST_REQUESTS)
    ]
    exchange.run(WARM_UP_REQUESTS)
    path_us, traced_us = [], []
    for _ in range(COST_ROUNDS):
        path_us.append(1e6 * exchange.run(COST_REQUESTS) / COST_REQUESTS)
        traced_us.append(1e6 * _trace(telemetry, records) / COST_REQUESTS)
    telemetry.close()
    path, traced = (
        sorted(path_us)[COST_ROUNDS // 2],
        sorted(traced_us)[COST_ROUNDS // 2],
    )
    percent = 100 * traced / path
    yield Figure(
        name="tracing: CPU of a request", figure=traced, unit="us", baseline=path
    )
    yield Figure(
        name="tracing: share of aioquic's server side of a request",
        figure=percent,
        unit="%",
        target=f"< {MAX_CPU_PERCENT:.0f}",
        met=percent < MAX_CPU_PERCENT,
    )


def _trace(telemetry: Telemetry, records: list[RequestRecord]) -> float:
    start = process_time()
    for record in records:
        telemetry.request(record)
    return process_time() - start


def _memory() -> Iterator[Figure]:
    collect()
    clock = FakeClock()
    start_tracing()
    before = get_traced_memory()[0]
    telemetry = make_telemetry(clock)
    with open(devnull, "w") as sink:
        telemetry.audit_trail.stream = sink
        _fill(telemetry, clock)
    collect()
    megabytes = (get_traced_memory()[0] - before) / MEGABYTE
    stop_tracing()
    yield Figure(
        name="tracing: memory when every bound is reached",
        figure=megabytes,
        unit="MB",
        target=f"< {MAX_MEMORY_MB:.0f}",
        met=megabytes < MAX_MEMORY_MB,
    )
    yield _summary_cost("when every bound is reached", telemetry.request_log)
    telemetry.close()


def _summary_cost(name: str, log: RequestLog) -> Figure:
    start = process_time()
    octets = len(encode(log.summary(SERVICE)))
    return Figure(
        name=f"summary: CPU of an agent's answer, {name}",
        figure=1000 * (process_time() - start),
        unit=f"ms, {octets} B",
    )


def _fill(telemetry: Telemetry, clock: FakeClock) -> None:
    random = Random(FIRST_SEED)
    for number in range(AUDIT_ENTRIES):
        telemetry.audit(
            AuditRecord(
                kind="entry",
                subject=f"subject-{number}",
                change=f"change-{number}",
                version=number,
                cause=f"cause-{number}",
                actor=f"actor-{number}",
            )
        )
    for minute in range(MEMORY_MINUTES):
        clock.now = minute * MINUTE_S
        for route in range(MEMORY_ROUTES):
            for target in range(MEMORY_TARGETS):
                number = f"{minute}-{route}-{target}"
                telemetry.request(
                    make_record(
                        f"request-{number}",
                        stages={stage: random.uniform(0, 5) for stage in Stage},
                        route=f"/route-{route}",
                        target=f"target-{target}",
                        version=minute,
                        status=503,
                        attempts=tuple(f"{n} not-run full {number}" for n in range(8)),
                    )
                )


def _summaries() -> Iterator[Figure]:
    logs = record_traffic(FIRST_SEED)
    yield _summary_cost("usual", next(iter(logs.values())))
    start = process_time()
    octets = len(encode(merge_logs(logs)))
    yield Figure(
        name=f"summary: CPU of {len(logs)} answers and their merging",
        figure=1000 * (process_time() - start),
        unit=f"ms, {octets} B",
    )
