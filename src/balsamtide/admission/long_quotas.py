"""Per-target quotas of slots for long work.

The quotas are a pure function of the configuration, so all agents of a service agree
without communication.  At most half of the service's slots are open to long work.
They are assigned round robin in rendezvous order, alternating between availability
zones, and leave one slot of each target with several slots to short work.
"""

from collections import defaultdict
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from balsamtide.config.model import Service, Target, TargetState

__all__ = ["long_quotas"]

LONG_SHARE = 0.5


def long_quotas(service: Service) -> dict[int, int]:
    """Return the number of slots open to long work, by target number."""
    targets = [t for t in service.targets.values() if t.state is TargetState.ACTIVE]
    quotas = {target.number: 0 for target in targets}
    remaining = max(1, int(LONG_SHARE * sum(target.slots for target in targets)))
    ordered = _alternate_zones(targets, service.number)
    while remaining:
        open_targets = [t for t in ordered if quotas[t.number] < _max_long_slots(t)]
        if not open_targets:
            break
        for target in open_targets[:remaining]:
            quotas[target.number] += 1
        remaining -= min(remaining, len(open_targets))
    return quotas


def _max_long_slots(target: Target) -> int:
    return max(1, target.slots - 1)


def _alternate_zones(targets: Iterable[Target], service: int) -> list[Target]:
    zones: dict[str, list[Target]] = defaultdict(list)
    for target in sorted(targets, key=lambda t: _hash(service, str(t.number))):
        zones[target.zone].append(target)
    ordered = sorted(zones, key=lambda zone: _hash(service, zone))
    ranked = [
        (rank, position, target)
        for position, zone in enumerate(ordered)
        for rank, target in enumerate(zones[zone])
    ]
    ranked.sort(key=lambda item: item[:2])
    return [target for _, _, target in ranked]


def _hash(service: int, name: str) -> int:
    return xxh3_64_intdigest(f"{service}:{name}".encode())
