"""Ejection of the agent's own target when it fails requests."""

from collections import deque

from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit
from balsamtide.requests.model import Outcome

__all__ = ["TargetHealth", "is_failure"]

BLAMELESS = frozenset((Exit.TARGET_SHED.reason, Exit.CANCELLED_RUNNING.reason))
SAMPLES = 20
MIN_SAMPLES = 5
FAILURE_SHARE = 0.5
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0


def is_failure(outcome: Outcome) -> bool:
    """Tell whether the target is to blame for an outcome.

    Refusals under load are not failures; they shrink the window.
    """
    if outcome.reason in BLAMELESS:
        return False
    return outcome.verdict is not Verdict.RAN or outcome.status >= 500


class TargetHealth:
    """Judges the target by the outcomes of its last requests.

    An ejected target gets one trial request after each ejection; a failed trial
    ejects it again, twice as long.
    """

    def __init__(self) -> None:
        self.failures: deque[bool] = deque(maxlen=SAMPLES)
        self.is_ejected = False
        self.eject_until = 0.0
        self.ejection_s = FIRST_EJECTION_S

    def takes_work(self, now: float, running: int) -> bool:
        """Tell whether another request may start with ``running`` on the target."""
        if not self.is_ejected:
            return True
        return now >= self.eject_until and running == 0

    def record(self, outcome: Outcome, now: float) -> bool:
        """Take an outcome; tell whether the target deserves ejection now."""
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
        """Give the target no work for a while."""
        self.is_ejected = True
        self.eject_until = now + self.ejection_s
        self.ejection_s = min(LONGEST_EJECTION_S, 2 * self.ejection_s)

    def readmit(self) -> None:
        """Give the target work again."""
        self.is_ejected = False
        self.failures.clear()
        self.ejection_s = FIRST_EJECTION_S
