"""The metrics of finished requests, read from what the request log has counted."""

from balsamtide.telemetry.metrics import (
    REQUEST_DURATION_SECONDS,
    REQUESTS_TOTAL,
    STAGE_SECONDS_TOTAL,
)
from balsamtide.telemetry.registry import MetricRegistry
from balsamtide.telemetry.summary import Group

__all__ = ["add_request_metrics"]


def add_request_metrics(registry: MetricRegistry, service: str, totals: Group) -> None:
    """Set the metrics of ``service`` to its totals since the start."""
    for verdict, number in totals.verdicts.items():
        labels = {"service": service, "verdict": verdict.value}
        registry.set(REQUESTS_TOTAL, number, labels)
    for stage, cells in totals.stages.items():
        labels = {"service": service, "stage": stage.value}
        registry.set(STAGE_SECONDS_TOTAL, cells.seconds, labels)
    registry.set_histogram(REQUEST_DURATION_SECONDS, totals.total, {"service": service})
