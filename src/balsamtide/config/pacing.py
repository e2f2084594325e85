"""When to read the platform: a token bucket and a jittered backoff."""

from random import Random

__all__ = ["Backoff", "ReadBudget"]

FIRST_DELAY_S = 0.5
MAX_DELAY_S = 30.0
MAX_EXPONENT = 32


class ReadBudget:
    """A token bucket for calls to the platform.

    Parameters
    ----------
    per_second : float
        Calls a second in the long run.
    burst : float
        Calls at once after a quiet time, at least 1.
    now : float
        Local monotonic time, seconds.
    """

    def __init__(self, *, per_second: float, burst: float, now: float) -> None:
        if per_second <= 0 or burst < 1:
            raise ValueError("a budget needs a positive rate and a burst of 1")
        self.per_second = per_second
        self.burst = burst
        self.tokens = burst
        self.updated_at = now

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.per_second)
        self.updated_at = max(self.updated_at, now)

    def take(self, now: float) -> bool:
        """Take one call from the budget, and tell whether it was there."""
        self._refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def ready_at(self, now: float) -> float:
        """Return the time at which a call can next be taken."""
        self._refill(now)
        missing = max(0.0, 1 - self.tokens)
        return now + missing / self.per_second


class Backoff:
    """Deadlines between retries, doubled with each failure and jittered.

    Parameters
    ----------
    random : Random
        Source of the jitter.
    first_delay_s, max_delay_s : float
        Longest delay after the first failure, and after any number, in seconds.
    """

    def __init__(
        self,
        *,
        random: Random,
        first_delay_s: float = FIRST_DELAY_S,
        max_delay_s: float = MAX_DELAY_S,
    ) -> None:
        self.random = random
        self.first_delay_s = first_delay_s
        self.max_delay_s = max_delay_s
        self.failures = 0

    def failed(self, now: float) -> float:
        """Count a failure and return the time of the next try."""
        exponent = min(self.failures, MAX_EXPONENT)
        longest = min(self.max_delay_s, self.first_delay_s * 2**exponent)
        self.failures += 1
        return now + longest * self.random.uniform(0.5, 1.0)

    def succeeded(self) -> None:
        """Forget the failures."""
        self.failures = 0
