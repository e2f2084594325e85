"""Reader leases and the platform reader under platform faults."""

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


def live_readers(fleet: Fleet) -> dict[str, list[str]]:
    """Return the names of the live readers by zone."""
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
    """Each zone has the configured number of readers, and they do not change."""
    fleet = make_fleet()
    wanted = fleet.rules.limits.readers_per_zone
    assert {len(names) for names in live_readers(fleet).values()} == {wanted}
    before = live_readers(fleet)
    fleet.run(60.0)
    assert live_readers(fleet) == before


def test_killed_readers_are_replaced() -> None:
    """When all readers are killed, at most twice the wanted number takes over."""
    fleet = make_fleet()
    for names in live_readers(fleet).values():
        for name in names:
            fleet.kill(name)
    max_readers = 0
    for _ in range(300):
        fleet.run(0.1)
        max_readers = max(
            [max_readers, *(len(names) for names in live_readers(fleet).values())]
        )
    wanted = fleet.rules.limits.readers_per_zone
    assert {len(names) for names in live_readers(fleet).values()} == {wanted}
    assert max_readers <= 2 * wanted
    audited = [
        record.change
        for member in fleet.members.values()
        for record in member.sink.audits
        if record.kind == "reader"
    ]
    # In three zones the first readers and those that replace them.
    assert audited.count("reader started") >= 6 * wanted


def test_isolated_zone_keeps_its_readers() -> None:
    """Each zone keeps readers while it is partitioned from the others."""
    fleet = make_fleet()
    fleet.blocked = lambda one, other: one.zone != other.zone
    fleet.run(60.0)
    assert len(live_readers(fleet)) == 3


def test_failing_reader_is_replaced() -> None:
    """A reader whose reads fail stops, and the next candidate takes over."""
    fleet = make_fleet()
    name = live_readers(fleet)["a"][0]
    for _ in range(6):
        fleet.members[name].membership.record_read(False)
    fleet.run(40.0)
    assert name not in live_readers(fleet)["a"]
    assert len(live_readers(fleet)["a"]) == 3


def test_process_without_list_becomes_a_reader() -> None:
    """A process without an instance list becomes a reader within the maximum wait."""
    own = make_instances(1)[0]
    limits = MembershipLimits()
    lease = ReaderLease(own, limits=limits, random=Random(1), now=0.0)
    now = 0.0
    while not lease.is_reader and now < 2 * limits.max_takeover_wait_s:
        lease.tick(now)
        now += 0.25
    assert 1.0 < now < limits.max_takeover_wait_s + 10


@pytest.mark.parametrize(
    ("instances", "is_reader", "min_s", "max_s"),
    [
        (26, False, 24, 36),
        (26, True, 0.8, 1.2),
        (75_000, False, 2880, 3600 * 1.2),
        (75_000, True, 60, 90),
    ],
)
def test_list_period(
    instances: int, is_reader: bool, min_s: float, max_s: float
) -> None:
    """The read period grows with the instance list."""
    seconds = ListPeriod(Random(1)).seconds(instances, is_reader=is_reader)
    assert min_s <= seconds <= max_s


class FakePlatform(PlatformPort):
    """Platform with a log, whose reads fail or take time.

    ``fault`` returns an error to raise, a delay in seconds, or None for 5 ms.
    """

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
        """Return the number of the last entry."""
        await self._read()
        return len(self.log)

    async def entries(self, after: int) -> tuple[Entry, ...]:
        """Return the entries after ``after``."""
        await self._read()
        return tuple(self.log[after:])

    async def watch(self, after: int, timeout_s: float) -> tuple[Entry, ...]:
        """Wait for entries after ``after``, at most ``timeout_s``."""
        await self._read()
        with trio.move_on_after(timeout_s):
            while len(self.log) <= after:
                await trio.sleep(0.05)
        return tuple(self.log[after:])

    async def snapshot(self) -> Snapshot:
        """Raise an error, since the tests need no snapshot."""
        await self._read()
        raise PlatformError("no snapshot")

    async def instances(self) -> tuple[Instance, ...]:
        """Return three instances of one zone."""
        await self._read()
        return tuple(make_instances(3, zones=("a",)))


class SnapshotRejectingLog(FakeLog):
    """Fake log that rejects snapshots."""

    def offer_snapshot(self, snapshot: Snapshot, *, source: str, now: float) -> bool:
        """Reject the snapshot."""
        return False


async def run_reader(
    platform: FakePlatform, log: SnapshotRejectingLog, seconds: float
) -> MemorySink:
    """Run the platform reader of one process for ``seconds``; return its sink."""
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


def run_reader_in_virtual_time(
    platform: FakePlatform, log: SnapshotRejectingLog, seconds: float = 120.0
) -> MemorySink:
    """Run `run_reader` in virtual time."""
    clock = MockClock(autojump_threshold=0)
    return trio.run(run_reader, platform, log, seconds, clock=clock)


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
def test_reader_tolerates_platform_faults(
    fault: Callable[[], object], held: int
) -> None:
    """The reader gets the available entries and reads at a bounded rate."""
    platform, log = FakePlatform(5, fault), SnapshotRejectingLog()
    sink = run_reader_in_virtual_time(platform, log)
    assert log.held.number == held
    # 200 reads in 120 s; the rate limit alone would allow 250.
    assert platform.reads <= 120 * 1.5 + 20
    failed = [event for event, _ in sink.events if event is PLATFORM_FAILED]
    assert bool(failed) == (held == 0)


def test_older_platform_does_not_revert_the_log() -> None:
    """A platform restored with an older log does not revert the log held."""
    platform, log = FakePlatform(2, lambda: None), SnapshotRejectingLog()
    log.offer_entries([make_entry(n) for n in range(1, 6)], source="", now=0.0)
    sink = run_reader_in_virtual_time(platform, log)
    assert log.held.number == 5
    older = [fields for event, fields in sink.events if event is PLATFORM_OLDER]
    assert older == [{"platform": 2, "held": 5}]


def test_immediate_empty_watches_are_rate_limited() -> None:
    """A watch that returns nothing immediately is not repeated immediately."""
    platform, log = FakePlatform(0, lambda: None), SnapshotRejectingLog()

    async def watch(after: int, timeout_s: float) -> tuple[Entry, ...]:
        platform.reads += 1
        return ()

    platform.watch = watch  # type: ignore[method-assign]
    run_reader_in_virtual_time(platform, log)
    assert platform.reads <= 120 * 2.5 + 20
