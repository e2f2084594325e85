"""How judging an entry and taking a snapshot grow with the configuration."""

from collections.abc import Callable, Iterable, Iterator
from gc import collect
from statistics import median, quantiles
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from msgspec.json import decode, encode

from balsamtide.config.entries import EMPTY_CHAIN
from balsamtide.config.evaluation import evaluate_entry
from balsamtide.config.model import Configuration
from balsamtide.config.port import Snapshot
from balsamtide.config.snapshot import join_snapshot, split_snapshot
from balsamtide.protocol.messages import Entry, PatchOperation
from bench.figures import Figure
from bench.fleets import fleet

__all__ = ["DRAIN", "SIZES", "figures", "memory_mb", "spread", "times_ms"]

SIZES = ((10, 2), (650, 74), (6_500, 740), (65_000, 7_400))
ROUNDS = 9
MEGABYTE = 1e6
DRAIN = Entry(
    2,
    1,
    (PatchOperation("add", "/services/service-1/targets/target-0/state", "draining"),),
)


def times_ms(action: Callable[[], object]) -> list[float]:
    """Return the CPU time of each of some calls, in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        started = process_time()
        action()
        times.append((process_time() - started) * 1000)
    return times


def spread(name: str, unit: str, values: list[float]) -> Iterator[Figure]:
    """Give the median of ``values`` and the distance of their quartiles."""
    low, _, high = quantiles(values, n=4)
    yield Figure(name=f"{name}, median", figure=median(values), unit=unit)
    yield Figure(name=f"{name}, quartiles apart", figure=high - low, unit=unit)


def memory_mb(action: Callable[[], object]) -> float:
    """Return the memory that the result of ``action`` holds, in megabytes."""
    collect()
    start()
    result = action()
    collect()
    size, _ = get_traced_memory()
    stop()
    del result
    return size / MEGABYTE


def _at(targets: int, services: int) -> Iterator[Figure]:
    configuration = fleet(targets=targets, services=services)
    snapshot = Snapshot(
        number=1, in_force=1, chain=EMPTY_CHAIN, configuration=configuration
    )
    parts = split_snapshot(snapshot)
    octets = encode(configuration)
    label = f"{targets:,} targets"
    yield from spread(
        f"{label}: judge a drain",
        "ms CPU",
        times_ms(lambda: evaluate_entry(configuration, 1, DRAIN)),
    )
    yield from spread(
        f"{label}: join a snapshot",
        "ms CPU",
        times_ms(lambda: join_snapshot(parts.manifest, parts.chunks)),
    )
    yield Figure(name=f"{label}: snapshot", figure=len(octets) / MEGABYTE, unit="MB")
    yield Figure(
        name=f"{label}: configuration in memory",
        figure=memory_mb(lambda: decode(octets, type=Configuration)),
        unit="MB",
    )


def figures() -> Iterable[Figure]:
    """Measure at each size."""
    for targets, services in SIZES:
        yield from _at(targets, services)
