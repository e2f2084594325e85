"""Which queued flows of an agent move when targets are added to its service.

Load pattern: after a loss of power or an outage of the store, the targets of a service
come back one after the other while flows queue at those that are back.  Each returning
target changes the view of every agent, so what an agent moves at one change has to
shrink with the size of the service.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from random import Random

__all__ = ["MoveAll", "MoveShareOfNewTargets", "QueueRebalancing"]


class QueueRebalancing(ABC):
    """Chooses how many queued flows move, and to which of the new targets."""

    @abstractmethod
    def destinations(
        self, queued: int, new_hosts: Sequence[int], available: int
    ) -> list[int]:
        """Return the hosts to which flows move, one for each flow that moves.

        Parameters
        ----------
        queued : int
            Flows in the queue.
        new_hosts : sequence of int
            Agents whose targets are available since the last change of the view.
        available : int
            Available targets of the service, including new ones.
        """


class MoveAll(QueueRebalancing):
    """Moves all flows, for comparison in tests and benchmarks.

    Parameters
    ----------
    random : Random
        Chooses destinations.
    """

    def __init__(self, *, random: Random) -> None:
        self.random = random

    def destinations(
        self, queued: int, new_hosts: Sequence[int], available: int
    ) -> list[int]:
        """Return a destination for each flow, if there are new targets."""
        return [
            self.random.choice(new_hosts) for _ in range(queued if new_hosts else 0)
        ]


class MoveShareOfNewTargets(QueueRebalancing):
    """Moves the share of the queue that new targets have among the available ones.

    If all agents do so, their queues and those of the new targets become equal, and a
    flow moves a few times at most while a service comes back target by target.

    Parameters
    ----------
    random : Random
        Rounds the number of flows and chooses destinations.
    """

    def __init__(self, *, random: Random) -> None:
        self.random = random

    def destinations(
        self, queued: int, new_hosts: Sequence[int], available: int
    ) -> list[int]:
        """Return destinations for the new targets' share of the queue."""
        if not new_hosts:
            return []
        share = min(1.0, len(new_hosts) / max(1, available))
        count = int(queued * share + self.random.random())
        return [self.random.choice(new_hosts) for _ in range(min(count, queued))]
