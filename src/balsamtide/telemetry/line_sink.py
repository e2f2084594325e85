"""A sink that writes one JSON line an event and never blocks."""

from collections.abc import Callable
from json import dumps
from os import set_blocking, write
from time import time
from typing import TYPE_CHECKING, Any

from balsamtide.clock import boot_time
from balsamtide.telemetry.event import Event, Level, Metric
from balsamtide.telemetry.sink import Sink

if TYPE_CHECKING:
    from balsamtide.telemetry.records import AuditRecord, RequestRecord

__all__ = ["LineSink"]

# Lines a second that are written on average, and in one burst.  Ten times what a
# process writes at the planned load, and half a percent of a core.
LINES_PER_S = 400.0
BURST_LINES = 2000.0
# Octets that wait for a reader that does not read.
MAX_BUFFER_BYTES = 262_144

Labels = tuple[tuple[str, str], ...]


class LineSink(Sink):
    """Writes events to a file descriptor and adds up metrics.

    Lines beyond a rate, or that nobody reads, are dropped and counted; the next line
    that is written says how many.  Warnings are written beyond the rate.

    Parameters
    ----------
    instance : str
        Instance identifier.
    descriptor : int
        Where lines go; it is made non-blocking.
    clock : callable
        Monotonic clock, seconds.
    wall_clock : callable
        Seconds since the epoch, for display only.
    """

    def __init__(
        self,
        *,
        instance: str,
        descriptor: int = 1,
        clock: Callable[[], float] = boot_time,
        wall_clock: Callable[[], float] = time,
    ) -> None:
        self.instance = instance
        self.descriptor = descriptor
        self.clock = clock
        self.wall_clock = wall_clock
        self.buffer = bytearray()
        self.dropped = 0
        self.allowance = BURST_LINES
        self.allowed_at = clock()
        self.counters: dict[Metric, dict[Labels, float]] = {}
        self.gauges: dict[Metric, float] = {}
        self.durations: dict[Metric, list[int]] = {}
        self.sums: dict[Metric, float] = {}
        set_blocking(descriptor, False)

    def event(self, event: Event, **fields: Any) -> None:
        """Write an event, or count it if there are too many."""
        if not self._is_allowed(event):
            self.dropped += 1
            return
        line = {
            "time": round(self.wall_clock(), 3),
            "level": event.level.value,
            "number": event.number,
            "name": event.name,
            "instance": self.instance,
            **fields,
        }
        if self.dropped:
            line["dropped"], self.dropped = self.dropped, 0
        self.buffer += dumps(line, separators=(",", ":"), default=str).encode() + b"\n"

    def _is_allowed(self, event: Event) -> bool:
        if len(self.buffer) > MAX_BUFFER_BYTES:
            return False
        now = self.clock()
        earned = (now - self.allowed_at) * LINES_PER_S
        self.allowance = min(BURST_LINES, self.allowance + earned)
        self.allowed_at = now
        if self.allowance < 1.0:
            return event.level in (Level.WARNING, Level.ERROR)
        self.allowance -= 1.0
        return True

    def flush(self) -> None:
        """Write what the descriptor takes."""
        if not self.buffer:
            return
        try:
            written = write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # Nobody can be told; the lines count as dropped.
            self.dropped += self.buffer.count(b"\n")
            written = len(self.buffer)
        del self.buffer[:written]

    def audit(self, record: "AuditRecord") -> None:
        """Leave out audit records; events report each change."""

    def request(self, record: "RequestRecord") -> None:
        """Leave out requests, which are sealed here; events report the flows."""

    def count(self, metric: Metric, amount: float = 1, **labels: str) -> None:
        """Increase a counter; labels come from bounded sets."""
        series = self.counters.get(metric)
        if series is None:
            series = self.counters[metric] = {}
        key = tuple(labels.items())
        series[key] = series.get(key, 0) + amount

    def gauge(self, metric: Metric, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.gauges[metric] = value

    def observe(self, metric: Metric, seconds: float) -> None:
        """Account for a duration."""
        microseconds = max(1, int(seconds * 1e6))
        counts = self.durations.get(metric)
        if counts is None:
            counts = self.durations[metric] = [0] * 32
            self.sums[metric] = 0.0
        counts[min(31, microseconds.bit_length())] += 1
        self.sums[metric] += seconds
