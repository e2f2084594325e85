"""Task that reads the platform while this process holds a reader lease.

The platform may be unavailable, slow, restored with an older log or wrong about its
newest entry, for any length of time: the log held never goes back, and the task runs
until it is cancelled.
"""

from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import Protocol, TypeVar

import trio

from balsamtide.config.pacing import Backoff, ReadBudget
from balsamtide.config.port import PlatformError, PlatformPort, Snapshot
from balsamtide.membership.events import PLATFORM_FAILED, PLATFORM_OLDER
from balsamtide.membership.log import EntryLog
from balsamtide.membership.membership import Membership
from balsamtide.membership.metrics import PLATFORM_READS
from balsamtide.membership.pacing import ListPeriod
from balsamtide.protocol.actions import Send
from balsamtide.protocol.messages import Entry

__all__ = ["PlatformReader", "SnapshotLog", "read_platform"]

Result = TypeVar("Result")

# Time for which the platform holds one watch open.
WATCH_TIMEOUT_S = 25.0
# Timeout of a read; for a watch it is added to ``WATCH_TIMEOUT_S``.
READ_TIMEOUT_S = 5.0
# Timeout of a read of a snapshot or the instance list, which can be large.
BULK_TIMEOUT_S = 30.0
# Minimum time between empty reads, for a platform that answers watches at once.
MIN_IDLE_READ_INTERVAL_S = 1.0
# Interval at which a process that is not a reader checks its lease.
LEASE_CHECK_INTERVAL_S = 0.25
# Interval of the same check between two reads of the instance list.
LIST_CHECK_INTERVAL_S = 0.5
# Interval at which the newest entry number of the platform is read.
NEWEST_CHECK_INTERVAL_S = 60.0
# A snapshot is read when at least this many entries are missing.
SNAPSHOT_GAP_ENTRIES = 500
# Rate limit of all reads by one process, including retries.
MAX_READS_PER_S = 2.0
MAX_READ_BURST = 10.0
# Minimum wait for the budget; owing to rounding, ``ready_at`` can be slightly early.
MIN_BUDGET_WAIT_S = 0.01


class SnapshotLog(EntryLog, Protocol):
    """An entry log that also accepts snapshots."""

    def offer_snapshot(self, snapshot: Snapshot, *, source: str, now: float) -> bool:
        """Adopt a snapshot that is ahead of the log; return whether it was adopted."""


class PlatformReader:
    """Reads entries while this process is a reader, and the instance list always.

    Parameters
    ----------
    membership : Membership
        Decides whether this process reads, and is notified of new entries.
    log : SnapshotLog
        Log that receives entries and snapshots.
    platform : PlatformPort
        Client of the platform.
    deliver : callable
        Sends messages to peers; must not block.
    random : Random
        Random source for jitter.
    """

    def __init__(
        self,
        membership: Membership,
        *,
        log: SnapshotLog,
        platform: PlatformPort,
        deliver: Callable[[Sequence[Send]], None],
        random: Random,
    ) -> None:
        self.membership = membership
        self.log = log
        self.platform = platform
        self.deliver = deliver
        self.random = random
        self.list_period = ListPeriod(random)
        self.instance_count = 0
        self.backoff = Backoff(random=random)
        self.budget = ReadBudget(
            per_second=MAX_READS_PER_S, burst=MAX_READ_BURST, now=trio.current_time()
        )
        self.is_platform_older = False
        self.newest = 0
        self.next_newest_check = float("-inf")

    async def run(self) -> None:
        """Read the platform until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_entries)
            nursery.start_soon(self._read_instances)

    async def _read_entries(self) -> None:
        while True:
            if not self.membership.is_reader:
                # Resets the backoff, since the next lease starts without failures.
                self.backoff.reset()
                self.next_newest_check = float("-inf")
                await trio.sleep(LEASE_CHECK_INTERVAL_S)
                continue
            before = self.log.held.number
            started = trio.current_time()
            is_read = await self._attempt("entries", self._read_once)
            self.membership.record_read(is_read)
            if not is_read:
                await self._recover()
                # Counts the failure and returns the time of the next attempt.
                await trio.sleep_until(self.backoff.record_failure(trio.current_time()))
                continue
            self.backoff.reset()
            if self.log.held.number == before:
                await trio.sleep_until(started + MIN_IDLE_READ_INTERVAL_S)

    async def _recover(self) -> None:
        """Read a newer snapshot after the second consecutive failed read and later."""
        if self.backoff.failures and self.newest > self.log.held.number:
            await self._attempt("snapshot", self._read_snapshot)

    async def _attempt(self, kind: str, read: Callable[[], Awaitable[None]]) -> bool:
        """Run one read and return whether it succeeded; failures are reported."""
        sink = self.membership.sink
        try:
            await read()
        except (PlatformError, trio.TooSlowError, ValueError, OSError) as error:
            sink.event(PLATFORM_FAILED, error=f"{kind}: {error!r}"[:200])
            sink.count(PLATFORM_READS, kind=kind, outcome="failed")
            return False
        sink.count(PLATFORM_READS, kind=kind, outcome="ok")
        return True

    async def _call(
        self, read: Callable[[], Awaitable[Result]], timeout_s: float
    ) -> Result:
        """Call the platform once, subject to the rate limit and a timeout."""
        while not self.budget.take(now := trio.current_time()):
            await trio.sleep_until(
                max(self.budget.ready_at(now), now + MIN_BUDGET_WAIT_S)
            )
        with trio.fail_after(timeout_s):
            return await read()

    async def _read_once(self) -> None:
        if trio.current_time() >= self.next_newest_check:
            await self._check_newest()
            if self.newest - self.log.held.number >= SNAPSHOT_GAP_ENTRIES:
                await self._attempt("snapshot", self._read_snapshot)
        held = self.log.held.number
        entries = await self._call(
            lambda: self.platform.watch(held, WATCH_TIMEOUT_S),
            WATCH_TIMEOUT_S + READ_TIMEOUT_S,
        )
        if entries and entries[0].number > held + 1:
            await self._read_snapshot()
        self._accept_entries(entries)

    async def _check_newest(self) -> None:
        newest = await self._call(self.platform.newest, READ_TIMEOUT_S)
        self.next_newest_check = trio.current_time() + NEWEST_CHECK_INTERVAL_S
        self.newest = newest
        held = self.log.held.number
        is_platform_older = newest < held
        if is_platform_older and not self.is_platform_older:
            self.membership.sink.event(PLATFORM_OLDER, platform=newest, held=held)
        self.is_platform_older = is_platform_older

    async def _read_snapshot(self) -> None:
        snapshot = await self._call(self.platform.snapshot, BULK_TIMEOUT_S)
        now = trio.current_time()
        self.log.offer_snapshot(snapshot, source="platform", now=now)
        self.deliver(self.membership.entries_arrived(now))

    def _accept_entries(self, entries: Sequence[Entry]) -> None:
        if not entries:
            return
        now = trio.current_time()
        self.log.offer_entries(entries, source="platform", now=now)
        self.deliver(self.membership.entries_arrived(now))

    async def _read_instances(self) -> None:
        backoff = Backoff(random=self.random)
        while True:
            is_read = await self._attempt("instances", self._read_list)
            if is_read:
                backoff.reset()
            if is_read or (self.instance_count and not self.membership.is_reader):
                await self._wait_for_list_period()
            else:
                await trio.sleep_until(backoff.record_failure(trio.current_time()))

    async def _wait_for_list_period(self) -> None:
        """Wait for the next read; becoming a reader shortens the wait.

        A process that holds a list waits equally long after a failed read, so that the
        fleet does not read all at once when the platform recovers.
        """
        started = trio.current_time()
        period_s = self.list_period.seconds(self.instance_count, is_reader=False)
        while trio.current_time() < started + period_s:
            await trio.sleep(min(LIST_CHECK_INTERVAL_S, period_s))
            if self.membership.is_reader:
                reader_s = self.list_period.seconds(self.instance_count, is_reader=True)
                period_s = min(period_s, reader_s)

    async def _read_list(self) -> None:
        instances = await self._call(self.platform.instances, BULK_TIMEOUT_S)
        self.instance_count = len(instances)
        if not instances:
            return
        sends = self.membership.update_instances(instances, trio.current_time())
        self.deliver(sends)


async def read_platform(
    membership: Membership,
    *,
    log: SnapshotLog,
    platform: PlatformPort,
    deliver: Callable[[Sequence[Send]], None],
    random: Random,
) -> None:
    """Read the platform on behalf of ``membership`` until cancelled.

    Parameters
    ----------
    membership : Membership
        Decides whether this process reads, and is notified of new entries.
    log : SnapshotLog
        Log that receives entries and snapshots.
    platform : PlatformPort
        Client of the platform.
    deliver : callable
        Sends messages to peers; must not block.
    random : Random
        Random source for jitter.
    """
    reader = PlatformReader(
        membership, log=log, platform=platform, deliver=deliver, random=random
    )
    await reader.run()
