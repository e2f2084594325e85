"""Events of the agent."""

from balsamtide.telemetry.event import Event, Level

__all__ = [
    "AGENT_STARTED",
    "AGENT_STOPPED",
    "DRAIN_STARTED",
    "FLOW_FAULTED",
    "FLOW_REFUSED",
    "REQUEST_FAULTED",
    "TARGET_FAILED",
]

AGENT_STARTED = Event(
    number=501,
    name="agent-started",
    level=Level.INFO,
    meaning="The agent takes flows for its target.",
    fields={"service": "name of the service", "target": "name of the target"},
)
AGENT_STOPPED = Event(
    number=502,
    name="agent-stopped",
    level=Level.INFO,
    meaning="The agent has ended all its flows.",
    fields={"flows_cut": "flows that were open at the drain deadline"},
)
DRAIN_STARTED = Event(
    number=503,
    name="drain-started",
    level=Level.INFO,
    meaning="The agent takes no new flows and finishes the open ones.",
    fields={"flows": "open flows", "cause": "why it drains"},
)
FLOW_REFUSED = Event(
    number=504,
    name="flow-refused",
    level=Level.WARNING,
    meaning="A datagram was dropped by the agent.",
    action="Look at the reason; wrong-service points to keys or settings that "
    "differ between processes.",
    fields={"reason": "why it was dropped", "source": "IP address and port"},
)
TARGET_FAILED = Event(
    number=505,
    name="target-failed",
    level=Level.WARNING,
    meaning="A request could not be run on the target or its answer broke off.",
    action="Look at the target.",
    fields={"reason": "what failed", "verdict": "verdict of the request"},
)
REQUEST_FAULTED = Event(
    number=506,
    name="request-faulted",
    level=Level.ERROR,
    meaning="A fault of balsamtide ended a request; other requests go on.",
    action="Report it with the error and the lines before it.",
    fields={"request_id": "the request", "error": "what was raised"},
)
FLOW_FAULTED = Event(
    number=507,
    name="flow-faulted",
    level=Level.ERROR,
    meaning="A fault in the handling of QUIC ended a flow; other flows go on.",
    action="Report it with the error and the lines before it.",
    fields={"error": "what was raised"},
)
