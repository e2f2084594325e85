"""Home targets of a flow: a few candidates that every process computes alike.

A balancer that does not know a flow asks the flow's home targets first, and new flows
are placed there as long as one of them is available.  The cost of both is the same for
a service of any size.
"""

from bisect import bisect
from collections.abc import Iterator, Sequence
from zlib import crc32

from balsamtide.fleet.target import FlowTarget

__all__ = ["HOME_COUNT", "MAX_WITHOUT_RING", "NEIGHBOR_COUNT", "TargetRing"]

# At 60% of all slots in use, one of six candidates is free for 95% of the new flows;
# the others wait or are forwarded.
HOME_COUNT = 6
# Targets after each home target on the ring that are asked for flows whose home target
# was displaced by new targets.
NEIGHBOR_COUNT = 2
# In a smaller service, all targets are home targets of each flow.
MAX_WITHOUT_RING = 16


class TargetRing:
    """Consistent hashing with several probes for each flow.

    A flow's home targets are the successors of its probes on the ring.  A change of one
    target changes at most one home target for each probe that it follows.

    Parameters
    ----------
    targets : sequence of FlowTarget
        All targets of a service, in any order.
    """

    __slots__ = ("points", "targets")

    def __init__(self, targets: Sequence[FlowTarget]) -> None:
        ordered = sorted((crc32(t.name.encode()), t.name, t) for t in targets)
        self.points = [point for point, _, _ in ordered]
        self.targets = tuple(target for _, _, target in ordered)

    def homes(self, key: bytes) -> tuple[FlowTarget, ...]:
        """Return the home targets of the flow ``key``, distinct and in fixed order."""
        count = len(self.targets)
        if count <= MAX_WITHOUT_RING:
            return self.targets
        chosen: list[int] = []
        for index in self._probed(key):
            while index in chosen:
                index = (index + 1) % count
            chosen.append(index)
        return tuple(self.targets[index] for index in chosen)

    def neighbors(self, key: bytes) -> tuple[FlowTarget, ...]:
        """Return the targets that follow the home targets of a flow on the ring.

        After a release or a scale-out, most flows whose target is no longer one of
        their home targets are at one of these.
        """
        count = len(self.targets)
        if count <= MAX_WITHOUT_RING:
            return ()
        indices = dict.fromkeys(
            (index + step) % count
            for step in range(NEIGHBOR_COUNT + 1)
            for index in self._probed(key)
        )
        homes = set(self.homes(key))
        found = (self.targets[index] for index in indices)
        return tuple(target for target in found if target not in homes)

    def _probed(self, key: bytes) -> Iterator[int]:
        """Yield the index of the first target after each probe of a flow."""
        probe = crc32(key)
        for _ in range(HOME_COUNT):
            yield bisect(self.points, probe) % len(self.targets)
            probe = crc32(key, probe)
