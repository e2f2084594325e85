"""Classification of a target's answer by its status and headers."""

from collections.abc import Sequence

from balsamtide.protocol.headers import VERDICT
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit
from balsamtide.requests.runner import Header

__all__ = ["classify_answer"]

SHED_STATUSES = frozenset((429, 503))


def classify_answer(status: int, headers: Sequence[Header]) -> Exit:
    """Return the exit of a request from the status and headers of its answer.

    A refusal by the target is ``NOT_RUN`` only if the target says so in the header
    ``balsamtide-verdict``.  A refusal without the header is passed to the caller as the
    answer; admission still lowers its limit on concurrent requests.
    """
    if status not in SHED_STATUSES:
        return Exit.ANSWERED
    not_run = Verdict.NOT_RUN.value.encode()
    if any(name == VERDICT and value == not_run for name, value in headers):
        return Exit.TARGET_SHED
    return Exit.TARGET_SHED_WITHOUT_VERDICT
