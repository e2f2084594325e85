"""One target of the fleet, as listed by the platform."""

from dataclasses import dataclass
from enum import Enum
from math import inf

from balsamtide.transport.addresses import format_ipv4

__all__ = ["FlowTarget", "TargetState"]


class TargetState(Enum):
    """State of a target in the platform's list.

    ``LAPSED`` targets disappeared from the list while the store was unavailable; they
    count as ready until their grace period ends.
    """

    READY = "ready"
    DRAINING = "draining"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowTarget:
    """One incarnation of a target.

    Parameters
    ----------
    name : str
        Key in the platform's list.
    service : str
        Name of its service.
    host : int
        IPv4 address of its instance, which the agent shares.
    port : int
        Port that it receives packets on.
    zone : str
        Availability zone.
    capacity : int
        Requests that it processes concurrently.
    state : TargetState
        State in the platform's list.
    warm_at : float
        Local time at which its cold start is over.
    started_ms : int
        Unix milliseconds of its start.
    forget_at : float
        Local time at which a lapsed target is removed; infinite for others.
    """

    name: str
    service: str
    host: int
    port: int
    zone: str
    capacity: int
    state: TargetState
    warm_at: float = 0.0
    started_ms: int = 0
    forget_at: float = inf

    def takes_new_flows(self, now: float) -> bool:
        """Whether new flows may be placed here at ``now``."""
        if self.state is TargetState.DRAINING:
            return False
        return now < self.forget_at

    def __str__(self) -> str:
        return f"{self.name}@{format_ipv4(self.host)}"
