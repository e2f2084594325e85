"""Service time estimates by route, from measurements on the targets."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["RouteTimes", "ServiceTimes", "ServiceTimeSummary"]

UNIT_S = 0.0001
MAX_UNITS = 36_000_000  # 1 hour
SIGNIFICANT_DIGITS = 2
WINDOW_S = 30.0
MEAN_GAIN = 0.1
REFRESH_SAMPLES = 64
DEFAULT_SERVICE_TIME_S = 0.02
TAIL_PERCENTILE = 90


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceTimeSummary:
    """Percentiles of the service times of one route.

    Parameters
    ----------
    count : int
        Number of samples.
    median_s, tail_s : float
        50th and 90th percentile, seconds.
    """

    count: int = 0
    median_s: float = DEFAULT_SERVICE_TIME_S
    tail_s: float = DEFAULT_SERVICE_TIME_S


class RouteTimes:
    """Service times of one route over a sliding window of one to two ``WINDOW_S``.

    Parameters
    ----------
    now : float
        Local time, seconds.
    """

    def __init__(self, now: float) -> None:
        self.current = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
        self.previous: HdrHistogram | None = None
        self.rotate_at = now + WINDOW_S
        self.mean_s = DEFAULT_SERVICE_TIME_S
        self.total = 0
        self.unsummarized = 0
        self.summary = ServiceTimeSummary()

    def record(self, seconds: float, now: float) -> None:
        """Record one service time."""
        gain = max(MEAN_GAIN, 1 / (self.total + 1))
        self.mean_s += gain * (seconds - self.mean_s)
        self.total += 1
        self.unsummarized += 1
        if now >= self.rotate_at and self.current.get_total_count():
            self._rotate(now)
        self.current.record_value(max(1, round(seconds / UNIT_S)))
        if self.unsummarized >= min(REFRESH_SAMPLES, 1 + self.summary.count // 4):
            self._refresh()

    def _rotate(self, now: float) -> None:
        self.previous = self.current
        self.current = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
        self.rotate_at = now + WINDOW_S

    def _refresh(self) -> None:
        merged = self.current
        if self.previous is not None:
            merged = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
            merged.add(self.current)
            merged.add(self.previous)
        self.unsummarized = 0
        self.summary = ServiceTimeSummary(
            count=merged.get_total_count(),
            median_s=merged.get_value_at_percentile(50) * UNIT_S,
            tail_s=merged.get_value_at_percentile(TAIL_PERCENTILE) * UNIT_S,
        )


class ServiceTimes:
    """Service times of the routes of one service.

    Routes come from the configuration, which bounds their number.
    """

    def __init__(self) -> None:
        self.routes: dict[str, RouteTimes] = {}

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record one service time of ``route``."""
        times = self.routes.get(route)
        if times is None:
            times = self.routes[route] = RouteTimes(now)
        times.record(seconds, now)

    def mean(self, route: str) -> float:
        """Return the exponentially weighted mean of ``route``, seconds."""
        times = self.routes.get(route)
        return times.mean_s if times else DEFAULT_SERVICE_TIME_S

    def summary(self, route: str) -> ServiceTimeSummary:
        """Return the service time percentiles of ``route``."""
        times = self.routes.get(route)
        return times.summary if times else ServiceTimeSummary()

    def retain(self, known_routes: frozenset[str]) -> None:
        """Drop the routes that are not in ``known_routes``."""
        self.routes = {
            name: t for name, t in self.routes.items() if name in known_routes
        }
