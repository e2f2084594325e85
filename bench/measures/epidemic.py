"""Spread of entries, traffic of membership, false suspects, and platform reads.

Real membership objects on an in-memory network in virtual time.  Extrapolations use
the slope over the measured sizes; each says so in its name.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from math import log2
from random import Random

import trio
from msgspec.json import encode
from trio.testing import MockClock

from balsamtide.config import ConfigurationHolder
from balsamtide.config.model import Configuration, Service, Target
from balsamtide.config.port import Instance, PlatformError, PlatformPort, Snapshot
from balsamtide.membership import (
    Membership,
    MembershipLimits,
    PushOnly,
    PushWithExchange,
    RelayTree,
    Spreading,
)
from balsamtide.membership.events import MARK_MADE
from balsamtide.membership.marks import SUSPECT
from balsamtide.membership.pacing import ListPeriod
from balsamtide.membership.readers import read_platform
from balsamtide.protocol.messages import Entry, PatchOperation
from balsamtide.telemetry.memory_sink import MemorySink
from bench.figures import Figure
from bench.standins.members import Fleet, FleetRules, Member, make_instances

SIZES = (50, 200, 800)
WAYS: tuple[type[Spreading], ...] = (PushOnly, PushWithExchange, RelayTree)
LOSS = 0.05
PAUSED_SHARE = 0.01
PAUSE_S = 2.0
ENTRIES = 6
DAY_S = 86_400
ENTRY_PERIOD_S = DAY_S / 13_000
STEP_S = 0.05
FLEET = 75_000
ZONES = 13
# Marks a day at the size to come: failures claimed by three observers and renewed
# for five minutes, and stops announced every 20 s over a drain of five minutes.
FAILURE_MARKS = 380 * 3 * 40
LEAVING_MARKS = 5_400 * 17
READS_LIMIT = 2_000
PIECE_BYTES = 1_000_000
ZONE_NAMES = tuple(f"zone-{number}" for number in range(ZONES))


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


def measure_spread(
    way: type[Spreading], size: int, *, seed: int = 1, entries: int = ENTRIES
) -> Spread:
    """Publish entries at the letter's rate in a fleet of ``size``."""
    fleet = Fleet(
        make_instances(size),
        make_log=lambda sink: ConfigurationHolder(sink=sink),
        rules=FleetRules(seed=seed, loss=LOSS, spreading=way),
    )
    random = Random(seed)
    fleet.run(20.0)
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
    missing = published(ENTRIES * 2)[reader.log.held.number : entry.number]
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


def spread_figures() -> Iterator[Figure]:
    """Compare the three ways of spreading."""
    for way in WAYS:
        results = {size: measure_spread(way, size) for size in SIZES}
        for size, result in results.items():
            yield from _spread_rows(way.__name__, size, result)
        if way is PushWithExchange:
            yield from _extrapolated_spread(results)


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


def _extrapolated_spread(results: dict[int, Spread]) -> Iterator[Figure]:
    mean_s = [sum(each.last_s) / len(each.last_s) for each in results.values()]
    last_s = extrapolate(SIZES, mean_s, FLEET)
    yield Figure(
        name="epidemic: last member on average, 75000 by slope",
        figure=last_s,
        unit="s",
        target="<= 4",
        met=last_s <= 4,
    )


def service_configuration(
    instances: Sequence[Instance], service_size: int
) -> Configuration:
    """Return services of ``service_size`` agents each."""
    starts = range(0, len(instances), service_size)
    return Configuration(
        services={
            f"s-{start}": Service(
                number=1 + place,
                targets={
                    each.name: Target(
                        number=1 + number,
                        zone=each.zone,
                        host=each.inner.host,
                        port=80,
                        agent_host=each.inner.host,
                        agent_port=each.inner.port,
                        agent_rpc_port=each.rpc.port,
                    )
                    for number, each in enumerate(
                        instances[start : start + service_size]
                    )
                },
            )
            for place, start in enumerate(starts)
        }
    )


def make_full_fleet(
    size: int,
    *,
    loss: float = 0.01,
    seed: int = 1,
    limits: MembershipLimits | None = None,
) -> Fleet:
    """Return agents of services of nine, with heartbeats and readers."""
    instances = make_instances(size)
    configuration = service_configuration(instances, 9)
    snapshot = Snapshot(
        number=1, in_force=1, chain=bytes(16), configuration=configuration
    )

    def make_log(sink: MemorySink) -> ConfigurationHolder:
        holder = ConfigurationHolder(sink=sink)
        holder.held = replace(
            holder.held, number=snapshot.number, configuration=configuration
        )
        return holder

    rules = FleetRules(seed=seed, loss=loss, limits=limits or MembershipLimits())
    return Fleet(instances, make_log=make_log, rules=rules)


@dataclass(frozen=True, slots=True, kw_only=True)
class Traffic:
    """What one member spends in a second, without entries.

    Parameters
    ----------
    octets : float
        Sent and received, with UDP and IP headers.
    cpu_us : float
        Processor time.
    false_suspects : int
        Claims made although nobody failed.
    member_hours : float
        Time over all members.
    """

    octets: float
    cpu_us: float
    false_suspects: int
    member_hours: float


def measure_traffic(
    size: int, seconds: float, *, leaving_period_s: float = 0.0, seed: int = 1
) -> Traffic:
    """Let a calm fleet run; optionally one member announces leaving periodically."""
    fleet = make_full_fleet(size, seed=seed)
    fleet.run(12.0)
    fleet.reset_counters()
    step_s = leaving_period_s or seconds
    names = sorted(fleet.members)
    for step in range(round(seconds / step_s)):
        if leaving_period_s:
            _claim_leaving(fleet, names[step % size])
        fleet.run(step_s)
    suspects = sum(
        1
        for member in fleet.members.values()
        for event, fields in member.sink.events
        if event is MARK_MADE and fields["kind"] == SUSPECT
    )
    return Traffic(
        octets=2 * fleet.sent_bytes / size / seconds,
        cpu_us=fleet.cpu_ns / 1000 / size / seconds,
        false_suspects=suspects,
        member_hours=size * seconds / 3600,
    )


def _claim_leaving(fleet: Fleet, name: str) -> None:
    """Let one member publish one claim, without its repetitions."""
    member = fleet.members[name]
    membership = member.membership
    mark = membership._own_leaving_mark()
    fleet.send(member, membership._publish([mark], fleet.now, cause="measure"))


def traffic_figures() -> Iterator[Figure]:
    """Measure the cost of heartbeats, exchanges, leases and marks."""
    sizes = (45, 180, 720)
    results = [measure_traffic(size, 20.0) for size in sizes]
    for size, result in zip(sizes, results, strict=True):
        yield Figure(
            name=f"membership: calm {size}: octets both ways",
            figure=result.octets,
            unit="B/s member",
        )
        yield Figure(
            name=f"membership: calm {size}: processor time",
            figure=result.cpu_us / 10_000,
            unit="% core",
        )
    yield from _extrapolated_traffic(sizes, results)
    yield from _false_suspects()


def _extrapolated_traffic(
    sizes: Sequence[int], results: Sequence[Traffic]
) -> Iterator[Figure]:
    size, seconds = 180, 40.0
    quiet = measure_traffic(size, seconds)
    marked = measure_traffic(size, seconds, leaving_period_s=0.5)
    mark_octets = max(0.0, marked.octets - quiet.octets) / 2.0
    mark_cpu_us = max(0.0, marked.cpu_us - quiet.cpu_us) / 2.0
    yield Figure(
        name="membership: one mark: octets", figure=mark_octets, unit="B/member"
    )
    yield Figure(
        name="membership: one mark: processor time",
        figure=mark_cpu_us,
        unit="us/member",
    )
    entry = measure_spread(PushWithExchange, 200, entries=4)
    idle = measure_idle(200)
    entry_octets = 2 * max(0.0, entry.octets - idle.octets)
    entry_cpu_us = max(0.0, entry.messages * entry.cpu_us - idle.messages * idle.cpu_us)
    marks_per_s = (FAILURE_MARKS + LEAVING_MARKS) / DAY_S
    octets = extrapolate(sizes, [each.octets for each in results], FLEET)
    octets += entry_octets + marks_per_s * mark_octets
    cpu_us = extrapolate(sizes, [each.cpu_us for each in results], FLEET)
    cpu_us += entry_cpu_us + marks_per_s * mark_cpu_us
    yield Figure(
        name="membership: octets both ways, 75000 by slope",
        figure=octets / 1000,
        unit="KB/s member",
        target="<= 10",
        met=octets <= 10_000,
    )
    yield Figure(
        name="membership: processor time, 75000 by slope",
        figure=cpu_us / 10_000,
        unit="% core",
        target="<= 2.3",
        met=cpu_us <= 23_000,
    )


def measure_idle(size: int) -> Spread:
    """Measure the exchanges alone, without any entry."""
    fleet = Fleet(
        make_instances(size),
        make_log=lambda sink: ConfigurationHolder(sink=sink),
        rules=FleetRules(loss=LOSS),
    )
    fleet.run(20.0)
    fleet.reset_counters()
    seconds = 4 * ENTRY_PERIOD_S
    fleet.run(seconds)
    return Spread(
        last_s=[],
        missed=0,
        messages=fleet.sent / size / seconds,
        octets=fleet.sent_bytes / size / seconds,
        cpu_us=fleet.cpu_ns / fleet.handled / 1000,
    )


def _false_suspects() -> Iterator[Figure]:
    result = measure_traffic(90, 400.0, seed=2)
    yield Figure(
        name=f"liveness: false suspects, {result.member_hours:.0f} member hours, 1% loss",
        figure=result.false_suspects,
        unit="claims",
        target="0",
        met=result.false_suspects == 0,
    )


class CountingPlatform(PlatformPort):
    """A platform that counts reads, and may be down until some time.

    Parameters
    ----------
    down_until : float
        End of its outage on trio's clock, seconds.
    """

    def __init__(self, down_until: float) -> None:
        self.down_until = down_until
        self.read_times: list[float] = []
        self.log: list[Entry] = []

    async def _read(self) -> None:
        self.read_times.append(trio.current_time())
        await trio.sleep(0.003)
        if trio.current_time() < self.down_until:
            raise PlatformError("down")

    async def newest(self) -> int:
        """Return the last number."""
        await self._read()
        return len(self.log)

    async def entries(self, after: int) -> tuple[Entry, ...]:
        """Return what follows."""
        await self._read()
        return tuple(self.log[after:])

    async def watch(self, after: int, timeout_s: float) -> tuple[Entry, ...]:
        """Wait for what follows."""
        await self._read()
        with trio.move_on_after(timeout_s):
            while len(self.log) <= after:
                await trio.sleep(0.1)
        return tuple(self.log[after:])

    async def snapshot(self) -> Snapshot:
        """Return the state after the last entry."""
        await self._read()
        holder = ConfigurationHolder(sink=MemorySink())
        holder.offer_entries(self.log, source="", now=0.0)
        return holder.snapshot()

    async def instances(self) -> tuple[Instance, ...]:
        """Return the instance that reads."""
        await self._read()
        return tuple(make_instances(1))


async def _read_for(platform: CountingPlatform, seconds: float) -> None:
    """Run one reader while entries are published at the letter's rate."""
    holder = ConfigurationHolder(sink=MemorySink())
    membership = Membership(
        make_instances(1)[0],
        incarnation=1,
        log=holder,
        sink=MemorySink(),
        random=Random(1),
        now=trio.current_time(),
    )

    async def tick() -> None:
        while True:
            membership.tick(trio.current_time())
            await trio.sleep(0.25)

    async def publish() -> None:
        for entry in published(int(seconds / ENTRY_PERIOD_S) + 1):
            platform.log.append(entry)
            await trio.sleep(ENTRY_PERIOD_S)

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(tick)
            nursery.start_soon(publish)
            await read_platform(
                membership,
                log=holder,
                platform=platform,
                deliver=lambda sends: None,
                random=Random(2),
            )


def reads_of_one_reader(*, outage_s: float) -> float:
    """Return the reads of one reader in its busiest minute, by second."""
    seconds = outage_s + 180.0

    async def main() -> CountingPlatform:
        platform = CountingPlatform(trio.current_time() + outage_s)
        await _read_for(platform, seconds)
        return platform

    platform = trio.run(main, clock=MockClock(autojump_threshold=0))
    times = platform.read_times
    busiest = max(
        sum(1 for time in times if start <= time < start + 60.0) for start in times
    )
    return busiest / 60.0


def most_readers(fault: str) -> float:
    """Return the greatest number of readers of one zone during a fault."""
    fleet = make_full_fleet(180, loss=0.01)
    fleet.run(12.0)
    if fault == "readers die":
        for member in fleet.members.values():
            member.is_dead = member.membership.is_reader
    if fault == "region cut off":
        fleet.blocked = lambda one, other: one.zone != other.zone
    most = 0.0
    for _ in range(30):
        fleet.run(1.0)
        zones: dict[str, int] = {}
        for member in fleet.members.values():
            if member.membership.is_reader and not member.is_dead:
                zone = member.instance.zone
                zones[zone] = zones.get(zone, 0) + 1
        most = max([most, *zones.values()])
    return most


def list_reads(fleet_size: int, zones: int, readers: float) -> float:
    """Return the reads of the list of instances by all processes, by second."""
    period = ListPeriod(Random(1))
    samples = [period.seconds(fleet_size, is_reader=False) for _ in range(1000)]
    reader_samples = [period.seconds(fleet_size, is_reader=True) for _ in range(1000)]
    others = fleet_size / (sum(samples) / len(samples))
    of_readers = zones * readers / (sum(reader_samples) / len(reader_samples))
    line_bytes = len(encode(make_instances(1)[0]))
    pieces = max(1.0, fleet_size * line_bytes / PIECE_BYTES)
    return (others + of_readers) * pieces


def read_figures() -> Iterator[Figure]:
    """Work out the reads of the platform from measured readers and reads."""
    faults = {
        "calm": (most_readers("calm"), reads_of_one_reader(outage_s=0.0)),
        "readers die": (most_readers("readers die"), reads_of_one_reader(outage_s=0.0)),
        "back after an hour": (
            most_readers("calm"),
            reads_of_one_reader(outage_s=3600.0),
        ),
        "region cut off": (
            most_readers("region cut off"),
            reads_of_one_reader(outage_s=0.0),
        ),
    }
    for size, zones in ((26, 3), (FLEET, ZONES)):
        for fault, (readers, reads) in faults.items():
            total = zones * readers * reads + list_reads(size, zones, readers)
            yield Figure(
                name=f"platform: {fault}, {size} processes: reads",
                figure=total,
                unit="1/s",
                target=f"< {READS_LIMIT}",
                met=total < READS_LIMIT,
            )


def figures() -> Iterator[Figure]:
    """Measure everything."""
    yield from spread_figures()
    yield from traffic_figures()
    yield from read_figures()
