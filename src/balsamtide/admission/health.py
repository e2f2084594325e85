"""Outlier ejection of the local target."""

from collections import deque

from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit
from balsamtide.requests.model import Outcome

__all__ = ["TargetHealth", "is_failure"]

NON_FAILURES = frozenset((Exit.TARGET_SHED.reason, Exit.CANCELLED_RUNNING.reason))
MAX_SAMPLES = 20
MIN_SAMPLES = 5
FAILURE_SHARE = 0.5
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0


def is_failure(outcome: Outcome) -> bool:
    """Return whether an outcome counts as a failure of the target.

    Load shedding is not a failure; it shrinks the concurrency window instead.
    """
    if outcome.reason in NON_FAILURES:
        return False
    return outcome.verdict is not Verdict.RAN or outcome.status >= 500


class TargetHealth:
    """Failure statistics and ejection state of the target.

    After each ejection one trial request is allowed; if it fails, the target is
    ejected again for twice as long.
    """

    def __init__(self) -> None:
        self.failures: deque[bool] = deque(maxlen=MAX_SAMPLES)
        self.is_ejected = False
        self.eject_until = 0.0
        self.ejection_s = INITIAL_EJECTION_S

    def accepts_work(self, now: float, running: int) -> bool:
        """Return whether a request may start while ``running`` others hold slots."""
        if not self.is_ejected:
            return True
        return now >= self.eject_until and running == 0

    def record(self, outcome: Outcome, now: float) -> bool:
        """Record an outcome; return whether the target should be ejected."""
        failed = is_failure(outcome)
        self.failures.append(failed)
        if self.is_ejected:
            return self._record_trial(failed, now)
        if len(self.failures) < MIN_SAMPLES or not failed:
            return False
        return sum(self.failures) >= FAILURE_SHARE * len(self.failures)

    def _record_trial(self, failed: bool, now: float) -> bool:
        if failed:
            return now >= self.eject_until
        self.readmit()
        return False

    def eject(self, now: float) -> None:
        """Eject the target and double the duration of the next ejection."""
        self.is_ejected = True
        self.eject_until = now + self.ejection_s
        self.ejection_s = min(MAX_EJECTION_S, 2 * self.ejection_s)

    def readmit(self) -> None:
        """End the ejection and reset the failure statistics."""
        self.is_ejected = False
        self.failures.clear()
        self.ejection_s = INITIAL_EJECTION_S
