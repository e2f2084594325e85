"""Recent slot usage of a target."""

from math import exp

__all__ = ["SlotUsage"]

TIME_CONSTANT_S = 1.0


class SlotUsage:
    """Exponentially weighted moving average of the share of held slots.

    Parameters
    ----------
    now : float
        Local time, seconds.
    """

    def __init__(self, now: float) -> None:
        self.share = 0.0
        self.held_share = 0.0
        self.updated_at = now

    def update(self, held_share: float, now: float) -> None:
        """Set the share of slots held from ``now`` on."""
        decay = exp(-max(0.0, now - self.updated_at) / TIME_CONSTANT_S)
        self.share = decay * self.share + (1 - decay) * self.held_share
        self.held_share = held_share
        self.updated_at = now
