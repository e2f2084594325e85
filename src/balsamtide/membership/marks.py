"""Table of the marks that a process holds about its peers.

A mark is kept as a claim until its deadline.  One ``leaving`` claim, made by the
subject or by a reader from the platform's list, is believed; ``suspect`` is believed
when enough observers claim it.  An ``alive`` mark refutes claims about a lower
incarnation.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from msgspec.msgpack import encode
from xxhash import xxh3_64_intdigest

from balsamtide.membership.limits import MembershipLimits
from balsamtide.protocol.messages import Mark

__all__ = [
    "ALIVE",
    "LEAVING",
    "PLATFORM",
    "READER",
    "SUSPECT",
    "ZONE_PREFIX",
    "Claim",
    "MarkTable",
    "split_marks",
]

ALIVE = "alive"
LEAVING = "leaving"
READER = "reader"
SUSPECT = "suspect"
ZONE_PREFIX = "zone:"
# Observer of the marks made from the platform's instance list.
PLATFORM = "platform"
MICROSECONDS = 1_000_000
# Minimum extension of a deadline that counts as a renewal; a smaller one comes from
# another copy of the same claim with a shorter transit time.
RENEWAL_MARGIN_S = 1.0
# Claims with less remaining time are neither accepted nor forwarded.
MIN_REMAINING_S = 1.0


@dataclass(frozen=True, slots=True)
class Claim:
    """A mark with a deadline on the local clock.

    Parameters
    ----------
    subject, kind, observer : str
        As in `Mark`.
    incarnation : int
        Incarnation of the subject that the claim is about.
    deadline : float
        Time at which it expires, seconds.
    """

    subject: str
    kind: str
    observer: str
    incarnation: int
    deadline: float

    @property
    def fingerprint(self) -> int:
        """64-bit hash of all fields except the deadline."""
        text = f"{self.subject}\0{self.kind}\0{self.observer}\0{self.incarnation}"
        return xxh3_64_intdigest(text.encode())

    def to_mark(self, now: float) -> Mark:
        """Return the mark with the time remaining at ``now``."""
        remaining_us = int((self.deadline - now) * MICROSECONDS)
        return Mark(
            self.subject, self.kind, self.observer, self.incarnation, remaining_us
        )


class MarkTable:
    """Claims by subject, and the beliefs derived from them.

    Parameters
    ----------
    limits : MembershipLimits
        Time-to-live values and bounds of the table.
    """

    def __init__(self, limits: MembershipLimits) -> None:
        self.limits = limits
        self.max_ttl_s = {
            SUSPECT: limits.suspect_ttl_s,
            LEAVING: limits.leaving_ttl_s,
            ALIVE: limits.alive_ttl_s,
        }
        self.claims: dict[str, dict[tuple[str, str], Claim]] = {}
        self.fingerprint = 0
        self.next_expiry = float("inf")

    def __iter__(self) -> Iterator[Claim]:
        for claims in self.claims.values():
            yield from claims.values()

    def merge(self, mark: Mark, *, now: float, max_age_s: float = 0.0) -> bool:
        """Add a mark and return whether it was accepted.

        A mark is accepted if it is new or renewed, not refuted, and within the limits.

        Parameters
        ----------
        mark : Mark
            The received mark.
        now : float
            Current time, seconds.
        max_age_s : float
            Maximum time that the mark can have waited before it was handled, seconds.
        """
        max_ttl_s = self.max_ttl_s.get(mark.kind)
        if max_ttl_s is None:
            return False
        remaining_s = min(mark.remaining_us / MICROSECONDS, max_ttl_s) - max_age_s
        if remaining_s < MIN_REMAINING_S:
            return False
        claim = Claim(
            mark.subject, mark.kind, mark.observer, mark.incarnation, now + remaining_s
        )
        if not self._is_accepted(claim, now):
            return False
        self._insert(claim)
        if claim.kind == ALIVE:
            self._refute(claim)
        return True

    def _is_accepted(self, claim: Claim, now: float) -> bool:
        if self._is_refuted(claim):
            return False
        held = self.claims.get(claim.subject)
        if held is None:
            return len(self.claims) < self.limits.max_subjects
        previous = held.get((claim.kind, claim.observer))
        if previous is not None:
            newer = claim.incarnation > previous.incarnation
            return newer or claim.deadline > previous.deadline + RENEWAL_MARGIN_S
        # 0 unless the new claim is a suspect claim; other kinds are not limited.
        suspect_claims = sum(
            1 for other in held.values() if other.kind == claim.kind == SUSPECT
        )
        return suspect_claims < self.limits.max_claims_per_suspect

    def _is_refuted(self, claim: Claim) -> bool:
        if claim.kind == ALIVE or claim.observer == PLATFORM:
            return False
        return claim.incarnation < self.incarnation_of(claim.subject)

    def incarnation_of(self, subject: str) -> int:
        """Return the incarnation of the ``alive`` mark of ``subject``, or -1."""
        alive = self.claims.get(subject, {}).get((ALIVE, subject))
        return -1 if alive is None else alive.incarnation

    def _refute(self, alive: Claim) -> None:
        for claim in list(self.claims[alive.subject].values()):
            if self._is_refuted(claim):
                self._remove(claim)

    def _insert(self, claim: Claim) -> None:
        held = self.claims.setdefault(claim.subject, {})
        replaced = held.get((claim.kind, claim.observer))
        if replaced is not None:
            self.fingerprint ^= replaced.fingerprint
        held[claim.kind, claim.observer] = claim
        self.fingerprint ^= claim.fingerprint
        self.next_expiry = min(self.next_expiry, claim.deadline)

    def _remove(self, claim: Claim) -> None:
        held = self.claims[claim.subject]
        del held[claim.kind, claim.observer]
        self.fingerprint ^= claim.fingerprint
        if not held:
            del self.claims[claim.subject]

    def expire(self, now: float) -> set[str]:
        """Remove expired claims and return their subjects."""
        if now < self.next_expiry:
            return set()
        expired = [claim for claim in self if claim.deadline <= now]
        for claim in expired:
            self._remove(claim)
        self.next_expiry = min((claim.deadline for claim in self), default=float("inf"))
        return {claim.subject for claim in expired}

    def belief(self, subject: str, now: float) -> str | None:
        """Return the believed kind, ``"leaving"`` or ``"suspect"``, or None."""
        held = self.claims.get(subject)
        if held is None:
            return None
        kinds = [claim.kind for claim in held.values() if claim.deadline > now]
        if LEAVING in kinds:
            return LEAVING
        if kinds.count(SUSPECT) >= self.limits.min_observers:
            return SUSPECT
        return None

    def remaining_s(self, subject: str, kind: str, observer: str, now: float) -> float:
        """Return the remaining time of a claim, seconds; 0 if it is not held."""
        claim = self.claims.get(subject, {}).get((kind, observer))
        return 0.0 if claim is None else claim.deadline - now

    def is_redundant(self, subject: str, observer: str, now: float) -> bool:
        """Return whether a further suspect claim would change nothing.

        It would not if ``max_claims_per_suspect`` other observers hold claims that last
        longer than half the time to live.
        """
        min_deadline = now + self.limits.suspect_ttl_s / 2
        others = [
            claim
            for claim in self.claims.get(subject, {}).values()
            if claim.kind == SUSPECT
            and claim.observer != observer
            and claim.deadline > min_deadline
        ]
        return len(others) >= self.limits.max_claims_per_suspect

    def digest(self) -> bytes:
        """Return an order-independent hash over all claims."""
        return self.fingerprint.to_bytes(8, "big")

    def to_marks(self, now: float) -> tuple[Mark, ...]:
        """Return the claims with at least ``MIN_REMAINING_S`` left."""
        return tuple(
            claim.to_mark(now)
            for claim in self
            if claim.deadline - now >= MIN_REMAINING_S
        )


def split_marks(marks: Sequence[Mark], max_bytes: int) -> list[tuple[Mark, ...]]:
    """Split marks into groups whose encoded size is at most ``max_bytes``."""
    groups: list[tuple[Mark, ...]] = []
    group: list[Mark] = []
    size = 0
    for mark in marks:
        mark_bytes = len(encode(mark))
        if group and size + mark_bytes > max_bytes:
            groups.append(tuple(group))
            group, size = [], 0
        group.append(mark)
        size += mark_bytes
    if group:
        groups.append(tuple(group))
    return groups
