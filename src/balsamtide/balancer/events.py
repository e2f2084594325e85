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
    meaning="The balancer forwards nothing any more.",
)
DATAGRAM_REFUSED = Event(
    number=403,
    name="datagram-refused",
    level=Level.WARNING,
    meaning="A datagram was dropped because it is invalid or not for this service.",
    action="Look at the reason; wrong-service and bad-mac point to an attack or to "
    "keys that differ between processes.",
    fields={"reason": "why it was dropped", "source": "IP address and port"},
)
LISTEN_FAILED = Event(
    number=404,
    name="listen-failed",
    level=Level.ERROR,
    meaning="A service address can't be listened on; it is tried again.",
    action="Give the instance the address, or name a local endpoint in the settings.",
    fields={"reason": "what the system said", "address": "local endpoint"},
)
