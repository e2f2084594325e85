"""Client library: requests with deadlines, verdicts and safe retries."""

from balsamtide.caller.answer import Answer, StreamedAnswer
from balsamtide.caller.caller import Caller, open_caller
from balsamtide.caller.errors import (
    CallerError,
    ConnectError,
    DeadlineError,
    StreamBrokenError,
)

__all__ = [
    "Answer",
    "Caller",
    "CallerError",
    "ConnectError",
    "DeadlineError",
    "StreamBrokenError",
    "StreamedAnswer",
    "open_caller",
]
