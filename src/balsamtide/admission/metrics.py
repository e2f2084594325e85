"""Metrics of admission."""

from balsamtide.telemetry.event import Metric, MetricKind

__all__ = ["ADMITTED", "QUEUE_LENGTH", "REFUSED", "TRANSFERS", "WINDOW"]

ADMITTED = Metric(
    name="admission_started_total",
    kind=MetricKind.COUNTER,
    meaning="Requests started on the agent's own target.",
    labels=("size",),
)
REFUSED = Metric(
    name="admission_refused_total",
    kind=MetricKind.COUNTER,
    meaning="Requests refused by admission.",
    labels=("reason",),
)
TRANSFERS = Metric(
    name="admission_transfers_total",
    kind=MetricKind.COUNTER,
    meaning="Requests offered to peers.",
    labels=("size",),
)
QUEUE_LENGTH = Metric(
    name="admission_queue_length",
    kind=MetricKind.GAUGE,
    meaning="Requests that wait for a slot.",
    labels=("size",),
)
WINDOW = Metric(
    name="admission_window",
    kind=MetricKind.GAUGE,
    meaning="Requests that may run on the target at a time.",
)
