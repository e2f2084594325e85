"""Events of membership, numbers 300 to 399."""

from balsamtide.telemetry.event import Event, Level

__all__ = [
    "CHAIN_MISMATCH",
    "CUT_OFF",
    "LIST_UPDATED",
    "MARKS_IGNORED",
    "MARK_BELIEVED",
    "MARK_EXPIRED",
    "MARK_MADE",
    "PAUSED",
    "PLATFORM_FAILED",
    "PLATFORM_OLDER",
    "READER_STARTED",
    "READER_STOPPED",
    "REFUTED",
    "STATE_FETCHED",
    "STATE_FETCH_FAILED",
]

MARK_FIELDS = {
    "subject": "instance, or zone:NAME",
    "kind": "leaving or suspect",
}

MARK_MADE = Event(
    number=300,
    name="mark-made",
    level=Level.INFO,
    meaning="This process claims that an instance or zone is leaving or suspect.",
    fields=MARK_FIELDS,
)
MARK_BELIEVED = Event(
    number=301,
    name="mark-believed",
    level=Level.WARNING,
    meaning="Enough observers agree: the subject is given no new work from here.",
    action="Check the subject if it is not being stopped on purpose.",
    fields=MARK_FIELDS,
)
MARK_EXPIRED = Event(
    number=302,
    name="mark-expired",
    level=Level.INFO,
    meaning="The subject may be given new work again.",
    fields=MARK_FIELDS,
)
REFUTED = Event(
    number=303,
    name="mark-refuted",
    level=Level.WARNING,
    meaning="This process was marked by others and told them that it is alive.",
    action="Look for pauses of this process or loss on its network path.",
    fields={"incarnation": "the incarnation taken"},
)
CUT_OFF = Event(
    number=304,
    name="cut-off",
    level=Level.WARNING,
    meaning="Too many partners are silent at once; this process marks nobody.",
    action="Check the network of this instance and of its zone.",
    fields={"silent": "silent partners", "partners": "all partners"},
)
PAUSED = Event(
    number=305,
    name="process-paused",
    level=Level.WARNING,
    meaning="The own timer came late, so all leases on partners start anew.",
    action="Check the processor share of this instance.",
    fields={"late_s": "lateness in seconds"},
)
MARKS_IGNORED = Event(
    number=306,
    name="marks-ignored",
    level=Level.WARNING,
    meaning="So much of a service or of the zones is suspect that marks are ignored.",
    action="Check the network between the zones.",
    fields={"scope": "service name, or zones"},
)
READER_STARTED = Event(
    number=310,
    name="reader-started",
    level=Level.INFO,
    meaning="This process reads the platform for its zone.",
    fields={"zone": "availability zone"},
)
READER_STOPPED = Event(
    number=311,
    name="reader-stopped",
    level=Level.INFO,
    meaning="This process has left reading the platform to others.",
    fields={"zone": "availability zone", "cause": "why"},
)
PLATFORM_FAILED = Event(
    number=312,
    name="platform-failed",
    level=Level.WARNING,
    meaning="A read of the platform failed; the version held stays in force.",
    action="Check the platform's configuration service.",
    fields={"error": "what failed"},
)
PLATFORM_OLDER = Event(
    number=313,
    name="platform-older",
    level=Level.WARNING,
    meaning="The platform offers an older log than the one held; it is not taken.",
    action="Check whether the platform was restored from an older state.",
    fields={"platform": "number it offers", "held": "number held"},
)
LIST_UPDATED = Event(
    number=314,
    name="list-updated",
    level=Level.DEBUG,
    meaning="A list of instances was taken from the platform.",
    fields={"instances": "how many", "leaving": "how many of them are leaving"},
)
CHAIN_MISMATCH = Event(
    number=320,
    name="chain-mismatch",
    level=Level.ERROR,
    meaning="A peer holds a different log under the same number.",
    action="Find out which of the two processes read from a wrong platform.",
    fields={"peer": "instance", "number": "last entry of both"},
)
STATE_FETCHED = Event(
    number=321,
    name="state-fetched",
    level=Level.INFO,
    meaning="This process took its state from a peer.",
    fields={"peer": "instance", "number": "last entry"},
)
STATE_FETCH_FAILED = Event(
    number=322,
    name="state-fetch-failed",
    level=Level.INFO,
    meaning="A peer gave no usable state; the next one is asked.",
    fields={"peer": "instance", "error": "what failed"},
)
