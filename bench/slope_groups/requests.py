"""Slopes of admission, hand-off and ledgers over the size of a service."""

from collections.abc import Iterator
from time import process_time
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing

from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.ledger import Identity, Ledger, RecordedAnswer
from bench.figures import Figure
from bench.load_model import (
    ORDER_DESK,
    TIMETABLE,
    LoadModel,
    deadline_policy,
    percentile,
)
from bench.measures.crest import CREST_LOAD

__all__ = ["figures"]

SEED = 51
FACTORS = (1, 3, 10)
LOAD = 0.7
CALM_REQUESTS = 2500
CREST_REQUESTS = 4000
SHORTEST_S = 2.0
LEDGER_ENTRIES = 10_000
ANSWER_BYTES = 500


def figures() -> Iterator[Figure]:
    """Measure how figures grow from today's size to ten times as many targets."""
    for deployment in (TIMETABLE, ORDER_DESK):
        for factor in FACTORS:
            yield from _size(deployment.scaled(factor))
    yield from _ledger()


def _size(deployment) -> Iterator[Figure]:  # type: ignore[no-untyped-def]
    subject = f"{deployment.name}, {deployment.targets} targets"
    rate = deployment.capacity / deployment.short_s
    calm_s = max(SHORTEST_S, CALM_REQUESTS / (LOAD * rate))
    crest_s = max(SHORTEST_S, CREST_REQUESTS / (CREST_LOAD * rate))
    model = LoadModel(deployment, deadline_policy, SEED)
    model.offer_load(lambda now: LOAD, calm_s)
    before = process_time()
    model.run(calm_s)
    cpu = (process_time() - before) / len(model.records)
    records = model.arrived(calm_s / 4, calm_s - 0.5)
    yield Figure(
        name=f"{subject}: load reports sent by an agent",
        figure=model.report_bytes / deployment.targets / calm_s,
        unit="bytes/s",
    )
    yield Figure(
        name=f"{subject}: offers for each request at 0.7x",
        figure=model.offers / len(model.records),
        unit="offers",
    )
    yield Figure(
        name=f"{subject}: p99 at 0.7x",
        figure=1000 * percentile([r.latency_s for r in records], 99),
        unit="ms",
    )
    yield Figure(
        name=f"{subject}: decisions and bench for a request",
        figure=1e6 * cpu,
        unit="us CPU",
    )
    crest = LoadModel(deployment, deadline_policy, SEED)
    crest.offer_load(lambda now: CREST_LOAD, crest_s)
    crest.run(crest_s)
    useful = sum(
        r.demand_s
        for r in crest.records.values()
        if r.is_useful and 1 <= r.finished < crest_s
    )
    yield Figure(
        name=f"{subject}: useful work at 3x of what slots can do",
        figure=100 * useful / (deployment.capacity * (crest_s - 1)),
        unit="%",
        target=">= 95",
        met=useful >= 0.95 * deployment.capacity * (crest_s - 1),
    )


def _ledger() -> Iterator[Figure]:
    start_tracing()
    ledger = Ledger(target=1, tenure=1)
    before = process_time()
    for number in range(LEDGER_ENTRIES):
        identity = Identity(number, f"key-{number}")
        ledger.claim(identity, 0.0)
        ledger.start(identity, ledger.last_claim)
        answer = RecordedAnswer(200, (), bytes(ANSWER_BYTES))
        ledger.finish(identity, ledger.last_claim, Verdict.RAN, answer, 0.0)
    cpu = process_time() - before
    size, _ = get_traced_memory()
    stop_tracing()
    yield Figure(
        name=f"ledger of {LEDGER_ENTRIES} entries: memory of an entry",
        figure=size / LEDGER_ENTRIES,
        unit="bytes",
    )
    yield Figure(
        name=f"ledger of {LEDGER_ENTRIES} entries: claim, start and finish (traced)",
        figure=1e6 * cpu / LEDGER_ENTRIES,
        unit="us CPU",
    )
