"""Overlay of the peers that exchange load reports and hand-offs.

In a small service all peers are neighbours.  In a large one each agent has a fixed
number: the targets form a ring in hash order, and neighbours are 1, 2, 4 and 8
positions away in both directions.  The relation is symmetric and a pure function of the
configuration.
"""

from xxhash import xxh3_64_intdigest

from balsamtide.config.model import Service, Target, TargetState

__all__ = ["MAX_NEIGHBOURS", "neighbours"]

MAX_NEIGHBOURS = 8


def neighbours(service: Service, local_target: int) -> tuple[Target, ...]:
    """Return the targets whose agents are neighbours of that of ``local_target``.

    Draining targets are included: they accept no work but have work to hand off.
    """
    usable = [
        t for t in service.targets.values() if t.state is not TargetState.DISABLED
    ]
    others = [target for target in usable if target.number != local_target]
    if len(others) <= MAX_NEIGHBOURS:
        return tuple(sorted(others, key=lambda t: t.number))
    ring = sorted(
        [
            t
            for t in service.targets.values()
            if t in usable or t.number == local_target
        ],
        key=lambda t: xxh3_64_intdigest(f"{service.number}:{t.number}".encode()),
    )
    position = next(i for i, target in enumerate(ring) if target.number == local_target)
    offsets = [2**i for i in range(MAX_NEIGHBOURS // 2)]
    positions = {
        (position + sign * offset) % len(ring) for offset in offsets for sign in (1, -1)
    }
    return tuple(ring[p] for p in sorted(positions - {position}))
