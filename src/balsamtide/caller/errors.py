"""Errors of the client library; each states whether the request may have run."""

from balsamtide.protocol.verdict import Verdict

__all__ = ["CallerError", "ConnectError", "DeadlineError", "StreamBrokenError"]


class CallerError(Exception):
    """An attempt failed without a complete answer.

    ``Caller.stream`` raises it; ``Caller.request`` raises ``AttemptsFailed`` with the
    verdict and reason of each attempt.

    Parameters
    ----------
    verdict : Verdict
        Whether the request may have run.
    reason : str
        Cause, as a short text.
    """

    def __init__(self, verdict: Verdict, reason: str) -> None:
        super().__init__(f"{reason} ({verdict.value})")
        self.verdict = verdict
        self.reason = reason


class ConnectError(CallerError):
    """No flow could be opened."""


class DeadlineError(CallerError):
    """The deadline passed before the answer was complete."""


class StreamBrokenError(CallerError):
    """The flow or the stream ended before the answer was complete."""
