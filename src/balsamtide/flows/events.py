"""Events of the raw-packet data plane."""

from balsamtide.telemetry.event import Event, Level

__all__ = [
    "AGENT_SILENT",
    "FLOW_CLASS_DECIDED",
    "FLOW_ANSWERED",
    "FLOW_DISOWNED",
    "FLOW_DROPPED",
    "FLOW_FOUND",
    "FLOW_LOST",
    "FLOW_PASSED_ON",
    "FLOW_PLACED",
    "FLOW_REFUSED",
    "FLOW_RETURNED",
    "FLOW_SEARCHED",
    "FLOW_TAKEN",
    "INSTANCE_LEAVING",
    "FLOW_WAITS",
    "TARGET_COLD",
    "TARGET_SILENT",
    "TARGET_SPEAKS",
    "ZONE_EVACUATED",
    "ZONE_RETURNS",
    "ZONE_SPILLS",
]

FLOW_FIELDS = {"flow": "client address and port, service address and port"}
VIEW_FIELDS = {
    "version": "configuration version in force here",
    "revision": "store revision of the view that the decision is based on",
    "age_ms": "milliseconds since a reader confirmed that revision as the newest",
}

# Only in services whose loads are shared between processes.
LOAD_FIELDS = {
    "load": "requests per slot expected at the chosen target before this flow",
    "load_age_ms": "milliseconds since its agent measured the reported mean of that; "
    "null if none is known",
}

FLOW_PLACED = Event(
    number=901,
    name="flow-placed",
    level=Level.INFO,
    meaning="A balancer chose a target for a new flow.",
    fields=FLOW_FIELDS
    | {
        "service": "service of the route",
        "target": "target chosen",
        "copies": "transmissions of the SYN before this one",
        "candidates": "targets available for new flows",
        "tries": "targets tried before for this flow",
    }
    | LOAD_FIELDS
    | VIEW_FIELDS,
)
FLOW_TAKEN = Event(
    number=902,
    name="flow-taken",
    level=Level.INFO,
    meaning="An agent delivered a new flow to its target.",
    fields=FLOW_FIELDS
    | {
        "busy": "requests at the target before this one",
        "capacity": "requests that the target processes at once",
        "hops": "agents that forwarded the flow",
        "elapsed_ms": "milliseconds since the balancer received the packet",
        "reason": "free slot; least load: no visited target has less; told to: the "
        "sender requires it; settling: returning targets are expected; waited: it was "
        "queued before; always: agents never forward",
    }
    | VIEW_FIELDS,
)
FLOW_PASSED_ON = Event(
    number=903,
    name="flow-passed-on",
    level=Level.INFO,
    meaning="An agent forwarded a new flow to another agent.",
    fields=FLOW_FIELDS
    | {
        "to": "instance of the other agent",
        "busy": "requests at this target",
        "capacity": "requests that the target processes at once",
        "reason": "busy; draining; silent; stopping: the agent stops; gone: the target "
        "is not listed; lapsed: it was missing from the list for too long; "
        "other-service: it serves another one; returned: it returned the SYN; stale: "
        "routed by an older configuration; evacuated: the target's zone is evacuated; "
        "suspended: the agent was suspended and waits for a confirmed view; cold: the "
        "target takes no more new flows in this second",
    }
    | LOAD_FIELDS
    | VIEW_FIELDS,
)
FLOW_REFUSED = Event(
    number=904,
    name="opening-refused",
    level=Level.WARNING,
    meaning="A new flow was reset; its request has not run.",
    action="no-route: check the configured routes; no-target: check the service's "
    "targets; overload: check its load; evacuated: all targets of the service are in "
    "evacuated zones, so end an evacuation or add targets in another zone; cold: the "
    "target's warm-up rate is too low for the load.",
    fields=FLOW_FIELDS
    | {
        "reason": "no-route; no-target; evacuated; cold; overload: it can't start in "
        "time, or the queue is full; over-share: a flow of a class with a smaller "
        "share of the target's time got its place in the queue; no-time: it was queued "
        "and can't start in time anymore"
    }
    | VIEW_FIELDS,
)
FLOW_DROPPED = Event(
    number=905,
    name="flow-dropped",
    level=Level.WARNING,
    meaning="A packet was dropped without an answer.",
    action="The client retransmits it; check the reason if it recurs.",
    fields=FLOW_FIELDS | {"reason": "why the packet was dropped"} | VIEW_FIELDS,
)
FLOW_SEARCHED = Event(
    number=906,
    name="flow-searched",
    level=Level.INFO,
    meaning="A balancer asks the agents for an open flow that is not in its cache.",
    fields=FLOW_FIELDS | {"asked": "number of agents asked"} | VIEW_FIELDS,
)
FLOW_FOUND = Event(
    number=907,
    name="flow-found",
    level=Level.INFO,
    meaning="Result of a search for an open flow.",
    fields=FLOW_FIELDS
    | {
        "outcome": "instance that has the flow; guess with an instance: all other "
        "agents denied the flow, and this one is used for 300 ms unless it confirms "
        "the flow; uncertain: its packet is sent to all agents that can't tell; "
        "unknown: not found, or not everyone answered",
    },
)
FLOW_DISOWNED = Event(
    number=908,
    name="flow-disowned",
    level=Level.INFO,
    meaning="An agent handed a packet back because its target does not have the flow.",
    fields=FLOW_FIELDS
    | {
        "reason": "not-here; other-service: this target serves another one; "
        "other-handshake: the packet acknowledges data that this target has not sent",
    },
)
FLOW_RETURNED = Event(
    number=909,
    name="flow-returned",
    level=Level.INFO,
    meaning="A target returned a packet that it can't process.",
    fields=FLOW_FIELDS | {"is_opening": "whether the packet is a SYN"},
)
FLOW_LOST = Event(
    number=910,
    name="flow-lost",
    level=Level.WARNING,
    meaning="A target no longer has a flow that was open there; the flow was reset.",
    action="Check whether the target crashed or was restarted.",
    fields=FLOW_FIELDS,
)
FLOW_ANSWERED = Event(
    number=911,
    name="flow-answered",
    level=Level.INFO,
    meaning="A target began to answer a request.",
    fields=FLOW_FIELDS
    | {
        "open_ms": "milliseconds from the delivered SYN to the complete request; "
        "flow_open_seconds ends at the SYN-ACK",
        "answer_ms": "milliseconds from the complete request to its answer's start",
        "busy": "requests at the target when this one arrived",
    },
)
TARGET_SILENT = Event(
    number=912,
    name="target-silent",
    level=Level.WARNING,
    meaning="A target did not answer a SYN in time; new flows go to its peers.",
    action="Check the target if it stays unresponsive.",
    fields=FLOW_FIELDS | {"waited_ms": "milliseconds since the SYN was delivered"},
)
TARGET_SPEAKS = Event(
    number=913,
    name="target-speaks",
    level=Level.INFO,
    meaning="An unresponsive target answers again.",
    fields={"silent_ms": "milliseconds for which it was unresponsive"},
)
AGENT_SILENT = Event(
    number=914,
    name="agent-silent",
    level=Level.WARNING,
    meaning="An agent did not confirm a new flow in time; another agent is tried.",
    action="Check the instance if this recurs.",
    fields=FLOW_FIELDS
    | {"target": "instance of the agent", "waited_ms": "milliseconds waited"},
)
INSTANCE_LEAVING = Event(
    number=915,
    name="instance-leaving",
    level=Level.INFO,
    meaning="Another process announced whether it takes new flows.",
    fields={
        "peer": "instance",
        "lasts_ms": "longest time for which it takes no new flows; 0 if it takes them",
    },
)
FLOW_WAITS = Event(
    number=916,
    name="flow-waits",
    level=Level.INFO,
    meaning="A new flow is queued at an agent until its target has a free slot.",
    fields=FLOW_FIELDS
    | {
        "busy": "requests at the target",
        "waiting": "queued flows, this one included",
        "start_by_ms": "milliseconds left to start it and meet its latency objective",
        "give_up_ms": "milliseconds until its client gives up",
    }
    | VIEW_FIELDS,
)
# Numbers 917 to 923 are left to decisions about single flows.
ZONE_EVACUATED = Event(
    number=924,
    name="zone-evacuated",
    level=Level.WARNING,
    meaning="This process learned that an availability zone is evacuated; the share of "
    "new flows that go there falls to 0.",
    action="Nothing if an operator evacuated the zone.",
    fields={"zone": "availability zone"} | VIEW_FIELDS,
)
ZONE_RETURNS = Event(
    number=925,
    name="zone-returns",
    level=Level.INFO,
    meaning="This process learned that the evacuation of a zone has ended; the share "
    "of new flows that go there rises.",
    fields={"zone": "availability zone"} | VIEW_FIELDS,
)
TARGET_COLD = Event(
    number=926,
    name="target-cold",
    level=Level.INFO,
    meaning="An agent assumes that its target has restarted and is cold, and limits "
    "its new flows.",
    fields={
        "reason": "silent: it answers again after it was unresponsive; returned: it "
        "returned a packet of an open flow",
        "lasts_ms": "milliseconds for which it is assumed to be cold",
    },
)
ZONE_SPILLS = Event(
    number=917,
    name="zone-spills",
    level=Level.INFO,
    meaning="The share of a zone's new flows that leave it starts to rise or to fall.",
    action="If the share stays high, add targets in this zone.",
    fields={
        "service": "service of the flows",
        "is_leaving": "whether the share rises",
        "share": "present share, 0 to 1",
        "local_load": "mean requests per slot at the targets of this zone",
        "other_load": "mean requests per slot at the targets of the other zones",
        "age_ms": "mean age of the loads, in milliseconds",
    },
)
FLOW_CLASS_DECIDED = Event(
    number=927,
    name="flow-class-decided",
    level=Level.INFO,
    meaning="An agent served or refused a queued flow by its class, which is the route "
    "and the zone of the client.",
    fields=FLOW_FIELDS
    | {
        "route": "route of the flow",
        "zone": "availability zone of the client, or unknown",
        "why": "minimum-share: its class had less than its minimum; in-objective, "
        "late: it was next by objective, priority and deadline; over-share, no-time: "
        "it was refused, see opening-refused",
        "share": "share of the class of the time that the target served lately",
        "minimum": "share that a class with queued flows keeps",
        "classes": "classes that were served lately or have queued flows",
    }
    | VIEW_FIELDS,
)
