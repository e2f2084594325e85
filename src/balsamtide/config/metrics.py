"""Metrics of the configuration package."""

from balsamtide.telemetry.event import Metric, MetricKind

__all__ = [
    "BUFFERED_ENTRIES",
    "CONFLICTS",
    "ENTRIES",
    "HELD_ENTRY",
    "IGNORED_ENTRIES",
    "METRICS",
    "SNAPSHOTS",
    "VERSION",
]

VERSION = Metric(
    name="config_version",
    kind=MetricKind.GAUGE,
    meaning="Number of the last entry in force.",
)
HELD_ENTRY = Metric(
    name="config_held_entry",
    kind=MetricKind.GAUGE,
    meaning="Number of the last entry held, in force or rejected.",
)
BUFFERED_ENTRIES = Metric(
    name="config_buffered_entries",
    kind=MetricKind.GAUGE,
    meaning="Entries buffered until the gap before them is filled.",
)
ENTRIES = Metric(
    name="config_entries_total",
    kind=MetricKind.COUNTER,
    meaning="Entries evaluated, by reason.",
    labels=("reason",),
)
IGNORED_ENTRIES = Metric(
    name="config_ignored_entries_total",
    kind=MetricKind.COUNTER,
    meaning="Entries ignored: duplicate, number out of range or buffer overflow.",
    labels=("why",),
)
CONFLICTS = Metric(
    name="config_conflicts_total",
    kind=MetricKind.COUNTER,
    meaning="Entries or snapshots that differ from the local log at the same number.",
)
SNAPSHOTS = Metric(
    name="config_snapshots_total",
    kind=MetricKind.COUNTER,
    meaning="Snapshots received, by outcome.",
    labels=("outcome",),
)

METRICS = (
    VERSION,
    HELD_ENTRY,
    BUFFERED_ENTRIES,
    ENTRIES,
    IGNORED_ENTRIES,
    CONFLICTS,
    SNAPSHOTS,
)
