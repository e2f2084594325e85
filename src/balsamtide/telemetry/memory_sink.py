"""A sink that keeps everything in memory, for embedders, tests and measures."""

from collections import Counter
from typing import Any

from balsamtide.telemetry.event import Event, Metric
from balsamtide.telemetry.records import AuditRecord, RequestRecord
from balsamtide.telemetry.sink import Sink

__all__ = ["MemorySink"]

Labels = tuple[tuple[str, str], ...]


class MemorySink(Sink):
    """Keeps all that it is told."""

    def __init__(self) -> None:
        self.events: list[tuple[Event, dict[str, Any]]] = []
        self.audits: list[AuditRecord] = []
        self.requests: list[RequestRecord] = []
        self.counts: Counter[tuple[str, Labels]] = Counter()
        self.gauges: dict[tuple[str, Labels], float] = {}
        self.durations: dict[str, list[float]] = {}

    def event(self, event: Event, **fields: Any) -> None:
        """Keep an event."""
        self.events.append((event, fields))

    def audit(self, record: AuditRecord) -> None:
        """Keep an audit record."""
        self.audits.append(record)

    def request(self, record: RequestRecord) -> None:
        """Keep a finished request."""
        self.requests.append(record)

    def count(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        key = metric.name, tuple(sorted(labels.items()))
        self.counts[key] += amount  # type: ignore[assignment]

    def gauge(self, metric: Metric, value: float, **labels: str) -> None:
        """Keep the value of a gauge."""
        self.gauges[metric.name, tuple(sorted(labels.items()))] = value

    def observe(self, metric: Metric, seconds: float) -> None:
        """Keep a duration."""
        self.durations.setdefault(metric.name, []).append(seconds)

    def total(self, metric: Metric) -> float:
        """Return the sum of a counter over all its labels."""
        return sum(n for (name, _), n in self.counts.items() if name == metric.name)
