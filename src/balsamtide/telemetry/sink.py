"""Where decision classes and tasks report what happened."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Any

from balsamtide.telemetry.event import Event, Metric

if TYPE_CHECKING:
    # A process that keeps no records does not load them.
    from balsamtide.telemetry.records import AuditRecord, RequestRecord

__all__ = ["Sink"]


class Sink(ABC):
    """Receives events, audit records, requests and counts."""

    @abstractmethod
    def event(self, event: Event, **fields: Any) -> None:
        """Log an event with its fields."""

    @abstractmethod
    def audit(self, record: "AuditRecord") -> None:
        """Add a change to the audit trail."""

    @abstractmethod
    def request(self, record: "RequestRecord") -> None:
        """Account for a finished request."""

    @abstractmethod
    def count(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Increase a counter; labels come from bounded sets."""

    @abstractmethod
    def gauge(self, metric: Metric, value: float, **labels: str) -> None:
        """Set a gauge."""

    @abstractmethod
    def observe(self, metric: Metric, seconds: float) -> None:
        """Account for a duration."""
