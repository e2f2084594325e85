"""Metrics of the raw-packet data plane."""

from balsamtide.telemetry.event import Metric, MetricKind

__all__ = [
    "CLASS_DECISIONS",
    "ANSWER_SECONDS",
    "FLOWS",
    "FLOW_DECISIONS",
    "HOPS",
    "HANDSHAKE_SECONDS",
    "PACKETS",
    "PACKETS_REJECTED",
]

PACKETS = Metric(
    name="flow_packets_total",
    kind=MetricKind.COUNTER,
    meaning="Packets forwarded.",
    labels=("direction",),
)
PACKETS_REJECTED = Metric(
    name="flow_packets_rejected_total",
    kind=MetricKind.COUNTER,
    meaning="Datagrams that are not a valid packet or frame.",
    labels=("kind",),
)
FLOW_DECISIONS = Metric(
    name="flow_decisions_total",
    kind=MetricKind.COUNTER,
    meaning="Decisions about flows, by outcome.",
    labels=("outcome",),
)
CLASS_DECISIONS = Metric(
    name="flow_class_decisions_total",
    kind=MetricKind.COUNTER,
    meaning="New flows served from an agent's queue or refused there, by route, zone "
    "of the client and reason.",
    labels=("route", "zone", "outcome"),
)
HOPS = Metric(
    name="flow_hops_total",
    kind=MetricKind.COUNTER,
    meaning="New flows accepted, by the number of agents that forwarded them.",
    labels=("hops",),
)
FLOWS = Metric(
    name="flows_known",
    kind=MetricKind.GAUGE,
    meaning="Flows known to this process.",
)
HANDSHAKE_SECONDS = Metric(
    name="flow_open_seconds",
    kind=MetricKind.HISTOGRAM,
    meaning="Time from the delivery of a SYN to the target's SYN-ACK, without the "
    "request, which open_ms of flow-answered includes.",
)
ANSWER_SECONDS = Metric(
    name="flow_answer_seconds",
    kind=MetricKind.HISTOGRAM,
    meaning="Time from a complete request to the first byte of its answer.",
)
