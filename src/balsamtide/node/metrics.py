"""Metrics that all roles expose."""

from balsamtide.telemetry.event import Metric, MetricKind

__all__ = ["INNER_DROPPED"]

INNER_DROPPED = Metric(
    name="inner_dropped_total",
    kind=MetricKind.COUNTER,
    meaning="Inner datagrams dropped as invalid.",
    labels=("reason",),
)
