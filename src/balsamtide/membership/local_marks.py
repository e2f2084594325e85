"""Marks of a process about itself: ``leaving`` and ``alive``."""

from collections.abc import Sequence

from balsamtide.membership.identity import Identity
from balsamtide.membership.limits import MembershipLimits
from balsamtide.membership.marks import (
    ALIVE,
    LEAVING,
    MICROSECONDS,
    PLATFORM,
    SUSPECT,
)
from balsamtide.protocol.messages import Mark

__all__ = ["LocalMarks"]

# Announcements in quick succession when leaving, and the time between them.
LEAVING_ANNOUNCEMENTS = 3
LEAVING_INTERVAL_S = 0.3
# Share of its time to live after which the announcement is renewed.
RENEWAL_SHARE = 1 / 3
# Minimum time between two refutations.
MIN_REFUTATION_INTERVAL_S = 1.0


class LocalMarks:
    """Creates the marks of a process about itself.

    Parameters
    ----------
    identity : Identity
        Local name and incarnation; a refutation raises the incarnation.
    limits : MembershipLimits
        Time-to-live values of marks.
    now : float
        Current time, seconds.
    """

    def __init__(
        self, identity: Identity, limits: MembershipLimits, now: float
    ) -> None:
        self.identity = identity
        self.limits = limits
        self.is_leaving = False
        self.announcements_left = 0
        self.deadline = float("inf")
        self.next_refutation = now

    def start_leaving(self, now: float) -> None:
        """Start to announce that this process is leaving."""
        self.is_leaving = True
        self.announcements_left = LEAVING_ANNOUNCEMENTS
        self.deadline = now

    def announcement(self, now: float) -> Mark:
        """Return the ``leaving`` mark and schedule the next announcement."""
        self.announcements_left = max(0, self.announcements_left - 1)
        wait_s = self.limits.leaving_ttl_s * RENEWAL_SHARE
        self.deadline = now + (
            LEAVING_INTERVAL_S if self.announcements_left else wait_s
        )
        return self.leaving()

    def leaving(self) -> Mark:
        """Return the ``leaving`` mark of this process."""
        return self._make_mark(LEAVING, self.limits.leaving_ttl_s)

    def _make_mark(self, kind: str, max_ttl_s: float) -> Mark:
        name, incarnation = self.identity.name, self.identity.incarnation
        return Mark(name, kind, name, incarnation, int(max_ttl_s * MICROSECONDS))

    def make_refutation(self, marks: Sequence[Mark], now: float) -> Mark | None:
        """Return an ``alive`` mark if ``marks`` wrongly claim suspect or leaving.

        The incarnation of this process is raised above theirs.  No mark is
        returned within ``MIN_REFUTATION_INTERVAL_S`` of the previous one.  Marks from
        the platform's list cannot be refuted.
        """
        incarnations = [mark.incarnation for mark in marks if self._is_refutable(mark)]
        if not incarnations or now < self.next_refutation:
            return None
        self.next_refutation = now + MIN_REFUTATION_INTERVAL_S
        self.identity.increase_above(max(incarnations))
        return self._make_mark(ALIVE, self.limits.alive_ttl_s)

    def _is_refutable(self, mark: Mark) -> bool:
        if mark.subject != self.identity.name or mark.observer == PLATFORM:
            return False
        if mark.kind == SUSPECT:
            return True
        return mark.kind == LEAVING and not self.is_leaving
