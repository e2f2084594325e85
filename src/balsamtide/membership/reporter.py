"""Reporting of membership events, metrics and audit records."""

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
    """Writes events, metrics, and audit records with the version in force.

    Parameters
    ----------
    sink : Sink
        Destination of the reports.
    log : EntryLog
        Log that holds the version in force.
    local_name : str
        Name of the local instance, recorded as the actor.
    """

    def __init__(self, sink: Sink, log: EntryLog, local_name: str) -> None:
        self.sink = sink
        self.log = log
        self.local_name = local_name
        self.beliefs: dict[str, str] = {}

    def event(self, event: Event, **fields: Any) -> None:
        """Write an event with its fields."""
        self.sink.event(event, **fields)

    def audit(
        self, kind: str, subject: str, change: str, *, cause: str = "", actor: str = ""
    ) -> None:
        """Write an audit record for the version in force."""
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

    def record_made_mark(self, mark: Mark, cause: str) -> None:
        """Record a mark made by this process."""
        self.event(MARK_MADE, subject=mark.subject, kind=mark.kind)
        self.sink.count(MARKS_MADE, kind=mark.kind)
        change = f"{mark.kind} claimed"
        self.audit("mark", mark.subject, change, cause=cause, actor=mark.observer)

    def record_belief(self, subject: str, kind: str | None) -> None:
        """Record the believed kind of mark on ``subject`` if it changed."""
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
