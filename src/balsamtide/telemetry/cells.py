"""Counts of durations in buckets, small enough to keep one a stage and a minute.

Buckets have four steps an octave above 0.8 ms and steps of 0.1 ms below, so a value
is known to within 25% of itself or 0.1 ms.
"""

from array import array
from collections.abc import Iterable
from sys import byteorder

from msgspec import Struct

from balsamtide.telemetry.stages import Stage

__all__ = ["BUCKETS", "STAGES", "Cells", "StageCells", "bucket_of", "lower_bound_s"]

STAGES = tuple(Stage)
UNITS_PER_S = 10_000
STEP_BITS = 2
STEPS = 1 << STEP_BITS
LINEAR_BUCKETS = 2 * STEPS
BUCKETS = 96
LAST_BUCKET = BUCKETS - 1
COUNT_BYTES = array("I").itemsize


def _bucket_of_units(units: int) -> int:
    if units < LINEAR_BUCKETS:
        return units if units > 0 else 0
    shift = units.bit_length() - STEP_BITS - 1
    index = STEPS * shift + (units >> shift)
    return index if index < BUCKETS else LAST_BUCKET


TABLE_UNITS = 4096
TABLE = bytes(_bucket_of_units(units) for units in range(TABLE_UNITS))


def bucket_of(seconds: float) -> int:
    """Return the index of the bucket that holds ``seconds``."""
    units = int(seconds * UNITS_PER_S)
    return TABLE[units] if 0 <= units < TABLE_UNITS else _bucket_of_units(units)


def lower_bound_s(bucket: int) -> float:
    """Return the least duration that falls into ``bucket``, in seconds."""
    if bucket < LINEAR_BUCKETS:
        return bucket / UNITS_PER_S
    shift, step = divmod(bucket - STEPS, STEPS)
    return ((STEPS + step) << shift) / UNITS_PER_S


class BucketCount(Struct, frozen=True, array_like=True):
    """How many durations fell into one bucket."""

    bucket: int
    count: int


class StageCells(Struct, frozen=True, array_like=True):
    """Durations of one stage, as sent between processes.

    Parameters
    ----------
    stage : Stage
        The stage.
    seconds : float
        Sum of all durations.
    buckets : tuple of BucketCount
        Buckets that are not empty, without the first.
    """

    stage: Stage
    seconds: float
    buckets: tuple[BucketCount, ...]


class Cells:
    """Durations of one stage as they are counted."""

    __slots__ = ("counts", "seconds")

    def __init__(self) -> None:
        self.seconds = 0.0
        self.counts = array("I", bytes(COUNT_BYTES * BUCKETS))

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self.seconds += seconds
        units = int(seconds * UNITS_PER_S)
        if 0 <= units < TABLE_UNITS:
            self.counts[TABLE[units]] += 1
        else:
            self.counts[_bucket_of_units(units)] += 1

    def merge(self, other: StageCells) -> None:
        """Add what another process counted."""
        self.seconds += other.seconds
        for item in other.buckets:
            self.counts[item.bucket] += item.count

    def add_cells(self, other: "Cells") -> None:
        """Add what was counted elsewhere in this process."""
        self.seconds += other.seconds
        # One addition of long integers adds all counts; none of them overflows.
        total = int.from_bytes(self.counts, byteorder)
        total += int.from_bytes(other.counts, byteorder)
        self.counts = array("I", total.to_bytes(COUNT_BYTES * BUCKETS, byteorder))

    def copy(self) -> "Cells":
        """Return cells with the same counts."""
        cells = Cells.__new__(Cells)
        cells.seconds = self.seconds
        cells.counts = self.counts[:]
        return cells

    def freeze(self, stage: Stage) -> StageCells:
        """Return an immutable copy."""
        return StageCells(stage, self.seconds, tuple(_filled(self.counts)))


def _filled(counts: Iterable[int]) -> Iterable[BucketCount]:
    for bucket, number in enumerate(counts):
        if number and bucket:
            yield BucketCount(bucket, number)
