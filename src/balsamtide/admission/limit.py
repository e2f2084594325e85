"""How many requests may run on the target at a time."""

__all__ = ["ConcurrencyLimit"]

SHRINK_FACTOR = 0.7
HOLD_S = 0.1
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 1.0


class ConcurrencyLimit:
    """A window that grows from one, shrinks on shed and late answers, then recovers.

    A cold target's window grows by one for each answer in time; after the first
    shrink it grows by one for each window of answers.  Hysteresis: after a shrink
    the window neither shrinks nor grows for ``HOLD_S``.  A target that sheds at a
    window of one is paused, twice as long each time.

    Parameters
    ----------
    slots : int
        Upper bound of the window.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.window = 1.0
        self.is_cold = True
        self.hold_until = 0.0
        self.paused_until = 0.0
        self.pause_s = FIRST_PAUSE_S

    def configure(self, slots: int) -> None:
        """Take a new upper bound."""
        self.slots = slots
        self.window = min(self.window, float(slots))

    def allowed(self, now: float) -> int:
        """Return how many requests may run at ``now``."""
        if now < self.paused_until:
            return 0
        return max(1, int(self.window))

    def on_answer(self, now: float) -> None:
        """Take an answer in time."""
        self.pause_s = FIRST_PAUSE_S
        if now < self.hold_until:
            return
        self.window = min(
            float(self.slots), self.window + (1.0 if self.is_cold else 1 / self.window)
        )
        if self.window >= self.slots:
            self.is_cold = False

    def on_late(self, now: float) -> bool:
        """Take a late answer; tell whether the window shrank."""
        if now < self.hold_until or self.window <= 1.0:
            return False
        self._shrink(now)
        return True

    def on_shed(self, now: float) -> bool:
        """Take a refusal by the target; tell whether the window shrank."""
        if now < self.hold_until:
            return False
        if self.window > 1.0:
            self._shrink(now)
            return True
        self.paused_until = now + self.pause_s
        self.pause_s = min(LONGEST_PAUSE_S, 2 * self.pause_s)
        return False

    def _shrink(self, now: float) -> None:
        self.is_cold = False
        self.window = max(1.0, self.window * SHRINK_FACTOR)
        self.hold_until = now + HOLD_S
