"""Events of admission control."""

from balsamtide.telemetry.event import Event, Level

__all__ = ["LIMIT_SHRANK", "TARGET_EJECTED", "TARGET_READMITTED"]

TARGET_EJECTED = Event(
    number=601,
    name="target-ejected",
    level=Level.WARNING,
    meaning="The agent ejected its target, which fails requests.",
    action="Check the log of the target; trial requests are sent automatically.",
    fields={"target": "target number", "until_s": "seconds until the next trial"},
)
TARGET_READMITTED = Event(
    number=602,
    name="target-readmitted",
    level=Level.INFO,
    meaning="The target answered a trial request and receives requests again.",
    fields={"target": "target number"},
)
LIMIT_SHRANK = Event(
    number=603,
    name="limit-shrank",
    level=Level.INFO,
    meaning="The concurrency limit shrank after the target shed or answered late.",
    action="Compare the target's configured slots with its actual capacity.",
    fields={"target": "target number", "window": "concurrent requests allowed"},
)
