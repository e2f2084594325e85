"""Metrics of a process that forwards raw packets."""

from balsamtide.telemetry.event import Metric, MetricKind

__all__ = [
    "BIND_FAILURES",
    "DOCUMENTS_REJECTED",
    "STORE_CALLS",
    "STORE_ERAS_UNKNOWN",
    "VIEW_AGE",
    "VIEW_ERAS",
    "VIEW_PULLS",
]

BIND_FAILURES = Metric(
    name="bind_failures_total",
    kind=MetricKind.COUNTER,
    meaning="Failed attempts to bind a socket to its address.",
)

STORE_CALLS = Metric(
    name="store_calls_total",
    kind=MetricKind.COUNTER,
    meaning="Requests to the platform's store.",
    labels=("outcome",),
)
STORE_ERAS_UNKNOWN = Metric(
    name="store_eras_unknown_total",
    kind=MetricKind.COUNTER,
    meaning="Responses of the platform's store that did not state its era.",
)
DOCUMENTS_REJECTED = Metric(
    name="documents_rejected_total",
    kind=MetricKind.COUNTER,
    meaning="Documents in the store that were rejected as invalid.",
)
VIEW_PULLS = Metric(
    name="view_pulls_total",
    kind=MetricKind.COUNTER,
    meaning="Pulls of the view from other processes.",
    labels=("outcome",),
)
VIEW_ERAS = Metric(
    name="view_eras_total",
    kind=MetricKind.COUNTER,
    meaning="Changes of the view to another era of the store, after it was restored.",
)
VIEW_AGE = Metric(
    name="view_age_seconds",
    kind=MetricKind.GAUGE,
    meaning="Time since a reader confirmed the view as the newest.",
)
