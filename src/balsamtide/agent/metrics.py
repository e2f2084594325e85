"""Metrics that the agent exports."""

from balsamtide.telemetry.event import Metric, MetricKind

__all__ = [
    "DATAGRAMS_DROPPED",
    "DATAGRAMS_STEERED",
    "FLOWS_CLOSED",
    "FLOWS_OPEN",
    "FLOWS_OPENED",
    "HANDSHAKES_OPEN",
]

DATAGRAMS_DROPPED = Metric(
    name="agent_dropped_total",
    kind=MetricKind.COUNTER,
    meaning="Datagrams that the agent dropped.",
    labels=("reason",),
)
DATAGRAMS_STEERED = Metric(
    name="agent_steered_total",
    kind=MetricKind.COUNTER,
    meaning="Initial datagrams forwarded to a peer.",
)
FLOWS_OPENED = Metric(
    name="agent_flows_opened_total",
    kind=MetricKind.COUNTER,
    meaning="Flows that completed their handshake.",
)
FLOWS_CLOSED = Metric(
    name="agent_flows_closed_total",
    kind=MetricKind.COUNTER,
    meaning="Closed flows, including failed handshakes; cause is caller (closed "
    "without error by either side), error (closed with an error) or fault (exception "
    "in the agent).",
    labels=("cause",),
)
FLOWS_OPEN = Metric(
    name="agent_flows_open",
    kind=MetricKind.GAUGE,
    meaning="Open flows.",
)
HANDSHAKES_OPEN = Metric(
    name="agent_handshakes_open",
    kind=MetricKind.GAUGE,
    meaning="Handshakes in progress.",
)
