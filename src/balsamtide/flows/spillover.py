"""Policy by which an agent accepts, forwards or refuses a new flow.

Balancers only estimate the load of targets.  An agent knows the load of its target
exactly and forwards a new flow to a peer if all slots are taken.  The frame carries the
least load seen so far; if no agent has a free slot, the flow returns to that agent.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

__all__ = [
    "SpilloverPolicy",
    "LoadSpillover",
    "NoSpillover",
    "PeerChoice",
    "RandomPeer",
    "ForwardTo",
    "Refuse",
    "SpilloverContext",
    "Accept",
]

# Each hop costs about one network traversal between zones.
MAX_HOPS = 2
# Fraction of the request timeout within which the request has to start by the estimate
# on arrival.  MAX_START_RATIO limits the actual wait of a queued flow and is higher.
MAX_WAIT_RATIO = 0.8


@dataclass(frozen=True, slots=True, kw_only=True)
class SpilloverContext:
    """Inputs of the decision about a new flow.

    Parameters
    ----------
    host : int
        IPv4 address of this instance, as a number.
    demand : float
        Requests at the target, and queued flows; more while the target is too cold to
        take another one.
    capacity : int
        Requests that the target processes at once.
    service_time_s : float
        Mean time of a request at the target.
    peers : sequence of int
        Available agents of the service that the flow has not visited.
    hops : int
        Agents that forwarded the flow.
    best_host, best_load : int, float
        Least loaded agent visited, and its load per slot; host 0 for none.
    elapsed_s : float
        Seconds since the client first sent the SYN, as far as known.
    timeout_s : float
        Timeout of the request, in seconds.
    now : float
        Local time in seconds.
    """

    host: int
    demand: float
    capacity: int
    service_time_s: float
    peers: Sequence[int]
    hops: int = 0
    best_host: int = 0
    best_load: float = 0.0
    elapsed_s: float = 0.0
    timeout_s: float = 1.0
    now: float = 0.0

    @property
    def load(self) -> float:
        """Requests per slot at the target."""
        return self.demand / self.capacity


@dataclass(frozen=True, slots=True)
class Accept:
    """Deliver the flow to this agent's target."""

    reason: str


@dataclass(frozen=True, slots=True)
class ForwardTo:
    """Forward the flow to another agent.

    Parameters
    ----------
    host : int
        The next agent.
    must_take : bool
        Whether it has to accept the flow.
    best_host, best_load : int, float
        Least loaded agent so far, and its load per slot.
    """

    host: int
    must_take: bool
    best_host: int
    best_load: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Reset the flow: no known target would start its request in time."""


SpilloverDecision = Accept | ForwardTo | Refuse


class SpilloverPolicy(ABC):
    """Decides about new flows at an agent."""

    @abstractmethod
    def decide(self, context: SpilloverContext) -> SpilloverDecision:
        """Return whether to accept, forward or refuse the flow."""


class NoSpillover(SpilloverPolicy):
    """Accepts every flow, for comparison in tests and benchmarks."""

    def decide(self, context: SpilloverContext) -> SpilloverDecision:
        """Return `Accept`."""
        return Accept("always")


class PeerChoice(ABC):
    """Chooses the agent that gets a forwarded flow."""

    @abstractmethod
    def choose(self, context: SpilloverContext) -> int | None:
        """Return one of the peers, None if none is likely to start the flow earlier."""


class RandomPeer(PeerChoice):
    """Chooses any peer.

    Parameters
    ----------
    random : Random
        Chooses among the peers.
    """

    def __init__(self, *, random: Random) -> None:
        self.random = random

    def choose(self, context: SpilloverContext) -> int | None:
        """Return a random peer, None if there are none."""
        return self.random.choice(context.peers) if context.peers else None


class LoadSpillover(SpilloverPolicy):
    """Forwards flows until an agent with a free slot is found.

    Parameters
    ----------
    random : Random
        Chooses the next agent if ``peers`` is not given.
    peers : PeerChoice or None
        Chooses the next agent.
    """

    def __init__(self, *, random: Random, peers: PeerChoice | None = None) -> None:
        self.peers = peers or RandomPeer(random=random)

    def decide(self, context: SpilloverContext) -> SpilloverDecision:
        """Return whether to accept, forward or refuse the flow."""
        if context.demand < context.capacity:
            return Accept("free slot")
        best_host, best_load = context.best_host, context.best_load
        if best_host == 0 or context.load < best_load:
            best_host, best_load = context.host, context.load
        if context.hops < MAX_HOPS:
            peer = self.peers.choose(context)
            if peer is not None:
                return ForwardTo(peer, False, best_host, best_load)
        if self._exceeds_wait_limit(context, best_load):
            return Refuse()
        if best_host == context.host:
            return Accept("least load")
        return ForwardTo(best_host, True, best_host, best_load)

    def _exceeds_wait_limit(self, context: SpilloverContext, load: float) -> bool:
        """Whether even the least loaded target would start the request too late."""
        # Before a request starts, ``load * capacity - capacity + 1`` others must end; a
        # target ends ``capacity`` requests per service time.
        wait_s = (load - 1 + 1 / context.capacity) * context.service_time_s
        allowed_s = context.timeout_s * MAX_WAIT_RATIO
        return context.elapsed_s + wait_s > allowed_s
