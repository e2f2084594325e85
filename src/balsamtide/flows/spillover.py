"""Whether an agent takes a new flow, passes it on or refuses it.

Balancers know the load of targets only roughly; the agents correct them: a full one
passes a new flow to another agent, which sees its own target's load exactly.  The flow
carries the least load that it met, and ends there if no agent has a free slot.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

__all__ = [
    "SpilloverPolicy",
    "LoadSpillover",
    "NoSpillover",
    "ForwardTo",
    "Refuse",
    "SpilloverContext",
    "Accept",
]

# Agents that a new flow is passed through; each costs about one way between zones.
MAX_HOPS = 2
# Share of a request's time limit that may pass before it starts.
MAX_WAIT_RATIO = 0.8


@dataclass(frozen=True, slots=True, kw_only=True)
class SpilloverContext:
    """What an agent knows when a new flow comes.

    Parameters
    ----------
    host : int
        This instance.
    busy : int
        Requests at the target, and openings that wait for it.
    capacity : int
        Requests that the target processes at once.
    service_time_s : float
        Mean time of a request at the target.
    peers : sequence of int
        Other agents of the service that take new flows and were not met.
    hops : int
        Agents that passed the flow on.
    best_host, best_load : int, float
        The least loaded agent met, and its load per slot; host 0 for none.
    elapsed_s : float
        Time since the balancer took the packet.
    timeout_s : float
        Longest time of the request.
    """

    host: int
    busy: int
    capacity: int
    service_time_s: float
    peers: Sequence[int]
    hops: int = 0
    best_host: int = 0
    best_load: float = 0.0
    elapsed_s: float = 0.0
    timeout_s: float = 1.0

    @property
    def load(self) -> float:
        """Requests per slot at the target."""
        return self.busy / self.capacity


@dataclass(frozen=True, slots=True)
class Accept:
    """Deliver the flow to this agent's target."""

    reason: str


@dataclass(frozen=True, slots=True)
class ForwardTo:
    """Pass the flow on.

    Parameters
    ----------
    host : int
        The next agent.
    must_take : bool
        Whether it has to take the flow.
    best_host, best_load : int, float
        The least loaded agent so far, and its load per slot.
    """

    host: int
    must_take: bool
    best_host: int
    best_load: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Reset the flow: no slot is free in time anywhere."""


SpilloverDecision = Accept | ForwardTo | Refuse


class SpilloverPolicy(ABC):
    """Decides about a new flow at an agent."""

    @abstractmethod
    def decide(self, context: SpilloverContext) -> SpilloverDecision:
        """Return what becomes of the flow."""


class NoSpillover(SpilloverPolicy):
    """Takes every flow, the baseline."""

    def decide(self, context: SpilloverContext) -> SpilloverDecision:
        """Return that the flow is taken."""
        return Accept("always")


class LoadSpillover(SpilloverPolicy):
    """Looks for a free slot among the agents of the service.

    Parameters
    ----------
    random : Random
        Chooses the next agent.
    """

    def __init__(self, *, random: Random) -> None:
        self.random = random

    def decide(self, context: SpilloverContext) -> SpilloverDecision:
        """Return what becomes of the flow."""
        if context.busy < context.capacity:
            return Accept("free slot")
        best_host, best_load = context.best_host, context.best_load
        if best_host == 0 or context.load < best_load:
            best_host, best_load = context.host, context.load
        if context.peers and context.hops < MAX_HOPS:
            peer = self.random.choice(context.peers)
            return ForwardTo(peer, False, best_host, best_load)
        if self._exceeds_wait_limit(context, best_load):
            return Refuse()
        if best_host == context.host:
            return Accept("least load")
        return ForwardTo(best_host, True, best_host, best_load)

    def _exceeds_wait_limit(self, context: SpilloverContext, load: float) -> bool:
        """Whether the request would not start in time at the least loaded target."""
        wait_s = (load - 1 + 1 / context.capacity) * context.service_time_s
        allowed_s = context.timeout_s * MAX_WAIT_RATIO
        return context.elapsed_s + wait_s > allowed_s
