"""Limit on retries, as a share of first attempts."""

from balsamtide.protocol.verdict import Verdict

__all__ = ["RetryBudget"]

PERCENT = 100
MAX_TOKENS = 20.0
INITIAL_TOKENS = 1.0


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    The bucket starts with one token, so that a single request can be retried.  The
    first gains, up to one token in total, are not added, so that the initial token
    doesn't raise the share.

    Parameters
    ----------
    percent : int
        Retries per hundred first attempts.
    """

    def __init__(self, percent: int) -> None:
        self.percent = percent
        self.tokens = INITIAL_TOKENS if percent else 0.0
        self.to_withhold = self.tokens

    def record_first_attempt(self) -> None:
        """Add the share of a token that a first attempt earns."""
        gained = self.percent / PERCENT
        withheld = min(gained, self.to_withhold)
        self.to_withhold -= withheld
        self.tokens = min(MAX_TOKENS, self.tokens + gained - withheld)

    def take(
        self, verdict: Verdict, *, is_idempotent: bool, now: float, deadline: float
    ) -> bool:
        """Return whether a retry may be made, and if so take its token.

        The verdict must allow the retry, the deadline must lie ahead, and a token must
        be left.

        Parameters
        ----------
        verdict : Verdict
            Verdict on the previous attempt.
        is_idempotent : bool
            Whether running the request twice equals running it once.
        now, deadline : float
            Current time and the request's deadline on the local clock, seconds.
        """
        if not verdict.is_retry_safe(is_idempotent=is_idempotent):
            return False
        if now >= deadline or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
