"""The registry of metrics, rendered by aioprometheus."""

from collections.abc import Callable, Mapping
from math import inf

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.histogram import Histogram as HistogramValue

from balsamtide.telemetry.cells import BUCKETS, Cells, lower_bound_s
from balsamtide.telemetry.event import Metric, MetricKind

__all__ = ["LATENCY_BOUNDS_S", "METRIC_PREFIX", "MetricRegistry"]

METRIC_PREFIX = "balsamtide_"
MAX_SERIES = 256
OTHER = "other"
FIRST_BOUND_S = 0.001
LAST_BOUND_S = 600.0
BOUND_BUCKETS = tuple(
    bucket
    for bucket in range(0, BUCKETS, 2)
    if FIRST_BOUND_S <= lower_bound_s(bucket) <= LAST_BOUND_S
)
LATENCY_BOUNDS_S = tuple(lower_bound_s(bucket) for bucket in BOUND_BUCKETS)
TEXT_FORMAT = ("text/plain; version=0.0.4",)

Labels = tuple[tuple[str, str], ...]


class MetricRegistry:
    """Adds up metrics cheaply and hands them to aioprometheus when rendered.

    The bounds of the latency histogram are at most a factor of 1.5 apart, so that a
    quantile read from it is off by less than 50% between the first and the last.

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
        self.durations: dict[Metric, Cells] = {}
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

    def set_histogram(
        self, metric: Metric, cells: Cells, labels: dict[str, str]
    ) -> None:
        """Set a histogram of durations to what ``cells`` counted."""
        collector = self.histograms.get(metric.name)
        if collector is None:
            collector = Histogram(
                METRIC_PREFIX + metric.name,
                metric.meaning,
                registry=self.registry,
                buckets=LATENCY_BOUNDS_S,
            )
            self.histograms[metric.name] = collector
        collector.set_value(labels, _cumulative(cells))

    def observe(self, metric: Metric, seconds: float) -> None:
        """Add a duration to a histogram without labels."""
        cells = self.durations.get(metric)
        if cells is None:
            cells = self.durations[metric] = Cells()
        cells.add(seconds)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the exposition in the text format and its HTTP headers."""
        for metric, cells in self.durations.items():
            self.set_histogram(metric, cells, {})
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


def _cumulative(cells: Cells) -> HistogramValue:
    value = HistogramValue(*LATENCY_BOUNDS_S)
    for bucket, bound in zip(BOUND_BUCKETS, LATENCY_BOUNDS_S, strict=True):
        value.buckets[bound] = sum(cells.counts[:bucket])
    value.observations = sum(cells.counts)
    value.buckets[inf] = value.observations
    value.sum = cells.seconds
    return value
