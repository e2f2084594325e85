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
    meaning="The subject is believed to be leaving or suspect and gets no new work "
    "from this process, unless too many are marked.",
    action="Check the subject unless it is being stopped on purpose.",
    fields=MARK_FIELDS,
)
MARK_EXPIRED = Event(
    number=302,
    name="mark-expired",
    level=Level.INFO,
    meaning="The mark expired or was refuted; the subject may get new work again.",
    fields=MARK_FIELDS,
)
REFUTED = Event(
    number=303,
    name="mark-refuted",
    level=Level.WARNING,
    meaning="This process was marked by others and refuted the mark.",
    action="Check for pauses of this process or packet loss on its network path.",
    fields={"incarnation": "new incarnation of this process"},
)
CUT_OFF = Event(
    number=304,
    name="cut-off",
    level=Level.WARNING,
    meaning="Too many partners are silent at once; this process marks none of them.",
    action="Check the network of this instance and of its zone.",
    fields={"silent": "number of silent partners", "partners": "number of partners"},
)
PAUSED = Event(
    number=305,
    name="process-paused",
    level=Level.WARNING,
    meaning="The timer of this process was late; the leases of all partners restart.",
    action="Check the CPU share of this instance.",
    fields={"late_s": "delay of the timer in seconds"},
)
MARKS_IGNORED = Event(
    number=306,
    name="marks-ignored",
    level=Level.WARNING,
    meaning="Too large a share of a service or of the zones is marked; marks on it "
    "are ignored.",
    action="Check the network between the zones.",
    fields={"scope": "service name, or zones"},
)
READER_STARTED = Event(
    number=310,
    name="reader-started",
    level=Level.INFO,
    meaning="This process became a reader of the platform for its zone.",
    fields={"zone": "availability zone"},
)
READER_STOPPED = Event(
    number=311,
    name="reader-stopped",
    level=Level.INFO,
    meaning="This process is no longer a reader of the platform.",
    fields={
        "zone": "availability zone",
        "cause": "always others read: other readers of the zone are known",
    },
)
PLATFORM_FAILED = Event(
    number=312,
    name="platform-failed",
    level=Level.WARNING,
    meaning="A read of the platform failed; the configuration in force stays.",
    action="Check the platform's configuration service.",
    fields={"error": "kind of read and error"},
)
PLATFORM_OLDER = Event(
    number=313,
    name="platform-older",
    level=Level.WARNING,
    meaning="The platform offers an older log than the one held, which is kept.",
    action="Check whether the platform was restored from an older state.",
    fields={"platform": "newest entry of the platform", "held": "last entry held"},
)
LIST_UPDATED = Event(
    number=314,
    name="list-updated",
    level=Level.DEBUG,
    meaning="The instance list was read from the platform.",
    fields={"instances": "number of instances", "leaving": "number of leaving ones"},
)
CHAIN_MISMATCH = Event(
    number=320,
    name="chain-mismatch",
    level=Level.ERROR,
    meaning="A peer holds a different log with the same last entry number.",
    action="Find out which of the two processes reads the wrong platform.",
    fields={"peer": "instance", "number": "last entry of both logs"},
)
STATE_FETCHED = Event(
    number=321,
    name="state-fetched",
    level=Level.INFO,
    meaning="This process fetched its state from a peer.",
    fields={"peer": "instance", "number": "last entry of the peer"},
)
STATE_FETCH_FAILED = Event(
    number=322,
    name="state-fetch-failed",
    level=Level.INFO,
    meaning="A fetch of state from a peer failed; another peer may be asked.",
    fields={"peer": "instance", "error": "error of the fetch"},
)
