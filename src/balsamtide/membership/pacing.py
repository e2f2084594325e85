"""Periods of reads of the platform, chosen for the size of the fleet."""

from random import Random

__all__ = ["ListPeriod"]

# Reads of the list a second that the whole fleet makes, readers aside.
FLEET_LIST_READS_PER_S = 20
MIN_LIST_PERIOD_S = 30.0
MAX_LIST_PERIOD_S = 3600.0
# Lines of the list that one reader takes in a second.
READER_INSTANCES_PER_S = 1000
MIN_READER_PERIOD_S = 1.0


class ListPeriod:
    """Time between two reads of the list of instances by one process.

    Parameters
    ----------
    random : Random
        Source of jitter.
    """

    def __init__(self, random: Random) -> None:
        self.random = random

    def seconds(self, instances: int, *, is_reader: bool) -> float:
        """Return a jittered period for a list of so many instances."""
        if is_reader:
            period_s = max(MIN_READER_PERIOD_S, instances / READER_INSTANCES_PER_S)
        else:
            fleet_period_s = instances / FLEET_LIST_READS_PER_S
            period_s = min(max(fleet_period_s, MIN_LIST_PERIOD_S), MAX_LIST_PERIOD_S)
        return period_s * (0.8 + 0.4 * self.random.random())
