"""Numbered events of the configuration package."""

from balsamtide.telemetry.event import Event, Level

__all__ = [
    "ENTRY_CONFLICT",
    "ENTRY_IN_FORCE",
    "ENTRY_OVERFLOW",
    "ENTRY_REJECTED",
    "EVENTS",
    "SNAPSHOT_ADOPTED",
    "SNAPSHOT_REFUSED",
]

ENTRY_IN_FORCE = Event(
    number=200,
    name="entry-in-force",
    level=Level.INFO,
    meaning="An entry of the log came in force in this process.",
    fields={
        "number": "number of the entry, which is the version from now on",
        "actor": "who submitted it",
        "source": "who delivered it here",
        "at": "local monotonic time, seconds",
    },
)
ENTRY_REJECTED = Event(
    number=201,
    name="entry-rejected",
    level=Level.WARNING,
    meaning="An entry of the log was rejected and changed nothing.",
    action="Correct the patch, write it against the version in force, submit it again.",
    fields={
        "number": "number of the entry",
        "reason": "class of the reason",
        "detail": "what was found",
        "actor": "who submitted it",
        "source": "who delivered it here",
        "in_force": "version in force",
    },
)
ENTRY_CONFLICT = Event(
    number=202,
    name="entry-conflict",
    level=Level.ERROR,
    meaning="Another entry than the one held was delivered under the same number.",
    action="Find out whether the platform was restored from an older log.",
    fields={
        "number": "number of the entry",
        "source": "who delivered the other one",
    },
)
ENTRY_OVERFLOW = Event(
    number=203,
    name="entry-overflow",
    level=Level.WARNING,
    meaning="Entries that came ahead of a gap exceeded the buffer and were dropped.",
    fields={
        "number": "number of the dropped entry",
        "held": "last entry held",
        "source": "who delivered it",
    },
)
SNAPSHOT_ADOPTED = Event(
    number=204,
    name="snapshot-adopted",
    level=Level.INFO,
    meaning="A snapshot moved this process forward in the log.",
    fields={
        "number": "last entry in the snapshot",
        "in_force": "version in force from now on",
        "source": "who delivered it",
        "at": "local monotonic time, seconds",
    },
)
SNAPSHOT_REFUSED = Event(
    number=205,
    name="snapshot-refused",
    level=Level.WARNING,
    meaning="A snapshot was refused because it is invalid or would lower the version.",
    action="Compare the platform's log with the version that the processes hold.",
    fields={
        "number": "last entry in the snapshot",
        "why": "class of the reason",
        "detail": "what was found",
        "source": "who delivered it",
    },
)

EVENTS = (
    ENTRY_IN_FORCE,
    ENTRY_REJECTED,
    ENTRY_CONFLICT,
    ENTRY_OVERFLOW,
    SNAPSHOT_ADOPTED,
    SNAPSHOT_REFUSED,
)
