"""Errors of the caller library; each says whether the request may have run."""

from balsamtide.protocol.verdict import Verdict

__all__ = ["CallerError", "ConnectError", "DeadlineError", "StreamBrokenError"]


class CallerError(Exception):
    """A request that got no whole answer.

    Parameters
    ----------
    verdict : Verdict
        Whether it ran.
    reason : str
        What happened.
    """

    def __init__(self, verdict: Verdict, reason: str) -> None:
        super().__init__(f"{reason} ({verdict.value})")
        self.verdict = verdict
        self.reason = reason


class ConnectError(CallerError):
    """No flow could be opened."""


class DeadlineError(CallerError):
    """The deadline passed first."""


class StreamBrokenError(CallerError):
    """The flow or the stream ended before the answer was whole."""
