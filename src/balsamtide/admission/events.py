"""Events of admission."""

from balsamtide.telemetry.event import Event, Level

__all__ = ["LIMIT_SHRANK", "TARGET_EJECTED", "TARGET_READMITTED"]

TARGET_EJECTED = Event(
    number=601,
    name="target-ejected",
    level=Level.WARNING,
    meaning="The agent stopped giving work to its target, which fails requests.",
    action="Look at the target's own log; it is tried again by itself.",
    fields={"target": "target number", "until_s": "seconds until the next trial"},
)
TARGET_READMITTED = Event(
    number=602,
    name="target-readmitted",
    level=Level.INFO,
    meaning="The target answered a trial request and gets work again.",
    fields={"target": "target number"},
)
LIMIT_SHRANK = Event(
    number=603,
    name="limit-shrank",
    level=Level.INFO,
    meaning="The target shed requests or answered late, so fewer run at a time.",
    action="Compare the target's slots in the configuration with what it can run.",
    fields={"target": "target number", "window": "requests at a time"},
)
