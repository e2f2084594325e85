"""Metrics of the balancer."""

from balsamtide.telemetry.event import Metric, MetricKind

__all__ = ["DATAGRAMS_DROPPED", "DATAGRAMS_FORWARDED"]

DATAGRAMS_FORWARDED = Metric(
    name="balancer_datagrams_total",
    kind=MetricKind.COUNTER,
    meaning="Datagrams forwarded by the balancer.",
    labels=("direction",),
)
DATAGRAMS_DROPPED = Metric(
    name="balancer_dropped_total",
    kind=MetricKind.COUNTER,
    meaning="Datagrams dropped by the balancer.",
    labels=("reason",),
)
