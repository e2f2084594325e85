"""Detection of pauses of the own process."""

__all__ = ["PauseDetector"]

BACKLOG_DRAIN_S = 0.25


class PauseDetector:
    """Tells how old a message can be that is handled now.

    After a pause the socket holds datagrams that came at any time during it.  The
    backlog is drained for a while after waking, so the answer holds for that while.

    Parameters
    ----------
    threshold_s : float
        Gap between two calls that counts as a pause.
    now : float
        Current time, seconds.
    """

    def __init__(self, threshold_s: float, now: float) -> None:
        self.threshold_s = threshold_s
        self.last_call = now
        self.pause_s = 0.0
        self.backlog_deadline = now

    def max_message_age(self, now: float) -> float:
        """Return the greatest age of a message handled now, in seconds."""
        gap = now - self.last_call
        self.last_call = now
        if gap > self.threshold_s:
            self.pause_s = gap
            self.backlog_deadline = now + BACKLOG_DRAIN_S
        return self.pause_s if now < self.backlog_deadline else 0.0
