"""Detection of pauses of the own process."""

__all__ = ["Lateness"]

BACKLOG_S = 0.25


class Lateness:
    """Tells how old a message can be that is handled now.

    After a pause the socket holds datagrams that came at any time during it.  The
    backlog is drained for a while after waking, so the answer holds for that while.

    Parameters
    ----------
    limit_s : float
        Gap between two calls that counts as a pause.
    now : float
        Current time, seconds.
    """

    def __init__(self, limit_s: float, now: float) -> None:
        self.limit_s = limit_s
        self.last_call = now
        self.pause_s = 0.0
        self.backlog_deadline = now

    def staleness(self, now: float) -> float:
        """Return the greatest age of a message handled now, in seconds."""
        gap = now - self.last_call
        self.last_call = now
        if gap > self.limit_s:
            self.pause_s = gap
            self.backlog_deadline = now + BACKLOG_S
        return self.pause_s if now < self.backlog_deadline else 0.0
