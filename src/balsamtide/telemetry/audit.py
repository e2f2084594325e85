"""The audit trail: a bounded record of changes, also written as JSON lines."""

from collections import deque
from collections.abc import Callable
from typing import TextIO

from msgspec import Struct
from msgspec.json import encode

from balsamtide.telemetry.logging import format_time
from balsamtide.telemetry.records import AuditRecord

__all__ = ["AuditEntry", "AuditTrail"]

CAPACITY_ENTRIES = 4096


class AuditEntry(Struct, frozen=True):
    """One audited change with its local stamp.

    Parameters
    ----------
    sequence : int
        Position in this process's trail, from 1, without gaps.
    time : str
        Local wall-clock time, ISO 8601, UTC.
    seconds : float
        The same time in seconds since the epoch.
    instance : str
        Instance identifier of this process.
    kind, subject, change, version, cause, actor
        As in `AuditRecord`.
    """

    sequence: int
    time: str
    seconds: float
    instance: str
    kind: str
    subject: str
    change: str
    version: int
    cause: str
    actor: str


class AuditTrail:
    """Keeps the latest changes and writes each to a stream.

    Parameters
    ----------
    stream : text stream
        Where JSON lines go.
    instance : str
        Instance identifier.
    wall_clock : callable
        Seconds since the epoch.
    capacity : int
        Entries kept.
    """

    def __init__(
        self,
        stream: TextIO,
        *,
        instance: str,
        wall_clock: Callable[[], float],
        capacity: int = CAPACITY_ENTRIES,
    ) -> None:
        self.stream = stream
        self.instance = instance
        self.wall_clock = wall_clock
        self.entries: deque[AuditEntry] = deque(maxlen=capacity)
        self.sequence = 0

    def add(self, record: AuditRecord) -> AuditEntry:
        """Stamp, keep and write one change."""
        self.sequence += 1
        now = self.wall_clock()
        entry = AuditEntry(
            sequence=self.sequence,
            time=format_time(now),
            seconds=now,
            instance=self.instance,
            kind=record.kind,
            subject=record.subject,
            change=record.change,
            version=record.version,
            cause=record.cause,
            actor=record.actor,
        )
        self.entries.append(entry)
        self.stream.write(encode(entry).decode() + "\n")
        self.stream.flush()
        return entry

    def query(
        self, *, kind: str = "", subject: str = "", since: float = 0.0
    ) -> tuple[AuditEntry, ...]:
        """Return the kept entries that match, oldest first.

        Parameters
        ----------
        kind, subject : str
            Exact match; empty matches all.
        since : float
            Earliest time, seconds since the epoch.
        """
        return tuple(
            entry
            for entry in self.entries
            if kind in ("", entry.kind)
            and subject in ("", entry.subject)
            and entry.seconds >= since
        )
