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
        "source": "peer or platform that delivered the entry",
        "at": "time at which it came into force, local monotonic clock, seconds",
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
        "reason": (
            "malformed, stale-base, too-large, test-failed, patch-conflict, invalid "
            "or rule-broken"
        ),
        "detail": "description of the fault",
        "actor": "actor that submitted the entry",
        "source": "peer or platform that delivered the entry",
        "in_force": "version in force",
    },
)
ENTRY_CONFLICT = Event(
    number=202,
    name="entry-conflict",
    level=Level.ERROR,
    meaning=(
        "A received entry or snapshot differs from the local log under the same number."
    ),
    action="Check whether the platform was restored from an older log.",
    fields={
        "number": "number of the entry",
        "source": "peer or platform that delivered the conflicting entry or snapshot",
    },
)
ENTRY_OVERFLOW = Event(
    number=203,
    name="entry-overflow",
    level=Level.WARNING,
    meaning="The buffer for entries ahead of a gap was full and an entry was dropped.",
    fields={
        "number": "number of the dropped entry",
        "held": "number of the last entry evaluated or covered by a snapshot",
        "source": "peer or platform that delivered the entry",
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
        "source": "peer or platform that delivered the snapshot",
        "at": "time of adoption, local monotonic clock, seconds",
    },
)
SNAPSHOT_REFUSED = Event(
    number=205,
    name="snapshot-refused",
    level=Level.WARNING,
    meaning="A snapshot was refused as invalid, conflicting or lower in version.",
    action=(
        "Check whether the newest entry of the platform is below config_version, as "
        "after a restore of an older log."
    ),
    fields={
        "number": "last entry in the snapshot",
        "why": "conflict, lower-version or invalid",
        "detail": "description of the fault",
        "source": "peer or platform that delivered the snapshot",
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
