"""Telemetry: events, audit trail, metrics, stages of requests.

`Telemetry` and the admin listener stand in the modules ``telemetry`` and ``admin``,
which load the libraries for logs, metrics and HTTP; decision classes need neither.
Names load on first use, so that a process pays only for the parts that it needs.
"""

from typing import TYPE_CHECKING

from balsamtide.lazy import lazy_names

if TYPE_CHECKING:
    from balsamtide.telemetry.event import Event, Level, Metric, MetricKind
    from balsamtide.telemetry.memory_sink import MemorySink
    from balsamtide.telemetry.records import AuditRecord, RequestRecord
    from balsamtide.telemetry.sink import Sink
    from balsamtide.telemetry.stages import Stage, StageTimes
    from balsamtide.telemetry.status import Status

__all__ = [
    "AuditRecord",
    "Event",
    "Level",
    "MemorySink",
    "Metric",
    "MetricKind",
    "RequestRecord",
    "Sink",
    "Stage",
    "StageTimes",
    "Status",
]

__getattr__ = lazy_names(
    __name__,
    {
        "AuditRecord": "records",
        "Event": "event",
        "Level": "event",
        "MemorySink": "memory_sink",
        "Metric": "event",
        "MetricKind": "event",
        "RequestRecord": "records",
        "Sink": "sink",
        "Stage": "stages",
        "StageTimes": "stages",
        "Status": "status",
    },
)
