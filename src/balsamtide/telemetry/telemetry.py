"""The sink that daemons use."""

import sys
from collections.abc import Callable
from time import monotonic, time
from typing import Any, TextIO

from trio import sleep

from balsamtide.settings.model import Settings
from balsamtide.telemetry.audit import AuditTrail
from balsamtide.telemetry.event import Event, Metric
from balsamtide.telemetry.events import SERIES_LIMIT
from balsamtide.telemetry.logging import EventLog
from balsamtide.telemetry.metrics import (
    EVENTS_TOTAL,
)
from balsamtide.telemetry.records import AuditRecord, RequestRecord
from balsamtide.telemetry.registry import MetricRegistry
from balsamtide.telemetry.request_log import RequestLog
from balsamtide.telemetry.request_metrics import add_request_metrics
from balsamtide.telemetry.sink import Sink

__all__ = ["Telemetry"]

FLUSH_PERIOD_S = 10.0


class Telemetry(Sink):
    """Logs, audits and counts, and keeps what operators ask for.

    Parameters
    ----------
    instance : str
        Instance identifier.
    log_format : str
        ``"json"`` or ``"text"``.
    log_level : str
        Lowest level that is logged.
    log_stream, audit_stream : text stream or None
        Where log and audit lines go; standard error and standard output by default.
    clock : callable
        Monotonic clock, seconds.
    wall_clock : callable
        Seconds since the epoch, for display only.
    """

    def __init__(
        self,
        *,
        instance: str,
        log_format: str = "json",
        log_level: str = "INFO",
        log_stream: TextIO | None = None,
        audit_stream: TextIO | None = None,
        clock: Callable[[], float] = monotonic,
        wall_clock: Callable[[], float] = time,
    ) -> None:
        self.instance = instance
        self.log_stream = sys.stderr if log_stream is None else log_stream
        self.event_log = EventLog(
            self.log_stream,
            instance=instance,
            log_format=log_format,
            level=log_level,
            clock=clock,
            wall_clock=wall_clock,
        )
        self.audit_trail = AuditTrail(
            sys.stdout if audit_stream is None else audit_stream,
            instance=instance,
            wall_clock=wall_clock,
        )
        self.request_log = RequestLog(instance=instance, clock=clock)
        self.registry = MetricRegistry(self._report_series_limit)

    @classmethod
    def from_settings(
        cls, settings: Settings, *, clock: Callable[[], float] = monotonic
    ) -> "Telemetry":
        """Return the telemetry of a daemon with ``settings``."""
        return cls(
            instance=settings.instance,
            log_format=settings.log_format,
            log_level=settings.log_level,
            clock=clock,
        )

    def event(self, event: Event, **fields: Any) -> None:
        """Log an event with its fields."""
        self.registry.add(EVENTS_TOTAL, 1, {"number": str(event.number)})
        self.event_log.write(event, fields)

    def audit(self, record: AuditRecord) -> None:
        """Add a change to the audit trail."""
        self.audit_trail.add(record)

    def request(self, record: RequestRecord) -> None:
        """Account for a finished request."""
        self.request_log.add(record)

    def count(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Increase a counter; labels come from bounded sets."""
        self.registry.add(metric, amount, labels)

    def gauge(self, metric: Metric, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.registry.set(metric, value, labels)

    def observe(self, metric: Metric, seconds: float) -> None:
        """Account for a duration; stages of requests have histograms of their own."""
        self.registry.observe(metric, seconds)

    def render_metrics(self) -> tuple[bytes, dict[str, str]]:
        """Return the exposition of all metrics and its HTTP headers."""
        for service, log in self.request_log.services.items():
            add_request_metrics(self.registry, service, log.totals())
        return self.registry.render()

    async def run(self) -> None:
        """Log the counts of suppressed repeats until cancelled."""
        while True:
            await sleep(FLUSH_PERIOD_S)
            self.event_log.flush()

    def close(self) -> None:
        """Log what is outstanding and stop logging."""
        self.event_log.close()

    def _report_series_limit(self, name: str) -> None:
        self.event(SERIES_LIMIT, metric=name)
