"""Share of new flows that leave their zone, by the busy shares of the zones."""

__all__ = ["ZoneShare", "busy_share"]

# The zone's targets are busy for most of the time, so that the excess of a wave queues.
CROWDED_BUSY_SHARE = 0.65
# Difference between the busy shares of this zone and of the others at which flows start
# to leave.  Means of a few targets differ by less without a wave of demand.
LEAVE_DIFFERENCE = 0.1
# Difference at which as many flows have left as should.
EVEN_DIFFERENCE = 0.03
# Difference at which flows start to return: this zone has become less busy than the
# others.  While a wave lasts, the flows that left keep the difference close to 0.
RETURN_DIFFERENCE = -0.05
# Change of the share per second and difference.  Flows that leave change the difference
# by up to 0.7 of the share, which reports show 1 to 2 s later; the share must not swing
# meanwhile.
GAIN_PER_S = 0.5
# Decrease of the share per second, of which one return takes several seconds.
RETURN_PER_S = 0.2
# Longest time that one update accounts for, for example after a suspension.
MAX_STEP_S = 0.5


def busy_share(load: float) -> float:
    """Return the share of time that targets with a mean load per slot are busy."""
    return load / (1.0 + load)


class ZoneShare:
    """Controls the share of the new flows of a zone that leave it for one service.

    The share rises while the zone is crowded and the other zones have more free
    capacity, and falls once this zone is less busy than the others.  In between it
    stays the same, so that the flows that left do not return because they left.
    """

    def __init__(self) -> None:
        self.share = 0.0
        self.is_leaving = False
        self.updated_at: float | None = None

    def update(self, local_load: float, other_load: float, now: float) -> bool:
        """Adjust the share to the mean loads per slot of this zone and the others.

        Returns
        -------
        bool
            Whether the share has begun to rise or to fall.
        """
        was_leaving = self.is_leaving
        elapsed_s = now - (now if self.updated_at is None else self.updated_at)
        elapsed_s = min(elapsed_s, MAX_STEP_S)
        self.updated_at = now
        local_busy = busy_share(local_load)
        difference = local_busy - busy_share(other_load)
        if difference > LEAVE_DIFFERENCE and local_busy > CROWDED_BUSY_SHARE:
            self.is_leaving = True
        elif difference < RETURN_DIFFERENCE:
            self.is_leaving = False
        if self.is_leaving:
            gain = GAIN_PER_S * max(0.0, difference - EVEN_DIFFERENCE)
            self.share = min(1.0, self.share + gain * elapsed_s)
        else:
            self.share = max(0.0, self.share - RETURN_PER_S * elapsed_s)
        return self.is_leaving != was_leaving
