"""Maglev and weighted rendezvous hashing, today and at the size to come."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from functools import partial
from gc import collect
from random import Random
from statistics import median
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from balsamtide.config.evaluation import evaluate_entry
from balsamtide.config.model import Configuration
from balsamtide.protocol.messages import Entry, PatchOperation
from balsamtide.routing.maglev import Maglev
from balsamtide.routing.picker import Candidate
from balsamtide.routing.rendezvous import Rendezvous
from balsamtide.routing.table import PickerFactory, RoutingTable, build_table
from bench.figures import Figure
from bench.fleets import fleet

__all__ = ["figures"]

PICKERS: dict[str, PickerFactory] = {
    "rendezvous": Rendezvous,
    "maglev 251": partial(Maglev, slots=251),
    "maglev 1009": partial(Maglev, slots=1009),
}
BASELINE = "rendezvous"
KEY_BYTES = 8
BALANCE_KEYS = 200_000
DISRUPTION_KEYS = 20_000
LOOKUP_KEYS = 20_000
ROUNDS = 5
TODAY_TARGETS = 7
TARGETS = 65_000
SERVICES = 7_400
MICROSECONDS = 1e6
MEGABYTE = 1e6


def _keys(count: int) -> list[bytes]:
    random = Random(11)
    return [random.randbytes(KEY_BYTES) for _ in range(count)]


def _candidates(weights: Sequence[int]) -> list[Candidate]:
    return [Candidate(number, weight) for number, weight in enumerate(weights, 1)]


def _median_time(action: Callable[[], object]) -> float:
    """Return the median CPU time of ``action`` over some rounds, in seconds."""
    times = []
    for _ in range(ROUNDS):
        started = process_time()
        action()
        times.append(process_time() - started)
    return median(times)


def _moved_percent(
    picker: PickerFactory, before: list[Candidate], after: list[Candidate]
) -> float:
    """Return the share of keys that moved between two unchanged candidates."""
    old, new = picker(before), picker(after)
    unchanged = {item.number for item in before if item in after}
    moved = 0
    for key in _keys(DISRUPTION_KEYS):
        first, second = old.pick(key), new.pick(key)
        moved += first != second and first in unchanged and second in unchanged
    return 100 * moved / DISRUPTION_KEYS


def _peak_over_share(picker: PickerFactory, candidates: list[Candidate]) -> float:
    """Return the largest ratio of a candidate's keys to its share."""
    chosen = picker(candidates)
    counts = Counter(chosen.pick(key) for key in _keys(BALANCE_KEYS))
    weight = sum(item.weight for item in candidates)
    return max(
        counts[item.number] / BALANCE_KEYS * weight / item.weight for item in candidates
    )


def _lookup_us(picker: PickerFactory, candidates: list[Candidate]) -> float:
    chosen = picker(candidates)
    keys = _keys(LOOKUP_KEYS)

    def look_up() -> None:
        for key in keys:
            chosen.pick(key)

    return _median_time(look_up) / LOOKUP_KEYS * MICROSECONDS


def _build(
    configuration: Configuration,
    picker: PickerFactory,
    previous: RoutingTable | None = None,
    recheck: Collection[str] | None = None,
) -> RoutingTable:
    return build_table(
        configuration,
        version=1,
        is_eligible=lambda name, target: True,
        previous=previous,
        recheck=recheck,
        picker=picker,
    )


def _pick_everywhere(table: RoutingTable) -> None:
    for number in table.by_number:
        table.pick(number, b"first")


def _full_build_s(configuration: Configuration, picker: PickerFactory) -> float:
    started = process_time()
    _pick_everywhere(_build(configuration, picker))
    return process_time() - started


def _memory_mb(configuration: Configuration, picker: PickerFactory) -> float:
    collect()
    start()
    table = _build(configuration, picker)
    _pick_everywhere(table)
    collect()
    size, _ = get_traced_memory()
    stop()
    return size / MEGABYTE


def _rebuild_ms(
    configuration: Configuration, recheck: Collection[str] | None, picker: PickerFactory
) -> float:
    """Return the time to follow a change of one target, with a first pick."""
    table = _build(configuration, picker)
    path = "/services/service-1/targets/target-0/state"
    drain = Entry(2, 1, (PatchOperation("add", path, "draining"),))
    changed = evaluate_entry(configuration, 1, drain).configuration

    def rebuild() -> None:
        _build(changed, picker, table, recheck).pick(1, b"first")

    return _median_time(rebuild) * 1000


def _refresh_us(
    configuration: Configuration, recheck: Collection[str] | None, picker: PickerFactory
) -> float:
    """Return the time to look for changes of liveness where there are none."""
    table = _build(configuration, picker)
    return MICROSECONDS * _median_time(
        lambda: _build(configuration, picker, table, recheck)
    )


Quantity = Callable[[PickerFactory], float]


def _compared(
    name: str, unit: str, quantity: Quantity, labels: Sequence[str]
) -> Iterator[Figure]:
    baseline = quantity(PICKERS[BASELINE])
    yield Figure(name=f"{BASELINE}: {name}", figure=baseline, unit=unit)
    for label in labels:
        yield Figure(
            name=f"{label}: {name}",
            figure=quantity(PICKERS[label]),
            unit=unit,
            baseline=baseline,
        )


def _today() -> Iterator[tuple[str, str, Quantity]]:
    today = _candidates([100] * TODAY_TARGETS)
    uneven = _candidates([50, 100, 100, 100, 100, 200, 400])
    lighter = _candidates([50, *[100] * (TODAY_TARGETS - 1)])
    yield (
        "excess moves, 1 of 7 lost",
        "% of keys",
        lambda picker: _moved_percent(picker, today, today[1:]),
    )
    yield (
        "excess moves, 1 of 7 at half weight",
        "% of keys",
        lambda picker: _moved_percent(picker, today, lighter),
    )
    yield (
        "peak over share, 7 equal",
        "ratio",
        lambda picker: _peak_over_share(picker, today),
    )
    yield (
        "peak over share, 7 uneven",
        "ratio",
        lambda picker: _peak_over_share(picker, uneven),
    )
    yield (
        "lookup, 7 equal",
        "us CPU",
        lambda picker: _lookup_us(picker, today),
    )
    yield (
        "lookup, 7 uneven",
        "us CPU",
        lambda picker: _lookup_us(picker, uneven),
    )


def _to_come() -> Iterator[tuple[str, str, Quantity]]:
    large = fleet(targets=TARGETS, services=SERVICES)
    yield "table, all picked, 65,000", "MB", partial(_memory_mb, large)
    yield "full build, all picked, 65,000", "s CPU", partial(_full_build_s, large)
    yield (
        "drain, all services rechecked, 65,000",
        "ms CPU",
        partial(_rebuild_ms, large, None),
    )
    yield (
        "drain, no other service rechecked, 65,000",
        "ms CPU",
        partial(_rebuild_ms, large, ()),
    )
    yield (
        "refresh, all services rechecked, 65,000",
        "us CPU",
        partial(_refresh_us, large, None),
    )
    yield (
        "refresh, 2 services rechecked, 65,000",
        "us CPU",
        partial(_refresh_us, large, ("service-1", "service-2")),
    )


def figures() -> Iterable[Figure]:
    """Measure both pickers."""
    for name, unit, quantity in _today():
        yield from _compared(name, unit, quantity, ("maglev 251", "maglev 1009"))
    for name, unit, quantity in _to_come():
        yield from _compared(name, unit, quantity, ("maglev 1009",))
