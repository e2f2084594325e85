"""Detection of pauses of the local process."""

__all__ = ["PauseDetector"]

# Time allowed for draining the socket buffer after a pause.
BACKLOG_DRAIN_S = 0.25


class PauseDetector:
    """Bounds the age of the messages that are handled now.

    After a pause the socket buffer holds datagrams that arrived at any time during it.
    Draining that backlog takes time, so the bound applies until it is drained.

    Parameters
    ----------
    threshold_s : float
        Gap between two calls that counts as a pause, seconds.
    now : float
        Current time, seconds.
    """

    def __init__(self, threshold_s: float, now: float) -> None:
        self.threshold_s = threshold_s
        self.last_call = now
        self.pause_s = 0.0
        self.backlog_deadline = now

    def record_call(self, now: float) -> float:
        """Record a call and return the maximum age of a message handled in it.

        Ticks are recorded too, although they need no age: a long gap between two calls
        indicates a pause.

        Parameters
        ----------
        now : float
            Current time, seconds.

        Returns
        -------
        float
            Maximum age, seconds; 0 unless the process paused.
        """
        gap = now - self.last_call
        self.last_call = now
        if gap > self.threshold_s:
            self.pause_s = gap
            self.backlog_deadline = now + BACKLOG_DRAIN_S
        return self.pause_s if now < self.backlog_deadline else 0.0
