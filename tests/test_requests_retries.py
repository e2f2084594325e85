"""Tests of the retry budget."""

from pytest import mark

from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.retry_budget import RetryBudget


@mark.parametrize(
    ("verdict", "is_idempotent", "now", "expected"),
    [
        (Verdict.NOT_RUN, False, 0.0, True),
        (Verdict.NOT_RUN, True, 0.0, True),
        (Verdict.NOT_RUN, True, 1.0, False),
        (Verdict.MAY_HAVE_RUN, True, 0.0, True),
        (Verdict.MAY_HAVE_RUN, False, 0.0, False),
        (Verdict.RAN, True, 0.0, False),
        (Verdict.RAN, False, 0.0, False),
    ],
)
def test_only_safe_requests_are_retried(verdict, is_idempotent, now, expected):
    """A retry needs a verdict that allows it and time before the deadline."""
    budget = RetryBudget(10)
    assert (
        budget.take(verdict, is_idempotent=is_idempotent, now=now, deadline=1.0)
        is expected
    )


@mark.parametrize("percent", [0, 10, 50])
def test_retries_are_a_share_of_first_attempts(percent):
    """Retries stay within their share when every attempt is refused."""
    budget = RetryBudget(percent)
    retries = 0
    for _ in range(1000):
        budget.record_first_attempt()
        for _ in range(5):
            retries += budget.take(
                Verdict.NOT_RUN, is_idempotent=True, now=0.0, deadline=1.0
            )
    # In floating point 1000 gains of 0.1 add up to a little less than 100 tokens.
    assert percent * 10 - 1 <= retries <= percent * 10
