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
    "TARGET_SILENT",
    "TARGET_SPEAKS",
]

FLOW_FIELDS = {"flow": "client address and port, service address and port"}
VIEW_FIELDS = {
    "version": "configuration version in force here",
    "revision": "store revision of the view that the decision is based on",
    "age_ms": "milliseconds since a reader confirmed that revision as the newest",
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
        "routed by an older configuration",
    }
    | VIEW_FIELDS,
)
FLOW_REFUSED = Event(
    number=904,
    name="opening-refused",
    level=Level.WARNING,
    meaning="A new flow was reset; its request has not run.",
    action="no-route: check the configured routes; no-target: check the service's "
    "targets; overload: check its load.",
    fields=FLOW_FIELDS
    | {
        "reason": "no-route; no-target; overload: it can't start in time, or the queue "
        "is full; over-share: a flow of a class with a smaller share of the target's "
        "time got its place in the queue; no-time: it was queued and can't start in "
        "time anymore"
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
        "outcome": "instance that has the flow; uncertain: its packet is sent to all "
        "agents that can't tell; unknown: not found",
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
