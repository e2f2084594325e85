"""Placement of new flows by loads that may be seconds old."""

from bisect import bisect
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from balsamtide.fleet.target_ring import MAX_WITHOUT_RING
from balsamtide.fleet.view import FlowTarget
from balsamtide.flows.events import ZONE_SPILLS
from balsamtide.flows.load_table import LoadTable
from balsamtide.flows.metrics import (
    PLACEMENTS,
    REPORTED_LOAD_AGE,
    REPORTED_LOADS,
    ZONE_SPILL_SHARE,
)
from balsamtide.flows.placement import COLD_COST, PlacementPolicy
from balsamtide.flows.zone_share import ZoneShare
from balsamtide.telemetry.sink import Sink

__all__ = ["SharedLoadPlacement"]

# Weight of a target in another zone, relative to one in this zone with the same free
# capacity, while no flows have to leave.  Above 0, so that the few home targets in the
# zone do not get all flows even if they are loaded.
OTHER_ZONE_WEIGHT = 0.1
# Power of the expected free capacity by which a target is weighted.  Most of a target's
# load stays from earlier flows, so that new flows have to differ more than the loads.
FREE_CAPACITY_POWER = 3


class SharedLoadPlacement(PlacementPolicy):
    """Distributes new flows over their candidates by expected free capacity.

    All balancers know the same old loads.  If each one chose the target that seems the
    best, they would all choose the same until the next report.

    Parameters
    ----------
    zone : str
        Availability zone of the balancer.
    table : LoadTable
        Loads known to this process.
    service_size : callable
        Returns the number of targets of a service.
    small_services : PlacementPolicy
        Places the flows of services in which each balancer reaches all targets.
    random : Random
        Chooses among the candidates.
    sink : Sink
        Receives events and metrics.
    """

    def __init__(
        self,
        *,
        zone: str,
        table: LoadTable,
        service_size: Callable[[str], int],
        small_services: PlacementPolicy,
        random: Random,
        sink: Sink,
    ) -> None:
        self.zone = zone
        self.table = table
        self.service_size = service_size
        self.small_services = small_services
        self.random = random
        self.sink = sink
        self.zone_shares: dict[str, ZoneShare] = {}
        self.adjusted_at = table.summed_at
        # Last choice by shared loads until it is recorded, and the load expected there.
        self.chosen: FlowTarget | None = None
        self.chosen_load = 0.0
        # Hosts of targets that got flows by shared loads; the frames of other hosts
        # count for small services.
        self.shared_hosts: set[int] = set()
        # Placements since the metrics were last updated.
        self.placed_here = 0
        self.placed_elsewhere = 0

    def choose(
        self, key: bytes, candidates: Sequence[FlowTarget], now: float
    ) -> FlowTarget:
        """Return a candidate with a probability that follows its free capacity."""
        service = candidates[0].service
        if self.service_size(service) <= MAX_WITHOUT_RING:
            self.chosen = None
            return self.small_services.choose(key, candidates, now)
        table = self.table
        if self.adjusted_at != table.summed_at:
            self._adjust_shares(now)
        share = self.zone_shares.get(service)
        other_weight = OTHER_ZONE_WEIGHT
        if share is not None:
            other_weight += share.share * (1.0 - OTHER_ZONE_WEIGHT)
        zone = self.zone
        expected = table.expected(candidates, now)
        total = 0.0
        sums = []
        for target, load in zip(candidates, expected, strict=True):
            occupied = 1.0 + load
            if now < target.warm_at:
                occupied += COLD_COST
            weight = occupied**-FREE_CAPACITY_POWER
            total += weight if target.zone == zone else weight * other_weight
            sums.append(total)
        index = bisect(sums, self.random.random() * total, 0, len(sums) - 1)
        self.chosen = candidates[index]
        self.chosen_load = expected[index]
        return self.chosen

    def _adjust_shares(self, now: float) -> None:
        """Adjust the shares of flows that leave this zone to the new zone means."""
        self.adjusted_at = self.table.summed_at
        means = self.table.zone_means
        self.shared_hosts.intersection_update(self.table.loads)
        for service in self.table.service_means:
            local = means.get((service, self.zone))
            others = [
                mean
                for key, mean in means.items()
                if key[0] == service and key[1] != self.zone
            ]
            if local is None or not others:
                self.zone_shares.pop(service, None)
                continue
            share = self.zone_shares.setdefault(service, ZoneShare())
            other = sum(others) / len(others)
            if share.update(local, other, now):
                self._report_share(service, share, local, other)
        largest = max((s.share for s in self.zone_shares.values()), default=0.0)
        self.sink.count(PLACEMENTS, self.placed_here, zone="same")
        self.sink.count(PLACEMENTS, self.placed_elsewhere, zone="other")
        self.placed_here = self.placed_elsewhere = 0
        self.sink.gauge(ZONE_SPILL_SHARE, largest)
        self.sink.gauge(REPORTED_LOADS, self.table.reported)
        self.sink.gauge(REPORTED_LOAD_AGE, self.table.mean_age_s)

    def _report_share(
        self, service: str, share: ZoneShare, local: float, other: float
    ) -> None:
        self.sink.event(
            ZONE_SPILLS,
            service=service,
            is_leaving=share.is_leaving,
            share=round(share.share, 2),
            local_load=round(local, 2),
            other_load=round(other, 2),
            age_ms=round(self.table.mean_age_s * 1000),
        )

    def record_placement(self, target: FlowTarget, now: float) -> None:
        """Add one request to the estimated load of the target."""
        if target is not self.chosen:
            self.small_services.record_placement(target, now)
            return
        load = self.chosen_load + 1 / target.capacity
        self.table.record_present(target.host, load, now)
        self.shared_hosts.add(target.host)
        if target.zone == self.zone:
            self.placed_here += 1
        else:
            self.placed_elsewhere += 1
        self.chosen = None

    def record_load(self, host: int, load: float, now: float) -> None:
        """Record the present load of a target by a frame of its agent."""
        if host in self.shared_hosts:
            self.table.record_present(host, load, now)
        else:
            self.small_services.record_load(host, load, now)

    def describe(self, target: FlowTarget, now: float) -> dict[str, Any]:
        """Return the expected load of the target just chosen and its age."""
        if target is not self.chosen:
            return {}
        return self.table.describe(target, self.chosen_load, now)
