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
    meaning="The daemon has started.",
    fields={"instance": "instance identifier", "role": "balancer or agent"},
)
PROCESS_STOPPED = Event(
    number=102,
    name="process-stopped",
    level=Level.INFO,
    meaning="The daemon has completed its planned stop.",
    fields={"instance": "instance identifier"},
)
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
    fields={"reason": "fault class", "source": "IP address and port"},
)
