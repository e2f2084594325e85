"""Three ways of spreading entries: time to the last member, and what it costs.

Real membership objects on an in-memory network in virtual time, with loss and pauses.
The extrapolation uses the slope over the measured sizes and says so in its name.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from functools import cache
from math import log2
from random import Random

from balsamtide.config import ConfigurationReplica
from balsamtide.membership import Dissemination, PushOnly, PushWithExchange, RelayTree
from balsamtide.protocol.messages import Entry, PatchOperation
from bench.figures import Figure
from bench.standins.members import Fleet, FleetRules, Member, make_instances

__all__ = [
    "DAY_S",
    "ENTRY_PERIOD_S",
    "FLEET",
    "SIZES",
    "Spread",
    "extrapolate",
    "figures",
    "make_fleet",
    "measure_spread",
    "published",
]

SIZES = (50, 200, 800)
WAYS: tuple[type[Dissemination], ...] = (PushOnly, PushWithExchange, RelayTree)
LOSS = 0.05
PAUSED_SHARE = 0.01
PAUSE_S = 2.0
ENTRIES = 5
DAY_S = 86_400
ENTRY_PERIOD_S = DAY_S / 13_000
WARM_UP_S = 6.0
STEP_S = 0.05
FLEET = 75_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Spread:
    """What one fleet did while entries were published.

    Parameters
    ----------
    last_s : list of float
        Time until the last member that was reached had an entry, one for each entry;
        paused members count from waking.
    missed : int
        Members that lacked an entry when the next one came.
    messages, octets : float
        Sent by one member in a second, with UDP and IP headers.
    cpu_us : float
        Processor time of one message: encode, decode and handle.
    """

    last_s: list[float]
    missed: int
    messages: float
    octets: float
    cpu_us: float


@cache
def published(length: int) -> tuple[Entry, ...]:
    """Return a log of patches of the usual size."""
    target = {
        "number": 1,
        "zone": "zone-a",
        "host": "10.0.0.1",
        "port": 8000,
        "agent_host": "10.0.0.1",
        "agent_port": 9000,
        "agent_rpc_port": 9001,
    }
    service = {"number": 1, "targets": {"t-1": target}}
    first = PatchOperation(op="add", path="/services/orders", value=service)
    path = "/services/orders/targets/t-1"
    patches = [first] + [
        PatchOperation(op="replace", path=path, value={**target, "weight": 1 + number})
        for number in range(1, length)
    ]
    return tuple(
        Entry(number=number + 1, base=number, patch=(patch,), actor="operator")
        for number, patch in enumerate(patches)
    )


def make_fleet(way: type[Dissemination], size: int, *, seed: int) -> Fleet:
    """Return members that exchange entries and nothing else but reader leases."""
    return Fleet(
        make_instances(size),
        make_log=lambda sink: ConfigurationReplica(sink=sink),
        rules=FleetRules(seed=seed, loss=LOSS, spreading=way),
    )


def measure_spread(
    way: type[Dissemination], size: int, *, seed: int = 1, entries: int = ENTRIES
) -> Spread:
    """Publish entries at the planned rate in a fleet of ``size``."""
    fleet = make_fleet(way, size, seed=seed)
    random = Random(seed)
    fleet.run(WARM_UP_S)
    fleet.reset_counters()
    started = fleet.now
    last_s, missed = [], 0
    for entry in published(entries):
        paused = random.sample(sorted(fleet.members), max(1, int(size * PAUSED_SHARE)))
        for name in paused:
            fleet.pause(name, PAUSE_S)
        arrivals = _publish(fleet, entry, random, paused)
        last_s.append(max(arrivals))
        missed += size - len(arrivals)
    seconds = fleet.now - started
    return Spread(
        last_s=last_s,
        missed=missed,
        messages=fleet.sent / size / seconds,
        octets=fleet.sent_bytes / size / seconds,
        cpu_us=fleet.cpu_ns / fleet.handled / 1000,
    )


def _publish(
    fleet: Fleet, entry: Entry, random: Random, paused: Sequence[str]
) -> list[float]:
    """Give an entry to one member; return the times of arrival in one period."""
    name = random.choice([name for name in sorted(fleet.members) if name not in paused])
    reader = fleet.members[name]
    missing = published(ENTRIES)[reader.log.held.number : entry.number]
    started = fleet.now
    reader.log.offer_entries(missing, source="platform", now=started)
    fleet.send(reader, reader.membership.entries_arrived(started))
    waiting = dict(fleet.members)
    arrivals = []
    while fleet.now < started + ENTRY_PERIOD_S:
        fleet.run(STEP_S)
        for each in _arrived(waiting, entry.number):
            member = waiting.pop(each)
            arrivals.append(fleet.now - max(started, member.wakes_at))
    return arrivals


def _arrived(waiting: dict[str, Member], number: int) -> list[str]:
    return [name for name, each in waiting.items() if each.log.held.number >= number]


def figures() -> Iterator[Figure]:
    """Compare the three ways of spreading."""
    for way in WAYS:
        results = {size: measure_spread(way, size) for size in SIZES}
        for size, result in results.items():
            yield from _spread_rows(way.__name__, size, result)
        if way is PushWithExchange:
            yield from _extrapolated(results)


def _spread_rows(way: str, size: int, result: Spread) -> Iterator[Figure]:
    subject = f"epidemic: {way} {size}"
    last_s = max(result.last_s)
    is_chosen = way == PushWithExchange.__name__
    yield Figure(
        name=f"{subject}: last member",
        figure=last_s,
        unit="s",
        target="<= 4" if is_chosen else "",
        met=last_s <= 4 and result.missed == 0 if is_chosen else None,
    )
    yield Figure(
        name=f"{subject}: members that missed an entry",
        figure=result.missed,
        unit="members",
        target="0" if is_chosen else "",
        met=result.missed == 0 if is_chosen else None,
    )
    yield Figure(
        name=f"{subject}: messages sent", figure=result.messages, unit="1/s member"
    )
    yield Figure(
        name=f"{subject}: octets sent", figure=result.octets, unit="B/s member"
    )
    yield Figure(
        name=f"{subject}: processor time", figure=result.cpu_us, unit="us/message"
    )


def slope_per_doubling(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the least-squares slope of ``values`` over log2 of ``sizes``."""
    logs = [log2(size) for size in sizes]
    mean_log = sum(logs) / len(logs)
    mean = sum(values) / len(values)
    over = sum((x - mean_log) * (y - mean) for x, y in zip(logs, values, strict=True))
    return over / sum((x - mean_log) ** 2 for x in logs)


def extrapolate(sizes: Sequence[float], values: Sequence[float], size: float) -> float:
    """Return the value at ``size`` by a rising slope over log2 of the sizes."""
    slope = max(0.0, slope_per_doubling(sizes, values))
    return max(values) + slope * (log2(size) - log2(sizes[-1]))


def _extrapolated(results: dict[int, Spread]) -> Iterator[Figure]:
    mean_s = [sum(each.last_s) / len(each.last_s) for each in results.values()]
    last_s = extrapolate(SIZES, mean_s, FLEET)
    yield Figure(
        name="epidemic: last member on average, 75000 by slope",
        figure=last_s,
        unit="s",
        target="<= 4",
        met=last_s <= 4,
    )
