"""The commands that show changes, events and metrics."""

from collections.abc import Callable
from datetime import UTC, datetime
from re import fullmatch
from time import time
from typing import ClassVar

from cleo.helpers import option
from cleo.io.inputs.option import Option
from httpx import BaseTransport

from balsamtide.cli.command import (
    ADMIN_OPTION,
    JSON_OPTION,
    ControlCommand,
    examples,
)
from balsamtide.cli.errors import CommandError, ExitCode
from balsamtide.telemetry.catalogue import collect
from balsamtide.telemetry.registry import METRIC_PREFIX

__all__ = ["AuditCommand", "EventsCommand", "MetricsListCommand"]

UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class AuditCommand(ControlCommand):
    """Shows the audit trail of a daemon.

    Parameters
    ----------
    transport : BaseTransport or None
        Replaces the network towards admin listeners.
    clock : callable
        Seconds since the epoch.
    """

    name = "audit"
    description = "Show the changes that a daemon made or saw."
    options: ClassVar[list[Option]] = [
        option("kind", None, "Only this kind, such as drain.", flag=False),
        option("subject", None, "Only this object.", flag=False),
        option(
            "since",
            None,
            "Only changes since then: 10m, 2h, 1d ago or an ISO 8601 time.",
            flag=False,
        ),
        ADMIN_OPTION,
        JSON_OPTION,
    ]
    help = examples(
        "balsamctl audit --kind drain --since 10m",
        "balsamctl audit --subject timetable-3 --json",
    )

    def __init__(
        self,
        transport: BaseTransport | None = None,
        *,
        clock: Callable[[], float] = time,
    ) -> None:
        self.clock = clock
        super().__init__(transport)

    def handle(self) -> int:
        """Show the audit trail."""
        entries = self.client.audit(
            kind=self.option("kind") or "",
            subject=self.option("subject") or "",
            since=self._since(self.option("since")),
        )
        if self.is_json:
            self.print_json(entries)
            return ExitCode.OK
        self.print_table(
            ("time", "kind", "subject", "change", "version", "cause", "actor"),
            [
                (e.time, e.kind, e.subject, e.change, str(e.version), e.cause, e.actor)
                for e in entries
            ],
        )
        return ExitCode.OK

    def _since(self, text: str | None) -> float:
        if text is None:
            return 0.0
        ago = fullmatch(r"(\d+)([smhd])", text)
        if ago is not None:
            return self.clock() - int(ago[1]) * UNIT_SECONDS[ago[2]]
        try:
            moment = datetime.fromisoformat(text)
        except ValueError as error:
            raise CommandError(
                f"--since does not understand {text!r}",
                hint="give 10m, 2h, 1d or a time such as 2026-01-31T08:00:00+00:00",
                code=ExitCode.USAGE,
            ) from error
        if moment.tzinfo is None:
            moment = moment.replace(tzinfo=UTC)
        return moment.timestamp()


class EventsCommand(ControlCommand):
    """Shows the recent events of a daemon."""

    name = "events"
    description = "Show the recent events of a daemon."
    options: ClassVar[list[Option]] = [
        option("number", None, "Only the event with this number.", flag=False),
        ADMIN_OPTION,
        JSON_OPTION,
    ]
    help = examples("balsamctl events", "balsamctl events --number 703 --json")

    def handle(self) -> int:
        """Show the events."""
        events = self.client.events()
        if self.option("number") is not None:
            number = int(self.number(self.option("number"), "--number"))
            events = tuple(event for event in events if event.number == number)
        if self.is_json:
            self.print_json(events)
            return ExitCode.OK
        self.print_table(
            ("time", "level", "number", "name", "fields"),
            [
                (
                    event.time,
                    event.level,
                    str(event.number),
                    event.name,
                    " ".join(f"{name}={value}" for name, value in event.fields.items()),
                )
                for event in events
            ],
        )
        return ExitCode.OK


class MetricsListCommand(ControlCommand):
    """Lists the metrics that daemons expose."""

    name = "metrics list"
    description = "List the metrics that daemons expose."
    options: ClassVar[list[Option]] = [JSON_OPTION]
    help = examples("balsamctl metrics list", "balsamctl metrics list --json")

    def handle(self) -> int:
        """List the metrics."""
        metrics = collect().metrics
        if self.is_json:
            self.print_json(metrics)
            return ExitCode.OK
        self.print_table(
            ("name", "kind", "labels", "meaning"),
            [
                (
                    METRIC_PREFIX + metric.name,
                    metric.kind.value,
                    ", ".join(metric.labels),
                    metric.meaning,
                )
                for metric in metrics
            ],
        )
        return ExitCode.OK
