"""How membership grows: with members, with the list of instances, and with marks."""

from collections.abc import Iterator, Sequence
from random import Random

from balsamtide.config import ConfigurationReplica
from balsamtide.config.port import Instance
from balsamtide.membership import Membership, MembershipLimits, PushWithExchange
from balsamtide.membership.marks import LEAVING, MarkTable
from balsamtide.protocol.messages import Mark
from balsamtide.telemetry.memory_sink import MemorySink
from bench.figures import Figure
from bench.measures.epidemic import measure_spread
from bench.measures.liveness import measure_traffic
from bench.slope_groups.config import memory_mb, spread, times_ms
from bench.standins.members import make_instances

__all__ = ["figures"]

SIZES = (25, 100, 400)
SEEDS = (1, 2, 3, 4, 5)
ENTRIES = 3
TRAFFIC_S = 5.0
LIST_SIZES = (750, 7_500, 75_000)
MARK_COUNTS = (40, 400, 4_000)
ZONES = tuple(f"zone-{number}" for number in range(13))
REMAINING_US = 60_000_000


def figures() -> Iterator[Figure]:
    """Give medians with the distance of their quartiles at three sizes each."""
    for size in SIZES:
        yield from _by_members(size)
    for size in LIST_SIZES:
        yield from _by_list(size)
    for count in MARK_COUNTS:
        yield from _by_marks(count)


def _by_members(size: int) -> Iterator[Figure]:
    spreads = [
        measure_spread(PushWithExchange, size, seed=seed, entries=ENTRIES)
        for seed in SEEDS
    ]
    traffic = [measure_traffic(size, TRAFFIC_S, seed=seed) for seed in SEEDS]
    label = f"membership, {size} members"
    last_s = [max(each.last_s) for each in spreads]
    yield from spread(f"{label}: last member", "s", last_s)
    octets = [each.octets for each in spreads]
    yield from spread(f"{label}: octets sent for entries", "B/s member", octets)
    cpu_us = [each.cpu_us for each in spreads]
    yield from spread(f"{label}: a message", "us CPU", cpu_us)
    calm_octets = [each.octets for each in traffic]
    yield from spread(f"{label}: calm octets both ways", "B/s member", calm_octets)
    calm_us = [each.cpu_us for each in traffic]
    yield from spread(f"{label}: calm processor time", "us/s member", calm_us)


def _membership(instances: Sequence[Instance]) -> Membership:
    sink = MemorySink()
    membership = Membership(
        instances[0],
        incarnation=1,
        log=ConfigurationReplica(sink=sink),
        sink=sink,
        random=Random(1),
        now=0.0,
    )
    membership.update_instances(instances, 0.0)
    return membership


def _by_list(size: int) -> Iterator[Figure]:
    instances = make_instances(size, zones=ZONES)
    label = f"membership, list of {size:,}"
    membership = _membership(instances)
    times = times_ms(lambda: membership.update_instances(instances, 0.0))
    yield from spread(f"{label}: take it", "ms CPU", times)
    held_mb = memory_mb(lambda: _membership(make_instances(size, zones=ZONES)))
    yield Figure(name=f"{label}: held by membership", figure=held_mb, unit="MB")


def _mark_table(count: int) -> MarkTable:
    table = MarkTable(MembershipLimits())
    for number in range(count):
        name = f"instance-{number}"
        table.merge(Mark(name, LEAVING, name, 1, REMAINING_US), now=0.0)
    return table


def _by_marks(count: int) -> Iterator[Figure]:
    label = f"membership, {count:,} marks"
    table = _mark_table(count)
    times = times_ms(lambda: table.to_marks(1.0))
    yield from spread(f"{label}: list for an exchange", "ms CPU", times)
    yield Figure(
        name=f"{label}: held", figure=memory_mb(lambda: _mark_table(count)), unit="MB"
    )
