"""Events that the agent emits."""

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
    meaning="The agent started for its configured target.",
    fields={"service": "name of the service", "target": "name of the target"},
)
AGENT_STOPPED = Event(
    number=502,
    name="agent-stopped",
    level=Level.INFO,
    meaning="The agent has closed all its flows.",
    fields={"flows_cut": "flows still open when the drain ended"},
)
DRAIN_STARTED = Event(
    number=503,
    name="drain-started",
    level=Level.INFO,
    meaning="The agent accepts no new flows and completes the open ones.",
    fields={"flows": "number of open flows", "cause": "always a planned stop"},
)
FLOW_REFUSED = Event(
    number=504,
    name="flow-refused",
    level=Level.WARNING,
    meaning="The agent dropped a datagram, or answered it with a stateless reset.",
    action="Check the reason: full is the limit of flows or a drain, handshakes the "
    "limit of handshakes, unknown-flow and reset a flow not open here; "
    "wrong-service indicates keys or settings that differ between processes.",
    fields={
        "reason": "reason for the drop",
        "source": "caller's address and port",
    },
)
TARGET_FAILED = Event(
    number=505,
    name="target-failed",
    level=Level.WARNING,
    meaning="A request could not be run on the target, or its answer was truncated.",
    action="Check the target.",
    fields={"reason": "failure reason", "verdict": "verdict of the request"},
)
REQUEST_FAULTED = Event(
    number=506,
    name="request-faulted",
    level=Level.ERROR,
    meaning="An unexpected exception aborted a request; other requests continue.",
    action="Report a bug with the error and the preceding log lines.",
    fields={"request_id": "identifier of the request", "error": "exception"},
)
FLOW_FAULTED = Event(
    number=507,
    name="flow-faulted",
    level=Level.ERROR,
    meaning="An unexpected exception in QUIC handling ended a flow; others continue.",
    action="Report a bug with the error and the preceding log lines.",
    fields={"error": "exception"},
)
