"""The recent share of a target's slot time that is in use."""

from math import exp

__all__ = ["SlotUsage"]

TIME_CONSTANT_S = 1.0


class SlotUsage:
    """An exponentially weighted average over time of held slots.

    Parameters
    ----------
    now : float
        Local time, seconds.
    """

    def __init__(self, now: float) -> None:
        self.share = 0.0
        self.held = 0.0
        self.updated_at = now

    def update(self, held_share: float, now: float) -> None:
        """Take the share of slots held from now on."""
        kept = exp(-max(0.0, now - self.updated_at) / TIME_CONSTANT_S)
        self.share = kept * self.share + (1 - kept) * self.held
        self.held = held_share
        self.updated_at = now
