"""Events of the data plane for raw packets."""

from balsamtide.telemetry.event import Event, Level

__all__ = [
    "AGENT_SILENT",
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
    "revision": "revision of the store that the decision rests on",
    "age_ms": "milliseconds since a reader found that revision to be the newest",
}

FLOW_PLACED = Event(
    number=901,
    name="flow-placed",
    level=Level.INFO,
    meaning="A balancer chose a target for a new flow.",
    fields=FLOW_FIELDS
    | {
        "service": "service of the route",
        "target": "target that was chosen",
        "copies": "copies of the opening packet that went before",
        "candidates": "targets that took new flows",
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
        "hops": "agents that passed the flow on",
        "elapsed_ms": "milliseconds since the balancer took the packet",
        "reason": "why here: a free slot, the least load or no other target",
    }
    | VIEW_FIELDS,
)
FLOW_PASSED_ON = Event(
    number=903,
    name="flow-passed-on",
    level=Level.INFO,
    meaning="An agent passed a new flow on to another one.",
    fields=FLOW_FIELDS
    | {
        "to": "instance of the other agent",
        "busy": "requests at this target",
        "capacity": "requests that the target processes at once",
        "reason": "busy, draining, gone, silent, returned or stale",
    }
    | VIEW_FIELDS,
)
FLOW_REFUSED = Event(
    number=904,
    name="opening-refused",
    level=Level.WARNING,
    meaning="A new flow was reset; its request has not run.",
    action="no-route: compare the configuration; no-target: look at the service's "
    "targets; overload: look at its load.",
    fields=FLOW_FIELDS | {"reason": "no-route, no-target or overload"} | VIEW_FIELDS,
)
FLOW_DROPPED = Event(
    number=905,
    name="flow-dropped",
    level=Level.WARNING,
    meaning="A packet was dropped without an answer.",
    action="The client sends it again; look at the reason if it repeats.",
    fields=FLOW_FIELDS | {"reason": "why"} | VIEW_FIELDS,
)
FLOW_SEARCHED = Event(
    number=906,
    name="flow-searched",
    level=Level.INFO,
    meaning="A balancer asks the agents for an open flow that it does not know.",
    fields=FLOW_FIELDS | {"asked": "number of agents asked"} | VIEW_FIELDS,
)
FLOW_FOUND = Event(
    number=907,
    name="flow-found",
    level=Level.INFO,
    meaning="A search for an open flow ended.",
    fields=FLOW_FIELDS | {"outcome": "instance that has it, or uncertain or unknown"},
)
FLOW_DISOWNED = Event(
    number=908,
    name="flow-disowned",
    level=Level.INFO,
    meaning="An agent handed a packet back because its flow is not at its target.",
    fields=FLOW_FIELDS
    | {"reason": "not-here, other-service, other-handshake or returned"},
)
FLOW_RETURNED = Event(
    number=909,
    name="flow-returned",
    level=Level.INFO,
    meaning="A target returned a packet that it can't take.",
    fields=FLOW_FIELDS | {"is_opening": "whether the packet asked for a new flow"},
)
FLOW_LOST = Event(
    number=910,
    name="flow-lost",
    level=Level.WARNING,
    meaning="A target no longer holds a flow that was open there; it was reset.",
    action="Look whether the target crashed or was started again.",
    fields=FLOW_FIELDS,
)
FLOW_ANSWERED = Event(
    number=911,
    name="flow-answered",
    level=Level.INFO,
    meaning="A target began to answer a request.",
    fields=FLOW_FIELDS
    | {
        "open_ms": "milliseconds from opening to handshake",
        "answer_ms": "milliseconds from the request's first octet to the answer's",
        "busy": "requests at the target when this one came",
    },
)
TARGET_SILENT = Event(
    number=912,
    name="target-silent",
    level=Level.WARNING,
    meaning="A target did not answer the opening of a flow in time; new flows go on.",
    action="Look at the target, if it does not speak again.",
    fields=FLOW_FIELDS | {"waited_ms": "milliseconds since the opening was delivered"},
)
TARGET_SPEAKS = Event(
    number=913,
    name="target-speaks",
    level=Level.INFO,
    meaning="A target that was silent answers again.",
    fields={"silent_ms": "milliseconds of silence"},
)
AGENT_SILENT = Event(
    number=914,
    name="agent-silent",
    level=Level.WARNING,
    meaning="An agent did not confirm a new flow in time; the flow went elsewhere.",
    action="Look at the instance, if this repeats.",
    fields=FLOW_FIELDS | {"target": "instance", "waited_ms": "milliseconds waited"},
)
INSTANCE_LEAVING = Event(
    number=915,
    name="instance-leaving",
    level=Level.INFO,
    meaning="Another process said whether it takes new flows.",
    fields={"peer": "instance", "lasts_ms": "longest absence, 0 for its end"},
)
FLOW_WAITS = Event(
    number=916,
    name="flow-waits",
    level=Level.INFO,
    meaning="A new flow waits at an agent until its target has room.",
    fields=FLOW_FIELDS
    | {
        "busy": "requests at the target",
        "waiting": "openings that wait, this one included",
        "start_by_ms": "milliseconds in which it can still meet its objective",
        "give_up_ms": "milliseconds until its client no longer waits",
    }
    | VIEW_FIELDS,
)
