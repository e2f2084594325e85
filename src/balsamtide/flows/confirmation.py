"""How long a balancer waits until an agent confirms a new flow."""

__all__ = ["ConfirmationTimer"]

# Two round trips to the farthest zone and the wake-ups of a slow instance.
MIN_TIMEOUT_S = 0.06
# A client's first copy of an opening follows after 0.2 s.
MAX_TIMEOUT_S = 0.18
# Smoothing and margin as for TCP's retransmission timeout (RFC 6298).
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4


class ConfirmationTimer:
    """Estimates the longest usual time of a confirmation.

    A weak instance or a full link delays all confirmations; its agents are not silent.
    """

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = MIN_TIMEOUT_S / DEVIATION_FACTOR

    def record(self, took_s: float) -> None:
        """Take a measured time."""
        error_s = took_s - self.mean_s
        self.deviation_s += DEVIATION_GAIN * (abs(error_s) - self.deviation_s)
        self.mean_s += MEAN_GAIN * error_s

    @property
    def timeout_s(self) -> float:
        """Seconds after which an agent counts as silent."""
        usual_s = self.mean_s + DEVIATION_FACTOR * self.deviation_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, usual_s))
