"""Leases of platform readers, ranked by rendezvous hashing without an election.

A reader announces itself in its zone with marks of kind ``reader``.  A process that
knows too few unexpired leases waits according to its rank and then becomes a reader.
A reader that knows enough higher ranked readers stops.
"""

from collections.abc import Sequence
from random import Random

from xxhash import xxh3_64_intdigest

from balsamtide.config.port import Instance, InstanceState
from balsamtide.membership.limits import MembershipLimits
from balsamtide.membership.marks import MICROSECONDS, READER
from balsamtide.protocol.messages import Mark

__all__ = ["READER_PREFIX", "ReaderLease"]

READER_PREFIX = "reader:"
# Announcements sent during one lease.
ANNOUNCEMENTS_PER_LEASE = 3
# Consecutive failed reads after which a reader stops, if it knows another one.
MAX_FAILED_READS = 6
# Mean time before such a process may become a reader again, before jitter.
FAILED_READER_COOLDOWN_S = 60.0


class ReaderLease:
    """Decides whether the local process reads the platform.

    Parameters
    ----------
    local : Instance
        The local instance.
    limits : MembershipLimits
        Lease time, number of readers and takeover waits.
    random : Random
        Random source for jitter.
    now : float
        Current time, seconds.
    """

    def __init__(
        self, local: Instance, *, limits: MembershipLimits, random: Random, now: float
    ) -> None:
        self.local = local
        self.limits = limits
        self.random = random
        self.subject = READER_PREFIX + local.zone
        self.local_weight = self.weight(local.name)
        self.rank: int | None = None
        self.leases: dict[str, float] = {}
        self.is_reader = False
        self.failures = 0
        self.next_announcement = now
        self.takeover_at: float | None = None
        self.started = now

    def weight(self, name: str) -> int:
        """Return the rendezvous weight of ``name`` in the local zone."""
        return xxh3_64_intdigest(f"{self.local.zone}\0{name}".encode())

    def update(self, instances: Sequence[Instance]) -> None:
        """Compute the local rank among the live instances of the zone.

        Unless this process is a reader, its wait to take over starts anew according to
        the rank; this also replaces a cooldown after failed reads.
        """
        self.rank = sum(
            1
            for each in instances
            if each.zone == self.local.zone
            and each.state is InstanceState.LIVE
            and each.name != self.local.name
            and self.weight(each.name) > self.local_weight
        )
        if not self.is_reader:
            self.takeover_at = None

    def receive_announcement(self, mark: Mark, now: float, max_age_s: float) -> bool:
        """Store the lease of a reader; return whether it was new or renewed."""
        if mark.subject != self.subject or mark.observer == self.local.name:
            return False
        max_ttl_s = self.limits.reader_lease_s
        remaining_s = min(mark.remaining_us / MICROSECONDS, max_ttl_s) - max_age_s
        deadline = now + remaining_s
        # Smaller extensions come from copies of an announcement received before.
        margin_s = max_ttl_s / ANNOUNCEMENTS_PER_LEASE / 2
        if remaining_s <= 0 or deadline < self.leases.get(mark.observer, 0) + margin_s:
            return False
        # Bounds the table; during a takeover there are more readers than wanted.
        is_full = len(self.leases) >= 4 * self.limits.readers_per_zone
        if is_full and mark.observer not in self.leases:
            return False
        self.leases[mark.observer] = deadline
        return True

    def tick(self, now: float) -> Mark | None:
        """Start or stop reading if needed; return an announcement if one is due."""
        self.leases = {
            name: deadline for name, deadline in self.leases.items() if deadline > now
        }
        if self.is_reader:
            self._stop_if_not_needed(now)
        else:
            self._start_if_needed(now)
        if not self.is_reader or now < self.next_announcement:
            return None
        self.next_announcement = (
            now + self.limits.reader_lease_s / ANNOUNCEMENTS_PER_LEASE
        )
        remaining_us = int(self.limits.reader_lease_s * MICROSECONDS)
        return Mark(self.subject, READER, self.local.name, 0, remaining_us)

    def record_read(self, is_successful: bool) -> None:
        """Count consecutive failed reads of this process."""
        self.failures = 0 if is_successful else self.failures + 1

    def _stop_if_not_needed(self, now: float) -> None:
        higher_ranked = sum(
            1 for name in self.leases if self.weight(name) > self.local_weight
        )
        wanted = self.limits.readers_per_zone
        if higher_ranked >= wanted:
            self.is_reader = False
        elif self.failures >= MAX_FAILED_READS and len(self.leases) >= 1:
            self.is_reader = False
            self.takeover_at = now + FAILED_READER_COOLDOWN_S * (
                0.5 + self.random.random()
            )
        self.failures = self.failures if self.is_reader else 0

    def _start_if_needed(self, now: float) -> None:
        if len(self.leases) >= self.limits.readers_per_zone:
            self.takeover_at = None
            return
        if self.takeover_at is None:
            self.takeover_at = now + self._takeover_wait_s(now)
        if now >= self.takeover_at:
            self.is_reader = True
            self.takeover_at = None
            self.next_announcement = now

    def _takeover_wait_s(self, now: float) -> float:
        """Return the wait by rank, seconds; without an instance list it is random."""
        jitter_s = self.random.random() * self.limits.takeover_step_s
        if self.rank is None:
            # Up to five steps plus the maximum wait, since any rank is possible.
            return 5 * jitter_s + self.random.random() * self.limits.max_takeover_wait_s
        steps = max(0, self.rank - self.limits.readers_per_zone + 1)
        wait_s = steps * self.limits.takeover_step_s
        if wait_s > self.limits.max_takeover_wait_s:
            spread_s = self.limits.max_takeover_wait_s * self.random.random()
            wait_s = self.limits.max_takeover_wait_s + spread_s
        return wait_s + jitter_s

    @property
    def readers(self) -> tuple[str, ...]:
        """Names of the known readers of the local zone, sorted."""
        local = (self.local.name,) if self.is_reader else ()
        return tuple(sorted((*self.leases, *local)))
