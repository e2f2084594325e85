"""Metrics of the raw-packet data plane."""

from balsamtide.telemetry.event import Metric, MetricKind

__all__ = [
    "CLASS_DECISIONS",
    "ANSWER_SECONDS",
    "FLOWS",
    "FLOW_DECISIONS",
    "HOPS",
    "HANDSHAKE_SECONDS",
    "OPENINGS_WITHHELD",
    "PACKETS",
    "PACKETS_REJECTED",
    "ZONES_EVACUATED",
    "PLACEMENTS",
    "REPORTED_LOADS",
    "REPORTED_LOAD_AGE",
    "ZONE_SPILL_SHARE",
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
OPENINGS_WITHHELD = Metric(
    name="flow_openings_withheld_total",
    kind=MetricKind.COUNTER,
    meaning="SYNs that an agent kept from its target because the target's zone is "
    "evacuated, the target is cold, or the agent has no view or was suspended.",
    labels=("reason",),
)
ZONES_EVACUATED = Metric(
    name="zones_evacuated",
    kind=MetricKind.GAUGE,
    meaning="Evacuated availability zones known to this process.",
)
PLACEMENTS = Metric(
    name="flow_placements_total",
    kind=MetricKind.COUNTER,
    meaning="Placements by shared loads: in the same zone or another one.",
    labels=("zone",),
)
REPORTED_LOADS = Metric(
    name="reported_loads_known",
    kind=MetricKind.GAUGE,
    meaning="Targets whose load was reported to this process recently enough to count.",
)
REPORTED_LOAD_AGE = Metric(
    name="reported_load_age_seconds",
    kind=MetricKind.GAUGE,
    meaning="Mean age of the reported loads that count.",
)
ZONE_SPILL_SHARE = Metric(
    name="zone_spill_share",
    kind=MetricKind.GAUGE,
    meaning="Largest share, over all services, by which new flows leave their zone.",
)
