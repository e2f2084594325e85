"""Events that all roles report."""

from balsamtide.telemetry.event import Event, Level

__all__ = [
    "INNER_DATAGRAM_REFUSED",
    "PROCESS_STARTED",
    "PROCESS_STOPPED",
    "SETTINGS_REFUSED",
]

PROCESS_STARTED = Event(
    number=101,
    name="process-started",
    level=Level.INFO,
    meaning="The daemon starts its role.",
    fields={"instance": "instance identifier", "role": "balancer or agent"},
)
PROCESS_STOPPED = Event(
    number=102,
    name="process-stopped",
    level=Level.INFO,
    meaning="The daemon has stopped, as planned or after an error.",
    fields={"instance": "instance identifier"},
)
# Not reported: the daemon prints the problems to stderr.  The number stays assigned.
SETTINGS_REFUSED = Event(
    number=103,
    name="settings-refused",
    level=Level.ERROR,
    meaning="The settings are not valid; the daemon did not start.",
    action="Correct each listed problem.",
    fields={"problem": "file, section, key, value found and values allowed"},
)
INNER_DATAGRAM_REFUSED = Event(
    number=104,
    name="inner-datagram-refused",
    level=Level.WARNING,
    meaning="An invalid inner datagram was dropped.",
    action="bad-mac and unknown-key: compare the key files of both processes; "
    "unknown-version: upgrade the older process.",
    fields={
        "reason": "kind of decoding error, such as truncated or bad-mac",
        "source": "IP address and port",
    },
)
