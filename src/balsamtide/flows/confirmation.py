"""Adaptive timeout of a balancer for an agent's confirmation of a new flow."""

__all__ = ["ConfirmationTimer"]

# Two round trips to the farthest zone plus scheduling delays of a slow instance.  This
# is longer than a search round, since a timeout makes the agent a suspect.
MIN_TIMEOUT_S = 0.06
# A client retransmits its SYN after 0.2 s for the first time.
MAX_TIMEOUT_S = 0.18
# Gains and factor of TCP's retransmission timeout (RFC 6298).
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4


class ConfirmationTimer:
    """Estimates the confirmation timeout from measured delays.

    If the balancer's own instance is slow or its link saturated, all confirmations are
    late; the agents must not count as unresponsive then.
    """

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = MIN_TIMEOUT_S / DEVIATION_FACTOR

    def record(self, took_s: float) -> None:
        """Update the estimate with a measured delay in seconds."""
        error_s = took_s - self.mean_s
        self.deviation_s += DEVIATION_GAIN * (abs(error_s) - self.deviation_s)
        self.mean_s += MEAN_GAIN * error_s

    @property
    def timeout_s(self) -> float:
        """Seconds after which an agent counts as unresponsive."""
        usual_s = self.mean_s + DEVIATION_FACTOR * self.deviation_s
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, usual_s))
