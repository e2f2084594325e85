"""Which peers of a service exchange load reports and hand-offs.

All of them in a small service.  In a large one each agent has a fixed number of
neighbours: the targets are put on a ring in hash order, and neighbours stand 1, 2, 4,
8 places away in both directions.  The relation is symmetric and a pure function of
the configuration.
"""

from xxhash import xxh3_64_intdigest

from balsamtide.config.model import Service, Target, TargetState

__all__ = ["MOST_NEIGHBOURS", "neighbours"]

MOST_NEIGHBOURS = 8


def neighbours(service: Service, own: int) -> tuple[Target, ...]:
    """Return the targets whose agents the agent of target ``own`` talks to.

    A draining target is among them: it takes no work, and has work to hand off.
    """
    usable = [
        t for t in service.targets.values() if t.state is not TargetState.DISABLED
    ]
    others = [target for target in usable if target.number != own]
    if len(others) <= MOST_NEIGHBOURS:
        return tuple(sorted(others, key=lambda t: t.number))
    ring = sorted(
        [t for t in service.targets.values() if t in usable or t.number == own],
        key=lambda t: xxh3_64_intdigest(f"{service.number}:{t.number}".encode()),
    )
    position = next(i for i, target in enumerate(ring) if target.number == own)
    offsets = [2**i for i in range(MOST_NEIGHBOURS // 2)]
    places = {(position + sign * o) % len(ring) for o in offsets for sign in (1, -1)}
    return tuple(ring[place] for place in sorted(places - {position}))
