"""Read periods of the instance list, scaled with the size of the fleet."""

from random import Random

__all__ = ["ListPeriod"]

# List reads per second of all processes that are not readers.
FLEET_LIST_READS_PER_S = 20
MIN_LIST_PERIOD_S = 30.0
MAX_LIST_PERIOD_S = 3600.0
# Listed instances that one reader fetches per second.
READER_INSTANCES_PER_S = 1000
MIN_READER_PERIOD_S = 1.0


class ListPeriod:
    """Computes the time between two reads of the instance list by one process.

    Parameters
    ----------
    random : Random
        Random source for jitter.
    """

    def __init__(self, random: Random) -> None:
        self.random = random

    def seconds(self, instance_count: int, *, is_reader: bool) -> float:
        """Return the jittered period, seconds, for a list of that many instances."""
        if is_reader:
            period_s = max(MIN_READER_PERIOD_S, instance_count / READER_INSTANCES_PER_S)
        else:
            fleet_period_s = instance_count / FLEET_LIST_READS_PER_S
            period_s = min(max(fleet_period_s, MIN_LIST_PERIOD_S), MAX_LIST_PERIOD_S)
        return period_s * (0.8 + 0.4 * self.random.random())
