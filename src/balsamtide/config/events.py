"""Events of the configuration package."""

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
    meaning="An entry of the log came into force in this process.",
    fields={
        "number": "number of the entry, now the version in force",
        "actor": "actor that submitted the entry",
        "source": "sender of the entry",
        "at": "local monotonic time, seconds",
    },
)
ENTRY_REJECTED = Event(
    number=201,
    name="entry-rejected",
    level=Level.WARNING,
    meaning="An entry of the log was rejected; the configuration is unchanged.",
    action="Correct the patch, base it on the version in force and submit it again.",
    fields={
        "number": "number of the entry",
        "reason": "reason code",
        "detail": "description of the fault",
        "actor": "actor that submitted the entry",
        "source": "sender of the entry",
        "in_force": "version in force",
    },
)
ENTRY_CONFLICT = Event(
    number=202,
    name="entry-conflict",
    level=Level.ERROR,
    meaning="A received entry or snapshot differs from the local log at its number.",
    action="Check whether the platform was restored from an older log.",
    fields={
        "number": "number of the entry",
        "source": "sender of the conflicting entry or snapshot",
    },
)
ENTRY_OVERFLOW = Event(
    number=203,
    name="entry-overflow",
    level=Level.WARNING,
    meaning="The buffer for entries ahead of a gap was full and an entry was dropped.",
    fields={
        "number": "number of the dropped entry",
        "held": "last entry held",
        "source": "sender of the entry",
    },
)
SNAPSHOT_ADOPTED = Event(
    number=204,
    name="snapshot-adopted",
    level=Level.INFO,
    meaning="A snapshot ahead of the local log was adopted.",
    fields={
        "number": "last entry in the snapshot",
        "in_force": "version in force after the snapshot",
        "source": "sender of the snapshot",
        "at": "local monotonic time, seconds",
    },
)
SNAPSHOT_REFUSED = Event(
    number=205,
    name="snapshot-refused",
    level=Level.WARNING,
    meaning="A snapshot was refused as invalid, conflicting or lower in version.",
    action="Compare the log of the platform with the version of the processes.",
    fields={
        "number": "last entry in the snapshot",
        "why": "reason code",
        "detail": "description of the fault",
        "source": "sender of the snapshot",
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
