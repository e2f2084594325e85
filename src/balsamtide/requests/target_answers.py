"""What the head of a target's answer says about the verdict."""

from collections.abc import Sequence

from balsamtide.protocol.headers import VERDICT
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit
from balsamtide.requests.runner import Header

__all__ = ["classify_answer"]

SHED_STATUSES = frozenset((429, 503))


def classify_answer(status: int, headers: Sequence[Header]) -> Exit:
    """Return how a request ends whose answer has this head.

    Only the target's own promise in the header ``balsamtide-verdict`` makes a
    refusal ``NOT_RUN``.  A refusal without it is passed to the caller as the answer,
    and still shrinks the window.
    """
    if status not in SHED_STATUSES:
        return Exit.ANSWERED
    promise = Verdict.NOT_RUN.value.encode()
    if any(name == VERDICT and value == promise for name, value in headers):
        return Exit.TARGET_SHED
    return Exit.TARGET_SHED_WITHOUT_VERDICT
