"""Loads of targets as known to one process, with their ages."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from heapq import nlargest
from math import inf
from typing import Any

from balsamtide.fleet.load_exchange import LoadExchange
from balsamtide.fleet.view import FlowTarget
from balsamtide.protocol.flow_frames import MAX_LOAD_REPORTS, LoadReport

__all__ = ["LoadMeter", "LoadTable", "TargetLoad"]

# Time constant of the mean that an agent reports: about the age of a report.  The mean
# still follows a wave of demand or a slow target within seconds.
SMOOTHING_S = 1.0
# A present load decays to the reported mean within this time, which is the time in
# which the queue of a target at 60% of its capacity empties.
PRESENT_DECAY_S = 0.1
# A reported mean counts for less with its age, and not at all after this time.
MEAN_VALID_S = 8.0
# Entries are summed up by zone at most once in this time.
SUM_PERIOD_S = 0.25


class LoadMeter:
    """Mean of a target's demand over time, for readers that see it seconds later."""

    def __init__(self, now: float) -> None:
        self.mean = 0.0
        self.demand = 0
        self.updated_at = now

    def update(self, demand: int, now: float) -> None:
        """Record a demand; the previous one was in effect until now."""
        elapsed_s = now - self.updated_at
        if elapsed_s > 0:
            weight = elapsed_s / (elapsed_s + SMOOTHING_S)
            self.mean += weight * (self.demand - self.mean)
            self.updated_at = now
        self.demand = demand


@dataclass(slots=True)
class TargetLoad:
    """What is known of the load of one target.

    Parameters
    ----------
    mean : float
        Mean requests per slot that the target's agent reported.
    mean_at : float
        Local time at which the agent measured it; minus infinity if it did not.
    present : float
        Requests per slot by the latest frame, and the flows placed since.
    present_at : float
        Local time of the latest frame or placement.
    """

    mean: float = 0.0
    mean_at: float = -inf
    present: float = 0.0
    present_at: float = -inf


class LoadTable(LoadExchange):
    """Holds loads of targets and interprets them by their age.

    A report states a mean over about a second: the work that stays, such as requests
    on long-lived flows.  An estimate is the reported mean plus the part of the present
    load that has not been processed yet.  A mean counts for less with its age: the mean
    of the target's service takes its place.

    Parameters
    ----------
    targets : callable
        Returns the known targets by host.
    host : int or None
        Instance of this process if it is an agent, which reports its own load.
    now : float
        Local time in seconds.
    """

    def __init__(
        self,
        *,
        targets: Callable[[], Mapping[int, FlowTarget]],
        host: int | None = None,
        now: float,
    ) -> None:
        self.targets = targets
        self.host = host
        self.meter = LoadMeter(now)
        self.loads: dict[int, TargetLoad] = {}
        # Mean loads by service, and by service and zone, as of `summed_at`.
        self.service_means: dict[str, float] = {}
        self.zone_means: dict[tuple[str, str], float] = {}
        self.summed_at = -inf
        # Number and mean age of the reported loads that count.
        self.reported = 0
        self.mean_age_s = 0.0

    # Exchange with peers

    def outgoing(self, now: float) -> tuple[LoadReport, ...]:
        """Return the own load and the most recent ones of others."""
        reports = [] if self.host is None else [self._own_report(self.host, now)]
        known = [
            (load.mean_at, host)
            for host, load in self.loads.items()
            if load.mean_at > now - MEAN_VALID_S and host != self.host
        ]
        for measured_at, host in nlargest(MAX_LOAD_REPORTS - len(reports), known):
            report = LoadReport(host, self.loads[host].mean, now - measured_at)
            reports.append(report)
        return tuple(reports)

    def _own_report(self, host: int, now: float) -> LoadReport:
        """Return the mean load of the own target, which stays useful for seconds.

        The present demand changes within milliseconds.  It is in the frames that answer
        a new flow.
        """
        self.meter.update(self.meter.demand, now)
        target = self.targets().get(host)
        return LoadReport(host, self.meter.mean / (target.capacity if target else 1), 0)

    def receive(self, reports: Sequence[LoadReport], now: float) -> None:
        """Take the loads that are newer than the known ones."""
        for report in reports:
            measured_at = now - report.age_s
            load = self._entry(report.host)
            if measured_at > load.mean_at:
                load.mean, load.mean_at = report.load, measured_at
        if now >= self.summed_at + SUM_PERIOD_S:
            self.sum_up(now)

    def _entry(self, host: int) -> TargetLoad:
        load = self.loads.get(host)
        if load is None:
            load = self.loads[host] = TargetLoad()
        return load

    def sum_up(self, now: float) -> None:
        """Remove hosts without a target; compute the means of services and zones."""
        self.summed_at = now
        targets = self.targets()
        for host in [host for host in self.loads if host not in targets]:
            del self.loads[host]
        sums: dict[tuple[str, str], tuple[float, int]] = {}
        self.reported, ages_s = 0, 0.0
        for host, load in self.loads.items():
            if load.mean_at > now - MEAN_VALID_S:
                target = targets[host]
                key = target.service, target.zone
                total, count = sums.get(key, (0.0, 0))
                sums[key] = total + load.mean, count + 1
                self.reported += 1
                ages_s += now - load.mean_at
        self.mean_age_s = ages_s / max(1, self.reported)
        self.zone_means = {key: total / count for key, (total, count) in sums.items()}
        services: dict[str, tuple[float, int]] = {}
        for (service, _), (zone_total, zone_count) in sums.items():
            total, count = services.get(service, (0.0, 0))
            services[service] = total + zone_total, count + zone_count
        self.service_means = {s: total / n for s, (total, n) in services.items()}

    def record_present(self, host: int, load: float, now: float) -> None:
        """Record the requests per slot by a recent frame, or after a placement."""
        entry = self.loads.get(host) or self._entry(host)
        entry.present = load
        entry.present_at = now

    # Estimates

    def expected(self, targets: Sequence[FlowTarget], now: float) -> list[float]:
        """Return the expected requests per slot of targets of one service."""
        known = self.loads
        service_mean = self.service_means.get(targets[0].service, 0.0)
        expected = []
        for target in targets:
            mean = service_mean
            load = known.get(target.host)
            if load is not None:
                trust = 1.0 - (now - load.mean_at) / MEAN_VALID_S
                if trust > 0.0:
                    mean += trust * (load.mean - mean)
                remaining = 1.0 - (now - load.present_at) / PRESENT_DECAY_S
                if remaining > 0.0:
                    mean += remaining * (load.present - mean)
            expected.append(mean)
        return expected

    def describe(
        self, target: FlowTarget, expected: float, now: float
    ) -> dict[str, Any]:
        """Return the expected load of a target and its age, as fields of an event."""
        load = self.loads.get(target.host)
        age_s = inf if load is None else now - load.mean_at
        return {
            "load": int(expected * 100) / 100,
            "load_age_ms": int(age_s * 1000) if age_s < MEAN_VALID_S else None,
        }
