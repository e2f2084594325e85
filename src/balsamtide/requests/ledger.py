"""Bounded record of the keyed requests of one tenure.

A *keyed* request is a non-idempotent one with an idempotency key.  A *tenure* is one
lifetime of an agent's ledger, until it is closed or the agent ends.

An entry is *claimed* when the request arrives, *started* just before the request can
reach a target, and *done* when its run has ended.  Only a granted claim allows a run,
so a request (an ``Identity``) runs at most once, counting runs at the successor that
adopts the closed ledger.

A refused retry leaves a *refused* entry, so that a delayed earlier attempt with the
same identity is refused as well: ``NOT_RUN`` in reply to attempt *n* holds for all
attempts up to *n*.
"""

from dataclasses import dataclass, replace
from enum import Enum

from msgspec import Struct

from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.runner import Header

__all__ = [
    "ClaimResult",
    "Entry",
    "EntryState",
    "Identity",
    "SnapshotEntry",
    "Ledger",
    "LedgerSnapshot",
    "RecordedAnswer",
]

MAX_ENTRIES = 10_000
ENTRY_TTL_S = 600.0
MAX_ANSWER_BYTES = 16_384
MAX_TOTAL_ANSWER_BYTES = 32 * 1024 * 1024
US_PER_S = 1_000_000


class Identity(Struct, frozen=True, array_like=True, order=True):
    """Identifier of a keyed request within one tenure.

    Parameters
    ----------
    sequence : int
        Sequence of the stamp that came with the key.
    key : str
        Idempotency key.
    """

    sequence: int
    key: str


class RecordedAnswer(Struct, frozen=True, array_like=True):
    """Answer recorded for retries.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Header fields.
    body : bytes
        Complete body.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes

    @property
    def size(self) -> int:
        """Octets that count towards the size limits."""
        fields = sum(len(name) + len(value) for name, value in self.headers)
        return fields + len(self.body)


class EntryState(Enum):
    """Progress of a keyed request."""

    CLAIMED = "claimed"
    STARTED = "started"
    DONE = "done"
    REFUSED = "refused"


class ClaimResult(Enum):
    """Reply of the ledger to a request for a claim.

    - ``GRANTED``: the request may run.
    - ``IN_PROGRESS``: another attempt is queued or running.
    - ``DONE``: an earlier attempt has ended; its entry has the verdict.
    - ``FORGOTTEN``: the entry may have been dropped, or the snapshot was taken; a retry
      may have run.
    - ``SUPERSEDED``: this attempt or a later one was refused, so this one must not run.
    - ``CLOSED``: the ledger is closed; neither this nor an earlier attempt ran.
    - ``FULL``: no entry is free; a retry may have run, a first attempt did not.
    """

    GRANTED = "granted"
    IN_PROGRESS = "in-progress"
    DONE = "done"
    FORGOTTEN = "forgotten"
    SUPERSEDED = "superseded"
    CLOSED = "closed"
    FULL = "full"


@dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """Record of one keyed request.

    Parameters
    ----------
    state : EntryState
        Progress of the request.
    claim : int
        Number of the claim; calls with the number of an earlier claim have no effect.
    attempt : int
        Attempt that made the claim.
    verdict : Verdict
        Verdict of a done entry; ``MAY_HAVE_RUN`` before.  Without meaning for a
        refused entry, which is always ``NOT_RUN``.
    answer : RecordedAnswer or None
        Recorded answer, if it is within the size limits.
    expires_at : float
        Time from which an ended entry may be dropped, seconds on the local clock.
    """

    state: EntryState
    claim: int = 0
    attempt: int = 1
    verdict: Verdict = Verdict.MAY_HAVE_RUN
    answer: RecordedAnswer | None = None
    expires_at: float = float("inf")

    @property
    def is_ended(self) -> bool:
        """Whether no request is queued or running under this entry."""
        return self.state in (EntryState.DONE, EntryState.REFUSED)


class SnapshotEntry(Struct, frozen=True, array_like=True):
    """Entry of a ledger snapshot.

    Parameters
    ----------
    identity : Identity
        The request.
    is_known_to_have_run : bool
        True for ``RAN``, False for ``MAY_HAVE_RUN`` and for refused entries.
    answer : RecordedAnswer or None
        Recorded answer.
    remaining_us : int
        Time until the entry may be dropped, microseconds.
    refused_attempt : int
        Last attempt covered by a refusal; 0 for a request that was started.
    """

    identity: Identity
    is_known_to_have_run: bool
    answer: RecordedAnswer | None
    remaining_us: int
    refused_attempt: int = 0


class LedgerSnapshot(Struct, frozen=True, array_like=True):
    """Complete state of a closed ledger.

    Parameters
    ----------
    target : int
        Target number of the agent that closed it.
    tenure : int
        Tenure that ended.
    watermark : int
        Entries with a lower sequence may have been dropped.
    entries : tuple of SnapshotEntry
        All entries that were not dropped.
    """

    target: int
    tenure: int
    watermark: int
    entries: tuple[SnapshotEntry, ...]


class Ledger:
    """Records the keyed requests of one tenure.

    Parameters
    ----------
    target : int
        Target number of the agent that holds the tenure.
    tenure : int
        Number of the tenure.
    capacity : int
        Maximum number of entries.
    """

    def __init__(
        self, *, target: int, tenure: int, capacity: int = MAX_ENTRIES
    ) -> None:
        self.target = target
        self.tenure = tenure
        self.capacity = capacity
        self.entries: dict[Identity, Entry] = {}
        self.watermark = 0
        self.last_claim = 0
        self.answer_sizes: dict[Identity, int] = {}
        self.total_answer_bytes = 0
        self.is_closed = False
        self.is_snapshot_taken = False

    @classmethod
    def from_snapshot(
        cls, snapshot: LedgerSnapshot, now: float, *, capacity: int = MAX_ENTRIES
    ) -> "Ledger":
        """Return an open copy of a closed ledger, for its successor."""
        ledger = cls(target=snapshot.target, tenure=snapshot.tenure, capacity=capacity)
        ledger.watermark = snapshot.watermark
        for item in snapshot.entries:
            verdict = Verdict.RAN if item.is_known_to_have_run else Verdict.MAY_HAVE_RUN
            is_refused = item.refused_attempt > 0
            ledger.entries[item.identity] = Entry(
                state=EntryState.REFUSED if is_refused else EntryState.DONE,
                attempt=item.refused_attempt,
                verdict=Verdict.NOT_RUN if is_refused else verdict,
                answer=item.answer,
                expires_at=now + item.remaining_us / US_PER_S,
            )
            ledger._record_answer_size(item.identity, item.answer)
        return ledger

    def claim(self, identity: Identity, now: float, *, attempt: int = 1) -> ClaimResult:
        """Claim the right to run a request; only ``GRANTED`` gives it.

        A granted claim has the number ``last_claim``.
        """
        entry = self.entries.get(identity)
        if entry is not None:
            known = self._check_entry(entry, attempt)
            if known is not ClaimResult.GRANTED:
                return known
        elif identity.sequence < self.watermark:
            return ClaimResult.FORGOTTEN
        if self.is_closed:
            return self._claim_closed(identity, attempt, now)
        if entry is None and not self._ensure_capacity(now):
            return ClaimResult.FULL
        # Eviction can raise the watermark above the sequence of this request.
        if entry is None and identity.sequence < self.watermark:
            return ClaimResult.FORGOTTEN
        self.last_claim += 1
        self.entries[identity] = Entry(
            state=EntryState.CLAIMED,
            claim=self.last_claim,
            attempt=attempt,
            expires_at=now + ENTRY_TTL_S,
        )
        return ClaimResult.GRANTED

    @staticmethod
    def _check_entry(entry: Entry, attempt: int) -> ClaimResult:
        match entry.state:
            case EntryState.DONE:
                return ClaimResult.DONE
            case EntryState.REFUSED:
                is_late = attempt <= entry.attempt
                return ClaimResult.SUPERSEDED if is_late else ClaimResult.GRANTED
            case _:
                return ClaimResult.IN_PROGRESS

    def _claim_closed(
        self, identity: Identity, attempt: int, now: float
    ) -> ClaimResult:
        """Refuse a request at a closed ledger.

        Until the snapshot is taken, the refusal of a retry is recorded, so that the
        snapshot carries it to the successor.  Afterwards the successor may run an
        earlier attempt; ``CLOSED``, which means ``NOT_RUN``, would be false for a
        retry, and ``FORGOTTEN``, which means ``MAY_HAVE_RUN``, is returned instead.
        """
        if attempt == 1:
            return ClaimResult.CLOSED
        if self.is_snapshot_taken:
            return ClaimResult.FORGOTTEN
        expires_at = now + ENTRY_TTL_S
        self.entries[identity] = Entry(
            state=EntryState.REFUSED, attempt=attempt, expires_at=expires_at
        )
        return ClaimResult.CLOSED

    def _find(self, identity: Identity, claim: int, state: EntryState) -> Entry | None:
        entry = self.entries.get(identity)
        if entry is None or entry.claim != claim or entry.state is not state:
            return None
        return entry

    def start(self, identity: Identity, claim: int) -> bool:
        """Record that the request is about to be sent to a target.

        Return False if it must not run: the ledger was closed, or the claim is no
        longer held.
        """
        entry = self._find(identity, claim, EntryState.CLAIMED)
        if self.is_closed or entry is None:
            return False
        self.entries[identity] = replace(entry, state=EntryState.STARTED)
        return True

    def release(self, identity: Identity, claim: int) -> None:
        """Release a claimed or started request that certainly did not run."""
        entry = self.entries.get(identity)
        if entry is None or entry.claim != claim or entry.is_ended:
            return
        self._refuse(identity, entry)

    def _refuse(self, identity: Identity, entry: Entry) -> None:
        """Delete the entry of a first attempt; mark that of a retry as refused.

        An attempt before the retry may still be received and must be refused too.
        """
        if entry.attempt == 1:
            del self.entries[identity]
        else:
            self.entries[identity] = replace(entry, state=EntryState.REFUSED)

    def revert_start(self, identity: Identity, claim: int) -> bool:
        """Undo a start after ``NOT_RUN``; return whether the request may start again.

        False means that the claim is no longer held or that the ledger was closed.
        """
        entry = self._find(identity, claim, EntryState.STARTED)
        if entry is None:
            return False
        if self.is_closed:
            self._refuse(identity, entry)
            return False
        self.entries[identity] = replace(entry, state=EntryState.CLAIMED)
        return True

    def finish(
        self,
        identity: Identity,
        claim: int,
        verdict: Verdict,
        answer: RecordedAnswer | None,
        now: float,
    ) -> None:
        """Record the outcome of a started request; ``NOT_RUN`` releases it."""
        if verdict is Verdict.NOT_RUN:
            self.release(identity, claim)
            return
        entry = self._find(identity, claim, EntryState.STARTED)
        if entry is None:
            return
        if answer is not None and answer.size > MAX_ANSWER_BYTES:
            answer = None
        self.entries[identity] = replace(
            entry,
            state=EntryState.DONE,
            verdict=verdict,
            answer=answer,
            expires_at=now + ENTRY_TTL_S,
        )
        self._record_answer_size(identity, answer)

    def _record_answer_size(
        self, identity: Identity, answer: RecordedAnswer | None
    ) -> None:
        """Add an answer to the total size; drop the oldest ones beyond the limit."""
        if answer is None:
            return
        self.answer_sizes[identity] = answer.size
        self.total_answer_bytes += answer.size
        while self.total_answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            oldest = next(iter(self.answer_sizes))
            self._drop_answer(oldest)
            self.entries[oldest] = replace(self.entries[oldest], answer=None)

    def _drop_answer(self, identity: Identity) -> None:
        self.total_answer_bytes -= self.answer_sizes.pop(identity, 0)

    def get(self, identity: Identity) -> Entry | None:
        """Return the entry of a request, None if there is none."""
        return self.entries.get(identity)

    @property
    def started_count(self) -> int:
        """Number of requests that were started and have not ended."""
        return sum(e.state is EntryState.STARTED for e in self.entries.values())

    def expire(self, now: float) -> None:
        """Drop the ended entries that have expired, and raise the watermark."""
        old = [
            identity
            for identity, entry in self.entries.items()
            if entry.is_ended and now >= entry.expires_at
        ]
        for identity in old:
            self._drop(identity)

    def _drop(self, identity: Identity) -> None:
        del self.entries[identity]
        self._drop_answer(identity)
        self.watermark = max(self.watermark, identity.sequence + 1)

    def _ensure_capacity(self, now: float) -> bool:
        if len(self.entries) < self.capacity:
            return True
        self.expire(now)
        if len(self.entries) < self.capacity:
            return True
        ended = [i for i, entry in self.entries.items() if entry.is_ended]
        if not ended:
            return False
        ended.sort()
        # Evicting a sixteenth at once makes evictions, which sort all entries, rare.
        for identity in ended[: max(1, self.capacity // 16)]:
            self._drop(identity)
        return True

    def close(self) -> None:
        """Stop starting keyed requests, permanently.

        Claims that were not started are released.
        """
        self.is_closed = True
        waiting = [
            (identity, entry)
            for identity, entry in self.entries.items()
            if entry.state is EntryState.CLAIMED
        ]
        for identity, entry in waiting:
            self._refuse(identity, entry)

    def snapshot(self, now: float) -> LedgerSnapshot:
        """Return the snapshot of a closed ledger; only one can be taken.

        Requests in progress are included as ``MAY_HAVE_RUN``.  A second snapshot could
        reach a second successor.

        Raises
        ------
        ValueError
            If the ledger is open or its snapshot was already taken.
        """
        if not self.is_closed:
            raise ValueError(f"tenure {self.tenure}: an open ledger has no snapshot")
        if self.is_snapshot_taken:
            raise ValueError(f"tenure {self.tenure}: its snapshot was already taken")
        self.is_snapshot_taken = True
        return LedgerSnapshot(
            self.target,
            self.tenure,
            self.watermark,
            tuple(self._snapshot_entry(i, e, now) for i, e in self.entries.items()),
        )

    @staticmethod
    def _snapshot_entry(identity: Identity, entry: Entry, now: float) -> SnapshotEntry:
        remaining = min(ENTRY_TTL_S, max(0.0, entry.expires_at - now))
        return SnapshotEntry(
            identity,
            entry.verdict is Verdict.RAN,
            entry.answer,
            round(remaining * US_PER_S),
            entry.attempt if entry.state is EntryState.REFUSED else 0,
        )
