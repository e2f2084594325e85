"""Adaptive concurrency limit of the target."""

__all__ = ["ConcurrencyLimit"]

SHRINK_FACTOR = 0.7
HOLD_OFF_S = 0.1
INITIAL_PAUSE_S = 0.02
MAX_PAUSE_S = 1.0


class ConcurrencyLimit:
    """Concurrency window with slow start and multiplicative decrease.

    The window starts at one.  A cold target's window grows by one per response in time,
    after the first decrease by one per window of responses.  Shed and late responses
    shrink it; it then stays unchanged for ``HOLD_OFF_S``.  A target that sheds at a
    window of one is paused, with exponential backoff.

    Parameters
    ----------
    slots : int
        Maximum window.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.window = 1.0
        self.is_cold = True
        self.hold_off_until = 0.0
        self.paused_until = 0.0
        self.pause_s = INITIAL_PAUSE_S

    def configure(self, slots: int) -> None:
        """Set the maximum window."""
        self.slots = slots
        self.window = min(self.window, float(slots))

    def allowed(self, now: float) -> int:
        """Return how many requests may run concurrently at ``now``."""
        if now < self.paused_until:
            return 0
        return max(1, int(self.window))

    def on_response(self, now: float) -> None:
        """Grow the window after a response in time."""
        self.pause_s = INITIAL_PAUSE_S
        if now < self.hold_off_until:
            return
        self.window = min(
            float(self.slots), self.window + (1.0 if self.is_cold else 1 / self.window)
        )
        if self.window >= self.slots:
            self.is_cold = False

    def on_late_response(self, now: float) -> bool:
        """Shrink the window after a late response; return whether it shrank."""
        if now < self.hold_off_until or self.window <= 1.0:
            return False
        self._shrink(now)
        return True

    def on_shed(self, now: float) -> bool:
        """Shrink the window or pause after a shed; return whether it shrank."""
        if now < self.hold_off_until:
            return False
        if self.window > 1.0:
            self._shrink(now)
            return True
        self.paused_until = now + self.pause_s
        self.pause_s = min(MAX_PAUSE_S, 2 * self.pause_s)
        return False

    def _shrink(self, now: float) -> None:
        self.is_cold = False
        self.window = max(1.0, self.window * SHRINK_FACTOR)
        self.hold_off_until = now + HOLD_OFF_S
