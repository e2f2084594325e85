"""Who reads the platform, and what a bad platform can do."""

from collections.abc import Callable
from random import Random

import pytest
import trio
from trio.testing import MockClock

from balsamtide.config.port import Instance, PlatformError, PlatformPort, Snapshot
from balsamtide.membership import Membership, MembershipLimits
from balsamtide.membership.events import PLATFORM_FAILED, PLATFORM_OLDER
from balsamtide.membership.pacing import ListPeriod
from balsamtide.membership.platform_reader import read_platform
from balsamtide.membership.reader_lease import ReaderLease
from balsamtide.protocol.messages import Entry
from balsamtide.telemetry.memory_sink import MemorySink
from bench.standins.members import Fleet, FleetRules, make_instances
from tests.fakes_membership import FakeLog, make_entry


def readers(fleet: Fleet) -> dict[str, list[str]]:
    """Return the live readers of each zone."""
    found: dict[str, list[str]] = {}
    for member in fleet.members.values():
        if member.membership.is_reader and not member.is_dead:
            found.setdefault(member.instance.zone, []).append(member.instance.name)
    return found


def make_fleet(size: int = 60) -> Fleet:
    """Return a fleet in three zones that has run for 10 s."""
    fleet = Fleet(
        make_instances(size),
        make_log=lambda sink: FakeLog(),
        rules=FleetRules(loss=0.01),
    )
    fleet.run(10.0)
    return fleet


def test_each_zone_has_a_few_readers() -> None:
    """Each zone soon has its number of readers and keeps it."""
    fleet = make_fleet()
    wanted = fleet.rules.limits.readers_per_zone
    assert {len(names) for names in readers(fleet).values()} == {wanted}
    before = readers(fleet)
    fleet.run(60.0)
    assert readers(fleet) == before


def test_dead_readers_are_replaced() -> None:
    """When all readers die, others take over after a lease and few do so at once."""
    fleet = make_fleet()
    for names in readers(fleet).values():
        for name in names:
            fleet.kill(name)
    most = 0
    for _ in range(300):
        fleet.run(0.1)
        most = max([most, *(len(names) for names in readers(fleet).values())])
    wanted = fleet.rules.limits.readers_per_zone
    assert {len(names) for names in readers(fleet).values()} == {wanted}
    assert most <= 2 * wanted
    audited = [
        record.change
        for member in fleet.members.values()
        for record in member.sink.audits
        if record.kind == "reader"
    ]
    assert audited.count("reader started") >= 6 * wanted


def test_isolated_zone_reads_for_itself() -> None:
    """Readers do not depend on other zones."""
    fleet = make_fleet()
    fleet.blocked = lambda one, other: one.zone != other.zone
    fleet.run(60.0)
    assert len(readers(fleet)) == 3


def test_failing_reader_leaves_its_place() -> None:
    """A reader whose reads fail lets the next candidate try."""
    fleet = make_fleet()
    name = readers(fleet)["a"][0]
    for _ in range(6):
        fleet.members[name].membership.record_read(False)
    fleet.run(40.0)
    assert name not in readers(fleet)["a"]
    assert len(readers(fleet)["a"]) == 3


def test_process_without_list_reads_for_itself() -> None:
    """A process that knows nobody becomes a reader within the longest wait."""
    own = make_instances(1)[0]
    limits = MembershipLimits()
    lease = ReaderLease(own, limits=limits, random=Random(1), now=0.0)
    now = 0.0
    while not lease.is_reader and now < 2 * limits.max_takeover_wait_s:
        lease.tick(now)
        now += 0.25
    assert 1.0 < now < limits.max_takeover_wait_s + 10


@pytest.mark.parametrize(
    ("instances", "is_reader", "low_s", "high_s"),
    [
        (26, False, 24, 36),
        (26, True, 0.8, 1.2),
        (75_000, False, 2880, 3600 * 1.2),
        (75_000, True, 60, 90),
    ],
)
def test_list_period(
    instances: int, is_reader: bool, low_s: float, high_s: float
) -> None:
    """The list is read more rarely the longer it is."""
    seconds = ListPeriod(Random(1)).seconds(instances, is_reader=is_reader)
    assert low_s <= seconds <= high_s


class FakePlatform(PlatformPort):
    """A platform with a log; ``fault`` may raise, sleep or change an answer."""

    def __init__(self, numbers: int, fault: Callable[[], object]) -> None:
        self.log = [make_entry(number + 1) for number in range(numbers)]
        self.fault = fault
        self.reads = 0

    async def _read(self) -> None:
        self.reads += 1
        fault = self.fault()
        if isinstance(fault, Exception):
            raise fault
        await trio.sleep(float(fault or 0.005))  # type: ignore[arg-type]

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
                await trio.sleep(0.05)
        return tuple(self.log[after:])

    async def snapshot(self) -> Snapshot:
        """Fail: the tests need none."""
        await self._read()
        raise PlatformError("no snapshot")

    async def instances(self) -> tuple[Instance, ...]:
        """Return three instances of one zone."""
        await self._read()
        return tuple(make_instances(3, zones=("a",)))


class SnapshotFakeLog(FakeLog):
    """A fake log that refuses snapshots."""

    def offer_snapshot(self, snapshot: Snapshot, *, source: str, now: float) -> bool:
        """Refuse."""
        return False


async def drive(
    platform: FakePlatform, log: SnapshotFakeLog, seconds: float
) -> MemorySink:
    """Run the reader of one process for some virtual time."""
    sink = MemorySink()
    membership = Membership(
        make_instances(1, zones=("a",))[0],
        incarnation=1,
        log=log,
        sink=sink,
        random=Random(1),
        now=trio.current_time(),
    )

    async def tick() -> None:
        while True:
            membership.tick(trio.current_time())
            await trio.sleep(0.1)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(tick)
        with trio.move_on_after(seconds):
            await read_platform(
                membership,
                log=log,
                platform=platform,
                deliver=lambda sends: None,
                random=Random(1),
            )
        nursery.cancel_scope.cancel()
    return sink


def run(
    platform: FakePlatform, log: SnapshotFakeLog, seconds: float = 120.0
) -> MemorySink:
    """Run `drive` in virtual time."""
    clock = MockClock(autojump_threshold=0)
    return trio.run(drive, platform, log, seconds, clock=clock)


@pytest.mark.parametrize(
    ("fault", "held"),
    [
        (lambda: 0.005, 5),
        (lambda: 3.0, 5),
        (lambda: PlatformError("down"), 0),
        (lambda: ValueError("nonsense"), 0),
        (lambda: 3600.0, 0),
    ],
    ids=["healthy", "slow", "down", "nonsense", "hanging"],
)
def test_reader_survives_the_platform(fault: Callable[[], object], held: int) -> None:
    """The reader takes what it can get and reads at a bounded rate."""
    platform, log = FakePlatform(5, fault), SnapshotFakeLog()
    sink = run(platform, log)
    assert log.held.number == held
    assert platform.reads <= 120 * 1.5 + 20
    failed = [event for event, _ in sink.events if event is PLATFORM_FAILED]
    assert bool(failed) == (held == 0)


def test_older_platform_lowers_nothing() -> None:
    """A platform that came back with an older log changes nothing."""
    platform, log = FakePlatform(2, lambda: None), SnapshotFakeLog()
    log.offer_entries([make_entry(n) for n in range(1, 6)], source="", now=0.0)
    sink = run(platform, log)
    assert log.held.number == 5
    older = [fields for event, fields in sink.events if event is PLATFORM_OLDER]
    assert older == [{"platform": 2, "held": 5}]


def test_platform_that_answers_at_once_is_not_hammered() -> None:
    """A watch that returns nothing at once is not repeated at once."""
    platform, log = FakePlatform(0, lambda: None), SnapshotFakeLog()

    async def watch(after: int, timeout_s: float) -> tuple[Entry, ...]:
        platform.reads += 1
        return ()

    platform.watch = watch  # type: ignore[method-assign]
    run(platform, log)
    assert platform.reads <= 120 * 2.5 + 20
