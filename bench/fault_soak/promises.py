"""Breaches of promises that a run has seen."""

from dataclasses import dataclass, field
from enum import Enum

__all__ = ["Breach", "Promise", "PromiseLog"]


class Promise(Enum):
    """What has to hold whatever fails."""

    WHOLE_ANSWER = "an answer belongs to its request"
    RIGHT_SERVICE = "a packet reaches targets of its route's service only"
    AT_MOST_ONCE = "a request that must not be repeated runs once at most"
    OPEN_FLOW = "an open flow is not reset while its target holds it"
    DRAIN = "a leaving target gets no new flow after the drain time"
    EVACUATION = "an evacuated zone gets no new flow after the platform's bound"
    STOP = "a process ends only when asked to, and then with exit code 0"
    RECOVERY = "requests are served again once the faults are over"


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach.

    Parameters
    ----------
    promise : Promise
        What did not hold.
    at_s : float
        Seconds from the begin of the run.
    detail : str
        Flow, target or process.
    """

    promise: Promise
    at_s: float
    detail: str

    def __str__(self) -> str:
        return f"{self.at_s:7.3f} s {self.promise.name}: {self.detail}"


@dataclass(slots=True)
class PromiseLog:
    """Collects breaches and what the run did.

    Parameters
    ----------
    started_at : float
        Monotonic time of the begin of the run.
    """

    started_at: float
    breaches: list[Breach] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    def breach(self, promise: Promise, now: float, detail: str) -> None:
        """Note a breach."""
        self.breaches.append(Breach(promise, now - self.started_at, detail))

    def fault(self, now: float, text: str) -> None:
        """Note an injected fault."""
        self.faults.append(f"{now - self.started_at:7.3f} s {text}")
