"""How the routing table grows with the configuration."""

from collections.abc import Iterable, Iterator
from functools import partial

from balsamtide.config.evaluation import evaluate_entry
from balsamtide.config.model import Configuration
from balsamtide.routing.table import RoutingTable, build_table
from bench.figures import Figure
from bench.fleets import fleet
from bench.slope_groups.config import DRAIN, SIZES, memory_mb, spread, times_ms

__all__ = ["figures"]


def _table(configuration: Configuration) -> RoutingTable:
    table = build_table(configuration, version=1, is_eligible=lambda name, target: True)
    for number in table.by_number:
        table.pick(number, b"first")
    return table


def _rebuilt(configuration: Configuration, previous: RoutingTable) -> RoutingTable:
    return build_table(
        configuration,
        version=2,
        is_eligible=lambda name, target: True,
        previous=previous,
        recheck=(),
    )


def _at(targets: int, services: int) -> Iterator[Figure]:
    configuration = fleet(targets=targets, services=services)
    changed = evaluate_entry(configuration, 1, DRAIN).configuration
    label = f"{targets:,} targets"
    build = partial(_table, configuration)
    yield from spread(f"{label}: full build", "ms CPU", times_ms(build))
    table = _table(configuration)
    rebuild = partial(_rebuilt, changed, table)
    yield from spread(f"{label}: rebuild after a drain", "ms CPU", times_ms(rebuild))
    yield Figure(name=f"{label}: table", figure=memory_mb(build), unit="MB")


def figures() -> Iterable[Figure]:
    """Measure at each size."""
    for targets, services in SIZES:
        yield from _at(targets, services)
