"""Reads of the platform by a whole fleet, calm and in the worst minute.

The number of readers of a zone is measured in a fleet, the reads of one reader with
the real task in virtual time; both are multiplied by the zones.  The reads of the list
follow from its period.
"""

from collections.abc import Iterator
from random import Random

import trio
from msgspec.json import encode
from trio.testing import MockClock

from balsamtide.config import ConfigurationReplica
from balsamtide.config.port import Instance, PlatformError, PlatformPort, Snapshot
from balsamtide.membership import Membership
from balsamtide.membership.pacing import ListPeriod
from balsamtide.membership.platform_reader import read_platform
from balsamtide.protocol.messages import Entry
from balsamtide.telemetry.memory_sink import MemorySink
from bench.figures import Figure
from bench.measures.epidemic import ENTRY_PERIOD_S, FLEET, published
from bench.standins.members import make_instances
from bench.standins.services import make_full_fleet

__all__ = ["figures", "list_bytes"]

ZONES = 13
TODAY = 26
ZONES_TODAY = 3
READS_LIMIT = 2_000
READER_FLEET = 90
PIECE_BYTES = 1_000_000


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
                await trio.sleep(0.5)
        return tuple(self.log[after:])

    async def snapshot(self) -> Snapshot:
        """Return the state after the last entry."""
        await self._read()
        replica = ConfigurationReplica(sink=MemorySink())
        replica.offer_entries(self.log, source="", now=0.0)
        return replica.snapshot()

    async def instances(self) -> tuple[Instance, ...]:
        """Return the instance that reads."""
        await self._read()
        return tuple(make_instances(1))


async def _read_for(platform: CountingPlatform, seconds: float) -> None:
    """Run one reader while entries are published at the planned rate."""
    replica = ConfigurationReplica(sink=MemorySink())
    membership = Membership(
        make_instances(1)[0],
        incarnation=1,
        log=replica,
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
                log=replica,
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
    fleet = make_full_fleet(READER_FLEET, loss=0.01)
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
    return (others + of_readers) * list_pieces(fleet_size)


def list_pieces(fleet_size: int) -> float:
    """Return the reads that one list takes, at a megabyte each."""
    return max(1.0, list_bytes(fleet_size) / PIECE_BYTES)


def list_bytes(fleet_size: int) -> int:
    """Return the octets of the list of instances as JSON."""
    return fleet_size * len(encode(make_instances(1)[0]))


def figures() -> Iterator[Figure]:
    """Work out the reads of the platform from measured readers and reads."""
    calm = most_readers("calm")
    reads = reads_of_one_reader(outage_s=0.0)
    faults = {
        "calm": (calm, reads),
        "readers die": (most_readers("readers die"), reads),
        "back after an hour": (calm, reads_of_one_reader(outage_s=3600.0)),
        "region cut off": (most_readers("region cut off"), reads),
    }
    for size, zones in ((TODAY, ZONES_TODAY), (FLEET, ZONES)):
        for fault, (readers, reads) in faults.items():
            total = zones * readers * reads + list_reads(size, zones, readers)
            yield Figure(
                name=f"platform: {fault}, {size} processes: reads",
                figure=total,
                unit="1/s",
                target=f"< {READS_LIMIT}",
                met=total < READS_LIMIT,
            )
        yield _zone_restart(size, zones, *faults["calm"])


def _zone_restart(size: int, zones: int, readers: float, reads: float) -> Figure:
    """Return the reads while all processes of a zone start within a minute."""
    joining = size / zones / 60 * list_pieces(size)
    total = zones * readers * reads + list_reads(size, zones, readers) + joining
    return Figure(
        name=f"platform: a zone starts in a minute, {size} processes: reads",
        figure=total,
        unit="1/s",
        target=f"< {READS_LIMIT}",
        met=total < READS_LIMIT,
    )
