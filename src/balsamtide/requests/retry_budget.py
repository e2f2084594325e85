"""A bound on retries, as a share of first tries."""

from balsamtide.protocol.verdict import Verdict

__all__ = ["RetryBudget"]

PERCENT = 100
MAX_TOKENS = 20.0
INITIAL_TOKENS = 1.0


class RetryBudget:
    """A token bucket that first tries fill and retries empty.

    One token is lent at the start, so that a lone request can be retried; the first
    tries pay it back before they add more.

    Parameters
    ----------
    percent : int
        Retries for each hundred first tries.
    """

    def __init__(self, percent: int) -> None:
        self.percent = percent
        self.tokens = INITIAL_TOKENS if percent else 0.0
        self.debt = self.tokens

    def record_first_attempt(self) -> None:
        """Account for a first try."""
        gained = self.percent / PERCENT
        paid = min(gained, self.debt)
        self.debt -= paid
        self.tokens = min(MAX_TOKENS, self.tokens + gained - paid)

    def take(
        self, verdict: Verdict, *, is_idempotent: bool, now: float, deadline: float
    ) -> bool:
        """Spend a token on one retry; False if it must not be made.

        Parameters
        ----------
        verdict : Verdict
            Verdict on the try before.
        is_idempotent : bool
            Whether running the request twice equals running it once.
        now, deadline : float
            Local time and the request's deadline, seconds.
        """
        if not verdict.is_retry_safe(is_idempotent=is_idempotent):
            return False
        if now >= deadline or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
