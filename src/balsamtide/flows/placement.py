"""Placement of new flows at a balancer."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from math import inf
from random import Random
from typing import Any
from zlib import crc32

from balsamtide.fleet.view import FlowTarget

__all__ = ["HashPlacement", "LeastLoadedPlacement", "PlacementPolicy"]

# A recorded load decays linearly to 0 within this time.  It spans several service times
# of a target, after which the requests counted in the load have ended.
LOAD_DECAY_S = 0.05
# Penalties in load per slot.
OTHER_ZONE_COST = 0.05
COLD_COST = 0.6


class PlacementPolicy(ABC):
    """Chooses targets for new flows, with feedback from placements and agents."""

    @abstractmethod
    def choose(
        self, key: bytes, candidates: Sequence[FlowTarget], now: float
    ) -> FlowTarget:
        """Return the target for the flow ``key`` out of at least one candidate."""

    @abstractmethod
    def record_placement(self, target: FlowTarget, now: float) -> None:
        """Record that a new flow was sent to a target."""

    @abstractmethod
    def record_load(self, host: int, load: float, now: float) -> None:
        """Record the requests per slot that an agent reported."""

    def describe(self, target: FlowTarget, now: float) -> dict[str, Any]:
        """Return what is known of the load of a target, as fields of an event."""
        return {}


class HashPlacement(PlacementPolicy):
    """Rendezvous hashing, for comparison in tests and benchmarks.

    Every balancer chooses the same target for a flow.
    """

    def choose(
        self, key: bytes, candidates: Sequence[FlowTarget], now: float
    ) -> FlowTarget:
        """Return the candidate with the highest hash."""
        return max(candidates, key=lambda target: crc32(target.name.encode() + key))

    def record_placement(self, target: FlowTarget, now: float) -> None:
        """Do nothing."""

    def record_load(self, host: int, load: float, now: float) -> None:
        """Do nothing."""


class LeastLoadedPlacement(PlacementPolicy):
    """Prefers the target with the least estimated load.

    One balancer sees a small part of a target's flows, so its estimates decay within
    several service times; the agents correct the choice.

    Parameters
    ----------
    zone : str
        Availability zone of the balancer.
    random : Random
        Breaks ties.
    """

    def __init__(self, *, zone: str, random: Random) -> None:
        self.zone = zone
        self.random = random
        self.loads: dict[int, tuple[float, float]] = {}

    def choose(
        self, key: bytes, candidates: Sequence[FlowTarget], now: float
    ) -> FlowTarget:
        """Return the candidate with the least estimated load."""
        best: list[FlowTarget] = []
        least = inf
        for target in candidates:
            cost = self._cost(target, now)
            if cost < least:
                best, least = [target], cost
            elif cost == least:
                best.append(target)
        return self.random.choice(best)

    def _cost(self, target: FlowTarget, now: float) -> float:
        cost = self._load(target.host, now)
        if target.zone != self.zone:
            cost += OTHER_ZONE_COST
        if now < target.warm_at:
            cost += COLD_COST
        return cost

    def _load(self, host: int, now: float) -> float:
        load, recorded_at = self.loads.get(host, (0.0, 0.0))
        return load * max(0.0, 1.0 - (now - recorded_at) / LOAD_DECAY_S)

    def record_placement(self, target: FlowTarget, now: float) -> None:
        """Add one request to the estimated load of the target."""
        load = self._load(target.host, now) + 1 / target.capacity
        self.loads[target.host] = load, now

    def record_load(self, host: int, load: float, now: float) -> None:
        """Replace the estimated load of the target."""
        self.loads[host] = load, now
