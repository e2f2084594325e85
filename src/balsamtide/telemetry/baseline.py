"""What a service's requests took some minutes ago, as an expectation for now."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from balsamtide.telemetry.cells import BUCKETS, bucket_of, lower_bound_s
from balsamtide.telemetry.stages import Stage
from balsamtide.telemetry.summary import Group, GroupSummary

__all__ = ["USUAL_SLOW_SHARES", "Baseline", "Excess"]

MIN_TARGET_REQUESTS = 100
MIN_ROUTE_REQUESTS = 30
MIN_SLOW_S = 0.002
USUAL_SLOW_SHARES = (0.001, 0.01, 0.1, 0.3)
SLOW_RATIO = 1.25
MIN_MEAN_S = 0.001


@dataclass(frozen=True, slots=True, kw_only=True)
class Excess:
    """Slow requests beyond the expectation.

    Parameters
    ----------
    count : float
        Slow requests beyond the expected number.
    variance : float
        Variance of that number if nothing has changed.
    seconds : float
        Time lost, beyond what is expected to be lost.
    requests : int
        All requests looked at.
    slowdown : float
        Time lost by each route in units of its usual request time, added up; a
        delay of 20 ms weighs more for short requests than for long ones.
    """

    count: float
    variance: float
    seconds: float
    requests: int
    slowdown: float

    @classmethod
    def total(cls, parts: Iterable["Excess"]) -> "Excess":
        """Return the sum of ``parts``."""
        parts = list(parts)
        return cls(
            count=sum(part.count for part in parts),
            variance=sum(part.variance for part in parts),
            seconds=sum(part.seconds for part in parts),
            requests=sum(part.requests for part in parts),
            slowdown=sum(part.slowdown for part in parts),
        )

    @property
    def deviations(self) -> float:
        """The excess in standard deviations."""
        return self.count / (self.variance + 1.0) ** 0.5


class Reference:
    """Earlier requests of one route, on one target or on all."""

    def __init__(self) -> None:
        self.group = Group()

    @property
    def mean_s(self) -> float:
        """Mean time over all stages, seconds."""
        seconds = sum(cells.seconds for cells in self.group.stages.values())
        return seconds / self.group.count

    def stage_mean_s(self, stage: Stage) -> float:
        """Return the mean time in ``stage``, seconds."""
        cells = self.group.stages.get(stage)
        return cells.seconds / self.group.count if cells else 0.0

    def stage_counts(self, stage: Stage) -> Sequence[int]:
        """Return the bucket counts of ``stage``."""
        cells = self.group.stages.get(stage)
        return cells.counts if cells else (0,) * BUCKETS

    def slow_bucket(self, stage: Stage, usual_share: float) -> int:
        """Return the first bucket that at most ``usual_share`` of requests reach."""
        counts = self.stage_counts(stage)
        allowed = usual_share * self.group.count
        above = 0
        bucket = BUCKETS - 1
        while bucket > 0 and above + counts[bucket] <= allowed:
            above += counts[bucket]
            bucket -= 1
        usual_s = lower_bound_s(bucket) * SLOW_RATIO
        return min(bucket_of(max(usual_s, MIN_SLOW_S)) + 1, BUCKETS - 1)

    def excess(self, recent: GroupSummary, stage: Stage, usual_share: float) -> Excess:
        """Compare ``recent`` with this reference in one stage.

        Requests count as slow from a duration that ``usual_share`` of the earlier
        ones reached.
        """
        first = self.slow_bucket(stage, usual_share)
        usual_s = self.stage_mean_s(stage)
        before = [(bucket, n) for bucket, n in enumerate(self.stage_counts(stage))]
        now = [
            (item.bucket, item.count)
            for cells in recent.stages
            if cells.stage is stage
            for item in cells.buckets
        ]
        size = self.group.count
        share = (_slow_count(before, first) + 0.5) / (size + 1)
        scale = recent.count / size
        seconds = _lost_s(now, first, usual_s)
        seconds -= scale * _lost_s(before, first, usual_s)
        return Excess(
            count=_slow_count(now, first) - recent.count * share,
            variance=recent.count * share * (1 + scale),
            seconds=seconds,
            requests=recent.count,
            slowdown=seconds / max(self.mean_s, MIN_MEAN_S),
        )


class Baseline:
    """Earlier requests by route and target.

    Parameters
    ----------
    groups : iterable of GroupSummary
        Groups of the baseline window.
    """

    def __init__(self, groups: Iterable[GroupSummary]) -> None:
        self.by_target: dict[tuple[str, str], Reference] = {}
        self.by_route: dict[str, Reference] = {}
        self.requests = 0
        for group in groups:
            key = group.key
            self.requests += group.count
            self.by_route.setdefault(key.route, Reference()).group.merge(group)
            place = key.route, key.target
            self.by_target.setdefault(place, Reference()).group.merge(group)

    def reference(self, group: GroupSummary) -> Reference | None:
        """Return what ``group`` is compared with, None without enough requests."""
        own = self.by_target.get((group.key.route, group.key.target))
        if own is not None and own.group.count >= MIN_TARGET_REQUESTS:
            return own
        route = self.by_route.get(group.key.route)
        if route is not None and route.group.count >= MIN_ROUTE_REQUESTS:
            return route
        return None


def _slow_count(counts: Iterable[tuple[int, int]], first: int) -> int:
    return sum(number for bucket, number in counts if bucket >= first)


def _lost_s(counts: Iterable[tuple[int, int]], first: int, usual_s: float) -> float:
    return sum(
        number * (lower_bound_s(bucket) - usual_s)
        for bucket, number in counts
        if bucket >= first
    )
