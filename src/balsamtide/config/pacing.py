"""Pacing of calls to the platform: a token bucket and a jittered backoff."""

from random import Random

__all__ = ["Backoff", "ReadBudget"]

FIRST_DELAY_S = 0.5
MAX_DELAY_S = 30.0
# Keeps 2**exponent within the range of a float.
MAX_EXPONENT = 32


class ReadBudget:
    """Token bucket that limits the rate of calls to the platform.

    Parameters
    ----------
    per_second : float
        Sustained rate, in calls per second.
    burst : float
        Capacity of the bucket, in calls; at least 1.
    now : float
        Local monotonic time, seconds.
    """

    def __init__(self, *, per_second: float, burst: float, now: float) -> None:
        if per_second <= 0 or burst < 1:
            raise ValueError(
                f"per_second={per_second} and burst={burst}: "
                "a positive rate and a burst of at least 1 are required"
            )
        self.per_second = per_second
        self.burst = burst
        self.tokens = burst
        self.updated_at = now

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.per_second)
        self.updated_at = max(self.updated_at, now)

    def take(self, now: float) -> bool:
        """Take a token for one call and return whether there was one."""
        self._refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def ready_at(self, now: float) -> float:
        """Return the time from which `take` succeeds."""
        self._refill(now)
        missing = max(0.0, 1 - self.tokens)
        return now + missing / self.per_second


class Backoff:
    """Exponential backoff with jitter.

    Each failure doubles the delay up to a limit; jitter shortens it by up to a half.

    Parameters
    ----------
    random : Random
        Source of the jitter.
    first_delay_s : float
        Upper bound of the delay after the first failure, in seconds.
    max_delay_s : float
        Upper bound of the delay after any failure, in seconds.
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

    def record_failure(self, now: float) -> float:
        """Count a failure and return the time of the next attempt."""
        exponent = min(self.failures, MAX_EXPONENT)
        upper_bound_s = min(self.max_delay_s, self.first_delay_s * 2**exponent)
        self.failures += 1
        return now + upper_bound_s * self.random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Reset the count of failures after a success."""
        self.failures = 0
