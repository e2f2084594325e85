"""Targets that fail, mislead or restart, and retries on a failing service."""

from collections.abc import Callable, Iterator

from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.retry_budget import RetryBudget
from bench.figures import Figure
from bench.load_model import (
    ORDER_DESK,
    SHORT_ROUTE,
    TIMETABLE,
    Deployment,
    FakeTarget,
    LoadModel,
    PolicyFactory,
    Record,
    deadline_policy,
    fifo_policy,
)
from bench.measures.crest import (
    CREST_FROM_S,
    CREST_S,
    CREST_TO_S,
    END_S,
    CrestFigures,
    crest_load,
)

__all__ = ["figures"]

SEED = 41
LOAD = 0.6
FAULT_AT_S = 10.0
SETTLED_S = 15.0
END_OF_FAULT_S = 25.0
BAD_TARGET = 3
SLOW = 10.0
RETRY_PERCENT = 10
RESTART_EVERY_S = 2.5
DRAIN_S = 1.0
DOWN_S = 1.0


def _fail(target: FakeTarget) -> None:
    target.is_failing = True


def _slow(target: FakeTarget) -> None:
    target.slowdown = SLOW


def _silence(target: FakeTarget) -> None:
    target.is_silent = True


def _shed(target: FakeTarget) -> None:
    target.is_shedding = True


def _refuse(target: FakeTarget) -> None:
    target.is_down = True


FAULTS = (
    ("fast errors", _fail),
    ("slow to a tenth", _slow),
    ("accepts, never answers", _silence),
    ("sheds everything", _shed),
    ("refuses connections", _refuse),
)


def run_fault(
    deployment: Deployment,
    policy: PolicyFactory,
    fault: Callable[[FakeTarget], None],
) -> tuple[float, float]:
    """Return the useful share and the bad target's share of requests, settled."""
    model = LoadModel(deployment, policy, SEED)
    model.offer_load(lambda now: LOAD, END_OF_FAULT_S)
    model.at(FAULT_AT_S, lambda: fault(model.targets[BAD_TARGET]))
    model.run(END_OF_FAULT_S + 5)
    records = model.arrived(SETTLED_S, END_OF_FAULT_S)
    useful = sum(record.is_useful for record in records) / len(records)
    at_bad = sum(record.target == BAD_TARGET for record in records) / len(records)
    return useful, at_bad


def run_restarts(deployment: Deployment, *, is_planned: bool) -> LoadModel:
    """Run the crest while all agents and targets restart one after another."""
    model = LoadModel(deployment, deadline_policy, SEED)
    model.offer_load(crest_load, END_S)
    for number in model.targets:
        time = CREST_FROM_S + (number - 1) * RESTART_EVERY_S
        if is_planned:
            model.at(time, lambda number=number: model.drain(number))  # type: ignore[misc]
            time += DRAIN_S
        model.at(time, lambda number=number: model.kill(number))  # type: ignore[misc]
        model.at(time + DOWN_S, lambda number=number: model.restart(number))  # type: ignore[misc]
    model.run(END_S)
    return model


def run_retries() -> float:
    """Return tries for each first try on a service whose targets all shed."""
    model = LoadModel(TIMETABLE, deadline_policy, SEED)
    for target in model.targets.values():
        target.is_shedding = True
    budgets = {number: RetryBudget(RETRY_PERCENT) for number in model.targets}
    first_tries = 0
    is_retry: set[str] = set()

    def retry(record: Record) -> None:
        nonlocal first_tries
        facts = record.facts
        agent = 1 + int(facts.caller[1:]) % len(budgets)
        if facts.request_id not in is_retry:
            first_tries += 1
            budgets[agent].record_first_attempt()
        assert record.outcome is not None
        if budgets[agent].take(
            record.outcome.verdict,
            is_idempotent=False,
            now=model.now,
            deadline=facts.deadline,
        ):
            is_retry.add(f"r{len(model.records)}")
            model.submit(agent, record.demand_s, 1.0, SHORT_ROUTE)

    model.on_end = retry
    model.offer_load(lambda now: 0.5, 20.0)
    model.run(25.0)
    return len(model.records) / first_tries


def figures() -> Iterator[Figure]:
    """Measure faults of targets, restarts at the crest and retries."""
    for deployment in (TIMETABLE, ORDER_DESK):
        for name, fault in FAULTS:
            useful, at_bad = run_fault(deployment, deadline_policy, fault)
            base_useful, base_at_bad = run_fault(deployment, fifo_policy, fault)
            subject = f"{name}, 1 of 7, {deployment.name}"
            yield Figure(
                name=f"{subject}: answered in time",
                figure=100 * useful,
                unit="%",
                baseline=100 * base_useful,
            )
            yield Figure(
                name=f"{subject}: run at bad target",
                figure=100 * at_bad,
                unit="%",
                baseline=100 * base_at_bad,
            )
    for is_planned in (True, False):
        model = run_restarts(TIMETABLE, is_planned=is_planned)
        crest = CrestFigures(model)
        records = model.arrived(CREST_FROM_S, CREST_TO_S)
        unsure = sum(
            r.outcome is not None and r.outcome.verdict is Verdict.MAY_HAVE_RUN
            for r in records
        )
        down_s = 7 * (DOWN_S + (DRAIN_S if is_planned else 0.0))
        possible = 1 - down_s / (CREST_S * TIMETABLE.capacity)
        subject = "rolling restart at the crest, " + (
            "planned" if is_planned else "killed"
        )
        yield Figure(
            name=f"{subject}: useful work of slots that are up",
            figure=100 * crest.useful_share / possible,
            unit="%",
        )
        yield Figure(
            name=f"{subject}: told MAY_HAVE_RUN",
            figure=unsure,
            unit="requests",
        )
        yield Figure(
            name=f"{subject}: requests at the crest",
            figure=len(records),
            unit="requests",
        )
    tries = run_retries()
    yield Figure(
        name="retries on a service that sheds: tries for each request",
        figure=tries,
        unit="x",
        target="<= 1.10",
        met=tries <= 1.10,
    )
