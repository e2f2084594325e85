"""Local replica of the log; the version in force never decreases."""

from collections.abc import Iterable
from dataclasses import dataclass

from balsamtide.config.entries import (
    CHAIN_BYTES,
    EMPTY_CHAIN,
    InvalidEntryError,
    canonical_bytes,
    check_entry,
    malformed_entry,
)
from balsamtide.config.entry_buffer import EntryBuffer
from balsamtide.config.evaluation import Evaluation, evaluate_entry
from balsamtide.config.events import (
    ENTRY_CONFLICT,
    ENTRY_IN_FORCE,
    ENTRY_OVERFLOW,
    ENTRY_REJECTED,
    SNAPSHOT_ADOPTED,
    SNAPSHOT_REFUSED,
)
from balsamtide.config.history import History
from balsamtide.config.metrics import (
    BUFFERED_ENTRIES,
    CONFLICTS,
    ENTRIES,
    HELD_ENTRY,
    IGNORED_ENTRIES,
    SNAPSHOTS,
    VERSION,
)
from balsamtide.config.model import Configuration
from balsamtide.config.port import Snapshot
from balsamtide.config.validation import find_violation
from balsamtide.protocol.messages import Entry
from balsamtide.telemetry.records import AuditRecord
from balsamtide.telemetry.sink import Sink

__all__ = ["ConfigurationReplica", "ReplicaState"]

MAX_HISTORY_ENTRIES = 1024
MAX_HISTORY_BYTES = 4_000_000
MAX_BUFFERED_ENTRIES = 1024
MAX_BUFFERED_BYTES = 4_000_000
MAX_NUMBER = 2**63 - 1
EMPTY_CONFIGURATION = Configuration()


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaState:
    """State of the local replica.

    Parameters
    ----------
    number : int
        Number of the last entry evaluated or covered by a snapshot, 0 if none.
    in_force : int
        Version in force: the last entry that came into force, 0 if none.
    chain : bytes
        Chain hash over all entries up to ``number``.
    configuration : Configuration
        Configuration in force.
    """

    number: int = 0
    in_force: int = 0
    chain: bytes = EMPTY_CHAIN
    configuration: Configuration = EMPTY_CONFIGURATION


class ConfigurationReplica:
    """Replica that takes entries in any order and evaluates them in log order.

    Snapshots can move it ahead; nothing moves it back.

    Parameters
    ----------
    sink : Sink
        Receives events, audit records and metrics.
    max_history_entries, max_history_bytes : int
        Bounds of the history that is kept for peers.
    max_buffered_entries, max_buffered_bytes : int
        Bounds of the buffer for entries ahead of a gap.

    Attributes
    ----------
    held : ReplicaState
        Current state of the replica.
    """

    def __init__(
        self,
        *,
        sink: Sink,
        max_history_entries: int = MAX_HISTORY_ENTRIES,
        max_history_bytes: int = MAX_HISTORY_BYTES,
        max_buffered_entries: int = MAX_BUFFERED_ENTRIES,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        self.sink = sink
        self.held = ReplicaState()
        self.in_force_at: float | None = None
        self.conflicts = 0
        self.max_history_entries = max_history_entries
        self.max_history_bytes = max_history_bytes
        self.history = self._new_history(self.held)
        self.buffer = EntryBuffer(
            max_entries=max_buffered_entries, max_bytes=max_buffered_bytes
        )

    def _new_history(self, state: ReplicaState) -> History:
        return History(
            state.number,
            state.chain,
            max_entries=self.max_history_entries,
            max_bytes=self.max_history_bytes,
        )

    def offer_entries(
        self, entries: Iterable[Entry], *, source: str, now: float
    ) -> tuple[Evaluation, ...]:
        """Buffer ``entries``, evaluate those without a gap and return the results.

        Parameters
        ----------
        entries : iterable of Entry
            Entries in any order, possibly with gaps and duplicates.
        source : str
            Peer or platform that delivered them.
        now : float
            Local monotonic time, seconds.
        """
        evaluations: list[Evaluation] = []
        for entry in entries:
            if self._admit_entry(entry, source):
                self._buffer_entry(entry, source)
                evaluations.extend(self._evaluate_ready(now))
        self.sink.gauge(BUFFERED_ENTRIES, len(self.buffer))
        return tuple(evaluations)

    def _admit_entry(self, entry: Entry, source: str) -> bool:
        """Return whether to buffer ``entry``; count it and report conflicts if not."""
        if not 1 <= entry.number <= MAX_NUMBER:
            self.sink.count(IGNORED_ENTRIES, why="number")
            return False
        if entry.number <= self.held.number:
            item = self.history.item(entry.number)
            known = None if item is None else item.entry
        else:
            buffered = self.buffer.get(entry.number)
            if buffered is None:
                return True
            known = buffered.entry
        if known is not None and not _is_same(known, entry):
            self._report_conflict(entry.number, source)
        self.sink.count(IGNORED_ENTRIES, why="duplicate")
        return False

    def _buffer_entry(self, entry: Entry, source: str) -> None:
        for dropped in self.buffer.add(_normalize(entry), source=source):
            self.sink.count(IGNORED_ENTRIES, why="overflow")
            self.sink.event(
                ENTRY_OVERFLOW,
                number=dropped.entry.number,
                held=self.held.number,
                source=dropped.source,
            )

    def _evaluate_ready(self, now: float) -> list[Evaluation]:
        evaluations = []
        while (item := self.buffer.take(self.held.number + 1)) is not None:
            evaluations.append(self._evaluate(item.entry, item.source, now))
        return evaluations

    def _evaluate(self, entry: Entry, source: str, now: float) -> Evaluation:
        evaluation = evaluate_entry(self.held.configuration, self.held.in_force, entry)
        self.history.append(entry)
        if evaluation.is_in_force:
            self.in_force_at = now
        self.held = ReplicaState(
            number=entry.number,
            in_force=entry.number if evaluation.is_in_force else self.held.in_force,
            chain=self.history.chain,
            configuration=evaluation.configuration,
        )
        self._report_evaluation(entry, evaluation, source, now)
        return evaluation

    def offer_snapshot(self, snapshot: Snapshot, *, source: str, now: float) -> bool:
        """Adopt ``snapshot`` if it is valid and ahead; return whether it is adopted."""
        if self.is_conflicting(snapshot.number, snapshot.chain):
            self._report_conflict(snapshot.number, source)
            return self._refuse(
                snapshot,
                source,
                "conflict",
                "another chain hash",
            )
        if snapshot.number <= self.held.number:
            self.sink.count(SNAPSHOTS, outcome="not-ahead")
            return False
        if snapshot.in_force < self.held.in_force:
            detail = f"version {snapshot.in_force} below {self.held.in_force}"
            return self._refuse(snapshot, source, "lower-version", detail)
        fault = _find_snapshot_fault(snapshot)
        if fault is not None:
            return self._refuse(snapshot, source, "invalid", fault)
        self._adopt(snapshot, source, now)
        self._evaluate_ready(now)
        return True

    def _adopt(self, snapshot: Snapshot, source: str, now: float) -> None:
        if snapshot.in_force != self.held.in_force:
            self.in_force_at = now
        self.held = ReplicaState(
            number=snapshot.number,
            in_force=snapshot.in_force,
            chain=snapshot.chain,
            configuration=snapshot.configuration,
        )
        self.history = self._new_history(self.held)
        self.buffer.discard_through(snapshot.number)
        self.sink.count(SNAPSHOTS, outcome="adopted")
        self.sink.event(
            SNAPSHOT_ADOPTED,
            number=snapshot.number,
            in_force=snapshot.in_force,
            source=source,
            at=now,
        )
        self._audit(f"snapshot {snapshot.number}", "in force", source=source)
        self._update_gauges()

    def _refuse(self, snapshot: Snapshot, source: str, why: str, detail: str) -> bool:
        self.sink.count(SNAPSHOTS, outcome=why)
        self.sink.event(
            SNAPSHOT_REFUSED,
            number=snapshot.number,
            why=why,
            detail=detail,
            source=source,
        )
        cause = f"{why}: {detail}"
        self._audit(f"snapshot {snapshot.number}", "refused", cause, source=source)
        return False

    def snapshot(self) -> Snapshot:
        """Return the state as a snapshot for peers."""
        return Snapshot(
            number=self.held.number,
            in_force=self.held.in_force,
            chain=self.held.chain,
            configuration=self.held.configuration,
        )

    def entries_after(self, number: int, *, max_bytes: int) -> tuple[Entry, ...]:
        """Return the entries that follow ``number``, at most ``max_bytes`` in total.

        None are returned if `has_entries_after` is false or if the canonical encoding
        of the first one exceeds ``max_bytes``.
        """
        return self.history.entries_after(number, max_bytes=max_bytes)

    def has_entries_after(self, number: int) -> bool:
        """Return whether the history contains the entry after ``number``.

        It does not if ``number`` is the newest entry or above, nor if the history
        starts after ``number``; in the second case a peer requires a snapshot.
        """
        return self.history.start <= number < self.history.number

    def is_conflicting(self, number: int, chain: bytes) -> bool:
        """Return whether the local chain hash at ``number`` differs from ``chain``.

        There is no conflict where the local hash is unknown.
        """
        known = self.history.chain_at(number)
        return known is not None and known != chain

    def _report_conflict(self, number: int, source: str) -> None:
        self.conflicts += 1
        self.sink.count(CONFLICTS)
        self.sink.event(ENTRY_CONFLICT, number=number, source=source)
        self._audit(f"entry {number}", "conflict", source=source)

    def _report_evaluation(
        self, entry: Entry, evaluation: Evaluation, source: str, now: float
    ) -> None:
        self.sink.count(ENTRIES, reason=evaluation.reason.value)
        if evaluation.is_in_force:
            self.sink.event(
                ENTRY_IN_FORCE,
                number=entry.number,
                actor=entry.actor,
                source=source,
                at=now,
            )
        else:
            self.sink.event(
                ENTRY_REJECTED,
                number=entry.number,
                reason=evaluation.reason.value,
                detail=evaluation.detail,
                actor=entry.actor,
                source=source,
                in_force=self.held.in_force,
            )
        self._audit(
            f"entry {entry.number}",
            "in force" if evaluation.is_in_force else "rejected",
            f"{evaluation.reason.value}: {evaluation.detail}".removesuffix(": "),
            actor=entry.actor,
            source=source,
        )
        self._update_gauges()

    def _audit(
        self,
        subject: str,
        change: str,
        cause: str = "",
        *,
        actor: str = "",
        source: str,
    ) -> None:
        record = AuditRecord(
            kind="entry",
            subject=subject,
            change=change,
            version=self.held.in_force,
            cause=cause,
            actor=actor,
            source=source,
        )
        self.sink.audit(record)

    def _update_gauges(self) -> None:
        self.sink.gauge(VERSION, self.held.in_force)
        self.sink.gauge(HELD_ENTRY, self.held.number)


def _normalize(entry: Entry) -> Entry:
    try:
        check_entry(entry)
    except InvalidEntryError:
        return malformed_entry(entry.number)
    return entry


def _is_same(known: Entry, other: Entry) -> bool:
    return canonical_bytes(known) == canonical_bytes(_normalize(other))


def _find_snapshot_fault(snapshot: Snapshot) -> str | None:
    if not 0 <= snapshot.in_force <= snapshot.number <= MAX_NUMBER:
        return "numbers are out of range"
    if len(snapshot.chain) != CHAIN_BYTES:
        return f"the chain hash has {len(snapshot.chain)} octets"
    violation = find_violation(EMPTY_CONFIGURATION, snapshot.configuration)
    return None if violation is None else f"{violation.path}: {violation.detail}"
