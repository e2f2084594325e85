"""Metrics of membership."""

from balsamtide.telemetry.event import Metric, MetricKind

__all__ = [
    "HEARTBEATS",
    "MARKS_BELIEVED",
    "MARKS_MADE",
    "MESSAGES",
    "PARTNERS_SILENT",
    "PEERS",
    "PLATFORM_READS",
    "READER",
]

MESSAGES = Metric(
    name="membership_messages_total",
    kind=MetricKind.COUNTER,
    meaning="Membership messages handed to the socket.",
    labels=("kind",),
)
HEARTBEATS = Metric(
    name="membership_heartbeats_total",
    kind=MetricKind.COUNTER,
    meaning="Heartbeats sent to partners and probed instances.",
)
MARKS_MADE = Metric(
    name="membership_marks_made_total",
    kind=MetricKind.COUNTER,
    meaning="Marks made by this process.",
    labels=("kind",),
)
MARKS_BELIEVED = Metric(
    name="membership_marks_believed",
    kind=MetricKind.GAUGE,
    meaning="Number of instances and zones on which this process believes a mark.",
)
PARTNERS_SILENT = Metric(
    name="membership_partners_silent",
    kind=MetricKind.GAUGE,
    meaning="Monitored partners whose lease has expired.",
)
PEERS = Metric(
    name="membership_peers",
    kind=MetricKind.GAUGE,
    meaning="Peers in the partial view.",
)
PLATFORM_READS = Metric(
    name="membership_platform_reads_total",
    kind=MetricKind.COUNTER,
    meaning="Reads of the platform.",
    labels=("kind", "outcome"),
)
READER = Metric(
    name="membership_reader",
    kind=MetricKind.GAUGE,
    meaning="1 while this process reads the platform for its zone.",
)
