"""A sink that keeps everything in memory, for embedders, tests and measures."""

from collections import Counter
from typing import Any

from balsamtide.telemetry.sink import AuditRecord, RequestRecord, Sink

__all__ = ["MemorySink"]


class MemorySink(Sink):
    """Keeps all that it is told."""

    def __init__(self) -> None:
        self.events: list[tuple[int, dict[str, Any]]] = []
        self.audits: list[AuditRecord] = []
        self.requests: list[RequestRecord] = []
        self.counts: Counter[tuple[str, tuple[tuple[str, str], ...]]] = Counter()

    def event(self, number: int, **fields: Any) -> None:
        """Keep an event."""
        self.events.append((number, fields))

    def audit(self, record: AuditRecord) -> None:
        """Keep an audit record."""
        self.audits.append(record)

    def request(self, record: RequestRecord) -> None:
        """Keep a finished request."""
        self.requests.append(record)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        self.counts[name, tuple(sorted(labels.items()))] += amount  # type: ignore[assignment]

    def total(self, name: str) -> float:
        """Return the sum of a counter over all its labels."""
        return sum(value for (key, _), value in self.counts.items() if key == name)
