"""Events of the telemetry itself."""

from balsamtide.telemetry.event import Event, Level

__all__ = ["FIELD_DROPPED", "PEER_SILENT", "REPEATS_SUPPRESSED", "SERIES_LIMIT"]

FIELD_DROPPED = Event(
    number=700,
    name="field-dropped",
    level=Level.WARNING,
    meaning="An event was reported with a field that its catalogue entry lacks.",
    action="Report the event number; the field was left out of the log.",
    fields={"event": "number of the event", "field": "name of the field"},
)

REPEATS_SUPPRESSED = Event(
    number=701,
    name="repeats-suppressed",
    level=Level.INFO,
    meaning="An event occurred more often than it is logged.",
    action="Look for the cause of the event that is named.",
    fields={
        "event": "number of the event",
        "repeats": "occurrences that were not logged, count",
    },
)

SERIES_LIMIT = Event(
    number=702,
    name="series-limit",
    level=Level.WARNING,
    meaning="A metric has reached its limit of series; more are added up as 'other'.",
    action="Find the label that takes too many values and report it.",
    fields={"metric": "name of the metric"},
)

PEER_SILENT = Event(
    number=703,
    name="peer-silent",
    level=Level.INFO,
    meaning="A peer did not answer a query for telemetry by its deadline.",
    action="Check the peer with 'balsamctl status'; the answer lacks its requests.",
    fields={"peer": "instance identifier of the peer"},
)
