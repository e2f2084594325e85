"""Metrics of admission control."""

from balsamtide.telemetry.event import Metric, MetricKind

__all__ = ["ADMITTED", "QUEUE_LENGTH", "REFUSED", "TRANSFERS", "WINDOW"]

ADMITTED = Metric(
    name="admission_started_total",
    kind=MetricKind.COUNTER,
    meaning="Requests started on the local target.",
    labels=("size",),
)
REFUSED = Metric(
    name="admission_refused_total",
    kind=MetricKind.COUNTER,
    meaning="Requests refused by admission control.",
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
    meaning="Requests queued for a slot.",
    labels=("size",),
)
WINDOW = Metric(
    name="admission_window",
    kind=MetricKind.GAUGE,
    meaning="Concurrent requests allowed on the target.",
)
