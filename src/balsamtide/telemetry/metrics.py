"""Metrics of finished requests and of the telemetry itself."""

from balsamtide.telemetry.event import Metric, MetricKind

__all__ = [
    "EVENTS_TOTAL",
    "REQUESTS_TOTAL",
    "REQUEST_DURATION_SECONDS",
    "STAGE_SECONDS_TOTAL",
]

REQUESTS_TOTAL = Metric(
    name="requests_total",
    kind=MetricKind.COUNTER,
    meaning="Requests that ended at this agent.",
    labels=("service", "verdict"),
)

REQUEST_DURATION_SECONDS = Metric(
    name="request_duration_seconds",
    kind=MetricKind.HISTOGRAM,
    meaning="Time of a request over all its stages.",
    labels=("service",),
)

STAGE_SECONDS_TOTAL = Metric(
    name="request_stage_seconds_total",
    kind=MetricKind.COUNTER,
    meaning="Time that requests spent in a stage.",
    labels=("service", "stage"),
)

EVENTS_TOTAL = Metric(
    name="events_total",
    kind=MetricKind.COUNTER,
    meaning="Events by number, logged or suppressed.",
    labels=("number",),
)
