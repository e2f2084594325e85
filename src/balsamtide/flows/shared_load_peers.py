"""Choice of the peer for a forwarded flow by loads that may be seconds old."""

from collections.abc import Callable
from random import Random

from balsamtide.fleet.target_ring import MAX_WITHOUT_RING
from balsamtide.flows.load_table import LoadTable
from balsamtide.flows.spillover import PeerChoice, SpilloverContext
from balsamtide.flows.zone_share import busy_share

__all__ = ["SharedLoadPeer"]

# One-way delay between zones where nothing else is known; the higher one of the
# specified deployments, so that flows rather stay.
ZONE_DELAY_S = 0.0035
# Wait that has to be saved to forward a flow within a zone, in seconds: processor time
# of both agents and the network.
FORWARD_COST_S = 0.004
# Round trips to another zone that have to be saved to forward a flow there.  All of its
# packets cross the zones from then on.
CROSSING_ROUND_TRIPS = 4.0
# Part of the benefit that is random, so that agents that know the same old loads
# choose different peers.
RANDOM_PART = 0.5


class SharedLoadPeer(PeerChoice):
    """Chooses a peer that probably has a free slot, or none.

    Parameters
    ----------
    table : LoadTable
        Loads known to this process.
    service_size : callable
        Returns the number of targets of a service.
    small_services : PeerChoice
        Chooses in services in which each balancer reaches all targets.
    random : Random
        Distributes the choice.
    zone_delay_s : float
        One-way delay between zones, in seconds.
    """

    def __init__(
        self,
        *,
        table: LoadTable,
        service_size: Callable[[str], int],
        small_services: PeerChoice,
        random: Random,
        zone_delay_s: float = ZONE_DELAY_S,
    ) -> None:
        self.table = table
        self.service_size = service_size
        self.small_services = small_services
        self.crossing_cost_s = 2 * zone_delay_s * CROSSING_ROUND_TRIPS
        self.random = random

    def choose(self, context: SpilloverContext) -> int | None:
        """Return the peer that saves the most time, None if none saves its cost."""
        targets, now = self.table.targets(), context.now
        if context.best_host:
            self.table.record_present(context.best_host, context.best_load, now)
        own = targets.get(context.host)
        if own is None or self.service_size(own.service) <= MAX_WITHOUT_RING:
            return self.small_services.choose(context)
        # Before the flow starts, this many requests of the slots have to end.
        ends = context.load - 1 + 1 / context.capacity
        wait_s = ends * context.service_time_s
        best: int | None = None
        most_s = 0.0
        peers = [targets[host] for host in context.peers]
        expected = self.table.expected(peers, now) if peers else ()
        for peer, load in zip(peers, expected, strict=True):
            free_share = 1.0 - busy_share(load)
            is_near = peer.zone == own.zone
            cost_s = FORWARD_COST_S if is_near else self.crossing_cost_s
            saved_s = wait_s * free_share - cost_s
            saved_s *= 1.0 - RANDOM_PART * self.random.random()
            if saved_s > most_s:
                best, most_s = peer.host, saved_s
        return best
