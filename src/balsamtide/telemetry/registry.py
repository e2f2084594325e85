"""The registry of metrics, rendered by aioprometheus."""

from collections.abc import Callable, Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from balsamtide.telemetry.event import Metric, MetricKind

__all__ = ["LATENCY_BOUNDS_S", "METRIC_PREFIX", "MetricRegistry"]

METRIC_PREFIX = "balsamtide_"
MAX_SERIES = 256
OTHER = "other"
BOUND_RATIO = 2**0.5
FIRST_BOUND_S = 0.001
BOUND_COUNT = 35
LATENCY_BOUNDS_S = tuple(
    float(f"{FIRST_BOUND_S * BOUND_RATIO**index:.4g}") for index in range(BOUND_COUNT)
)
TEXT_FORMAT = ("text/plain; version=0.0.4",)

Labels = tuple[tuple[str, str], ...]


class MetricRegistry:
    """Adds up metrics cheaply and hands them to aioprometheus when rendered.

    A quantile read from the latency histogram lies within the bucket that holds it,
    so it is wrong by less than a factor of the square root of 2.

    Parameters
    ----------
    report_limit : callable
        Called with a metric's name when it first reaches its limit of series.
    """

    def __init__(self, report_limit: Callable[[str], None]) -> None:
        self.report_limit = report_limit
        self.metrics: dict[str, Metric] = {}
        self.values: dict[str, dict[Labels, float]] = {}
        self.histograms: dict[str, Histogram] = {}
        self.registry = Registry()
        self.collectors: dict[str, Counter | Gauge] = {}

    def add(self, metric: Metric, amount: float, labels: Mapping[str, str]) -> None:
        """Add to a counter."""
        series = self._series(metric)
        key = self._key(metric, series, labels)
        series[key] = series.get(key, 0.0) + amount

    def set(self, metric: Metric, value: float, labels: Mapping[str, str]) -> None:
        """Set a gauge."""
        series = self._series(metric)
        series[self._key(metric, series, labels)] = value

    def observe(self, metric: Metric, seconds: float, labels: dict[str, str]) -> None:
        """Add a duration to a histogram, in seconds."""
        histogram = self.histograms.get(metric.name)
        if histogram is None:
            histogram = Histogram(
                METRIC_PREFIX + metric.name,
                metric.meaning,
                registry=self.registry,
                buckets=LATENCY_BOUNDS_S,
            )
            self.histograms[metric.name] = histogram
        histogram.add(labels, seconds)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the exposition in the text format and its HTTP headers."""
        for name, series in self.values.items():
            collector = self._collector(self.metrics[name])
            for labels, value in series.items():
                collector.set(dict(labels), value)
        return render(self.registry, TEXT_FORMAT)

    def _series(self, metric: Metric) -> dict[Labels, float]:
        series = self.values.get(metric.name)
        if series is None:
            self.metrics[metric.name] = metric
            series = self.values[metric.name] = {}
        return series

    def _key(
        self, metric: Metric, series: dict[Labels, float], labels: Mapping[str, str]
    ) -> Labels:
        key = tuple((name, labels.get(name, "")) for name in metric.labels)
        if key in series or len(series) < MAX_SERIES:
            return key
        overflow = tuple((name, OTHER) for name in metric.labels)
        if overflow not in series:
            self.report_limit(metric.name)
        return overflow

    def _collector(self, metric: Metric) -> Counter | Gauge:
        collector = self.collectors.get(metric.name)
        if collector is None:
            kind = Counter if metric.kind is MetricKind.COUNTER else Gauge
            collector = kind(
                METRIC_PREFIX + metric.name, metric.meaning, registry=self.registry
            )
            self.collectors[metric.name] = collector
        return collector
