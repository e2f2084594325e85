"""Reports of membership to the sink, with the audit trail of marks and readers."""

from typing import Any

from balsamtide.membership.events import (
    MARK_BELIEVED,
    MARK_EXPIRED,
    MARK_MADE,
)
from balsamtide.membership.log import EntryLog
from balsamtide.membership.metrics import MARKS_BELIEVED, MARKS_MADE
from balsamtide.protocol.messages import Mark
from balsamtide.telemetry.event import Event
from balsamtide.telemetry.records import AuditRecord
from balsamtide.telemetry.sink import Sink

__all__ = ["Reporter"]


class Reporter:
    """Writes events, metrics and audit records with the version in force.

    Parameters
    ----------
    sink : Sink
        Where all of it goes.
    log : EntryLog
        Holder of the version in force.
    local_name : str
        Own instance, the actor of its claims.
    """

    def __init__(self, sink: Sink, log: EntryLog, local_name: str) -> None:
        self.sink = sink
        self.log = log
        self.local_name = local_name
        self.beliefs: dict[str, str] = {}

    def event(self, event: Event, **fields: Any) -> None:
        """Log an event."""
        self.sink.event(event, **fields)

    def audit(
        self, kind: str, subject: str, change: str, *, cause: str = "", actor: str = ""
    ) -> None:
        """Add a record under the version in force."""
        self.sink.audit(
            AuditRecord(
                kind=kind,
                subject=subject,
                change=change,
                version=self.log.held.in_force,
                cause=cause,
                actor=actor,
            )
        )

    def record_claim(self, mark: Mark, cause: str) -> None:
        """Record a claim of this process."""
        self.event(MARK_MADE, subject=mark.subject, kind=mark.kind)
        self.sink.count(MARKS_MADE, kind=mark.kind)
        change = f"{mark.kind} claimed"
        self.audit("mark", mark.subject, change, cause=cause, actor=mark.observer)

    def record_belief(self, subject: str, kind: str | None) -> None:
        """Record what is now believed of ``subject``, if that is new."""
        before = self.beliefs.get(subject)
        if kind == before:
            return
        if kind is None:
            del self.beliefs[subject]
            self.event(MARK_EXPIRED, subject=subject, kind=before)
            self.audit("mark", subject, f"{before} ended", actor=self.local_name)
        else:
            self.beliefs[subject] = kind
            self.event(MARK_BELIEVED, subject=subject, kind=kind)
            self.audit("mark", subject, f"{kind} believed", actor=self.local_name)
        self.sink.gauge(MARKS_BELIEVED, len(self.beliefs))
