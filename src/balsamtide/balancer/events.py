"""Events of the balancer."""

from balsamtide.telemetry.event import Event, Level

__all__ = [
    "BALANCER_STARTED",
    "BALANCER_STOPPED",
    "DATAGRAM_REFUSED",
    "LISTEN_FAILED",
]

BALANCER_STARTED = Event(
    number=401,
    name="balancer-started",
    level=Level.INFO,
    meaning="The balancer forwards datagrams.",
    fields={"addresses": "number of local endpoints", "inner": "inner endpoint"},
)
BALANCER_STOPPED = Event(
    number=402,
    name="balancer-stopped",
    level=Level.INFO,
    meaning="The balancer has stopped forwarding datagrams.",
)
DATAGRAM_REFUSED = Event(
    number=403,
    name="datagram-refused",
    level=Level.WARNING,
    meaning="A datagram was dropped because it is invalid or for another service, or "
    "because no target is eligible.",
    action="Check the reason; wrong-service and unknown-id indicate an attack or keys "
    "that differ between processes.",
    fields={"reason": "why it was dropped", "source": "IP address and port"},
)
LISTEN_FAILED = Event(
    number=404,
    name="listen-failed",
    level=Level.ERROR,
    meaning="Listening on a service address failed; it is retried.",
    action="Assign the address to the instance, or configure a local endpoint.",
    fields={"reason": "error of the operating system", "address": "local endpoint"},
)
