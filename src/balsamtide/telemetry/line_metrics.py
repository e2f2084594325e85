"""Exposition of what a `LineSink` added up; loads the metrics library."""

from balsamtide.telemetry.cells import Cells, bucket_of
from balsamtide.telemetry.event import Metric
from balsamtide.telemetry.line_sink import LineSink
from balsamtide.telemetry.registry import MetricRegistry

__all__ = ["render_lines_metrics"]

MICROSECONDS = 1e6


def render_lines_metrics(sink: LineSink) -> bytes:
    """Return all counters, gauges and histograms in the text format."""
    registry = MetricRegistry(lambda name: None)
    for metric, series in sink.counters.items():
        for labels, amount in series.items():
            registry.add(metric, amount, dict(labels))
    for metric, value in sink.gauges.items():
        registry.set(metric, value, {})
    for metric, counts in sink.durations.items():
        registry.set_histogram(metric, _cells(sink, metric, counts), {})
    return registry.render()[0]


def _cells(sink: LineSink, metric: Metric, counts: list[int]) -> Cells:
    """Return powers of two of microseconds as the registry's buckets."""
    cells = Cells()
    for exponent, count in enumerate(counts):
        upper_s = (1 << exponent) / MICROSECONDS
        cells.counts[bucket_of(0.75 * upper_s)] += count
    cells.seconds = sink.sums[metric]
    return cells
