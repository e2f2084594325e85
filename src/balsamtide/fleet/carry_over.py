"""What a process keeps of its view for a while after the store was restored.

A restored store has lost what was written since its backup.  Targets and operators
write it again within about two seconds; until then, each process lays what it knew
over the contents of the store.  This is not part of the view that processes compare,
since their knowledge may differ.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from balsamtide.fleet.target import FlowTarget, TargetState
from balsamtide.fleet.view import FleetView

__all__ = ["CarryOver"]


def _kept(known: FlowTarget, listed: FlowTarget | None) -> bool:
    """Whether a known target counts instead of what the restored store says of it."""
    if listed is None or listed.started_ms < known.started_ms:
        return True
    is_same_start = listed.started_ms == known.started_ms
    is_draining = known.state is TargetState.DRAINING
    return is_same_start and is_draining and listed.state is not TargetState.DRAINING


def _lapsed(target: FlowTarget, until: float) -> FlowTarget:
    if target.state is TargetState.READY:
        return replace(target, state=TargetState.LAPSED, forget_at=until)
    return target


@dataclass(frozen=True, slots=True, kw_only=True)
class CarryOver:
    """Targets and evacuations of an earlier era that the restored store lacks.

    Parameters
    ----------
    ends_at : float
        Local time from which on the store alone counts.
    targets : mapping of str to FlowTarget
        Lapsed and draining targets by name.
    evacuated_zones : frozenset of str
        Availability zones that stay evacuated.
    """

    ends_at: float
    targets: Mapping[str, FlowTarget]
    evacuated_zones: frozenset[str]

    @classmethod
    def between(
        cls, before: FleetView, after: FleetView, ends_at: float
    ) -> "CarryOver":
        """Return what stays of a view when one of another era replaces it."""
        targets = {
            name: _lapsed(target, ends_at)
            for name, target in before.targets.items()
            if _kept(target, after.targets.get(name))
        }
        zones = before.evacuated_zones - after.evacuated_zones
        return cls(ends_at=ends_at, targets=targets, evacuated_zones=zones)

    def joined(self, other: "CarryOver | None") -> "CarryOver":
        """Return this with what only a peer knew; it ends when this one ends."""
        if other is None:
            return self
        targets = dict(self.targets)
        for name, target in other.targets.items():
            known = targets.get(name)
            if known is None or _kept(target, known):
                targets[name] = _lapsed(target, self.ends_at)
        zones = self.evacuated_zones | other.evacuated_zones
        return replace(self, targets=targets, evacuated_zones=zones)

    def reduced(self, view: FleetView) -> "CarryOver | None":
        """Return this without what the store has again, None if nothing is left."""
        targets = {
            name: target
            for name, target in self.targets.items()
            if _kept(target, view.targets.get(name))
        }
        zones = self.evacuated_zones - view.evacuated_zones
        if not targets and not zones:
            return None
        return replace(self, targets=targets, evacuated_zones=zones)

    def laid_over(self, view: FleetView) -> FleetView:
        """Return the view with what is kept."""
        return view.changed(
            revision=view.revision,
            targets=self.targets,
            evacuated_zones=view.evacuated_zones | self.evacuated_zones,
        )
