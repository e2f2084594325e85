"""Merging of store reads and peers' views into the next view.

Views are ordered by era and revision.  What stays of a view when the store was restored
is laid over the result; see `balsamtide.fleet.carry_over`.
"""

from collections.abc import Mapping
from dataclasses import replace

from balsamtide.fleet.change_log import RouteChanges, ViewUpdate
from balsamtide.fleet.store import (
    ConfigurationChange,
    EvacuationChange,
    Listing,
    StoreChanges,
    TargetChange,
)
from balsamtide.fleet.view import (
    FleetView,
    FlowConfiguration,
    FlowTarget,
    TargetState,
)

__all__ = [
    "LAPSE_GRACE_S",
    "forgotten_targets",
    "newer_view",
    "with_changes",
    "with_listing",
    "with_update",
]

# Time after a recovery of the store in which targets without a record are kept as
# lapsed: 2 s in which they write their records again, and 0.5 s of propagation.
LAPSE_GRACE_S = 2.5


def _newer_configuration(
    current: FlowConfiguration, received: FlowConfiguration | None
) -> FlowConfiguration:
    """Return the configuration with the higher version; it never goes back."""
    if received is None or received.version < current.version:
        return current
    if received.version > current.version:
        return received
    # A process of an earlier build passes a version on without its warm-ups.
    return current if current.warm_ups else received


def _lapsed(target: FlowTarget, grace_until: float, now: float) -> FlowTarget | None:
    """Return a missing target as lapsed until the grace period ends, else None.

    A target that was draining has left on purpose and gets no grace period.
    """
    if now >= grace_until or target.state is TargetState.DRAINING:
        return None
    if target.state is TargetState.LAPSED:
        return target if now < target.forget_at else None
    return replace(target, state=TargetState.LAPSED, forget_at=grace_until)


def with_listing(
    view: FleetView, listing: Listing, *, grace_until: float, now: float
) -> FleetView:
    """Return the view after a full read of the store.

    Parameters
    ----------
    view : FleetView
        The newest view known.
    listing : Listing
        Contents of the store.
    grace_until : float
        Local time until which missing targets may come back; in the past if the
        store was not unavailable.
    now : float
        Local time in seconds.
    """
    if (listing.era, listing.revision) < view.position:
        return view
    targets = {target.name: target for target in listing.targets}
    if listing.era != view.era and view.revision >= 0:
        # The store was restored, so that missing targets write their records again.
        grace_until = max(grace_until, now + LAPSE_GRACE_S)
    for name, known in view.targets.items():
        if listing.era == view.era and name not in targets:
            lapsed = _lapsed(known, grace_until, now)
            if lapsed is not None:
                targets[name] = lapsed
    return FleetView(
        revision=listing.revision,
        era=listing.era,
        configuration=_newer_configuration(view.configuration, listing.configuration),
        targets=targets,
        evacuated_zones=listing.evacuated_zones,
        settles_at=max(view.settles_at, grace_until),
    )


def with_changes(
    view: FleetView, changes: StoreChanges, *, grace_until: float, now: float
) -> FleetView:
    """Return the view after applying changes that follow its revision.

    Changes of another era do not apply.
    """
    if changes.era != view.era or changes.revision < view.revision:
        return view
    # Peers forget the same targets when they get the changes.
    targets = forgotten_targets(view, now)
    configuration = view.configuration
    evacuated_zones = view.evacuated_zones
    for change in changes.changes:
        if isinstance(change, ConfigurationChange):
            configuration = _newer_configuration(configuration, change.configuration)
        elif isinstance(change, EvacuationChange):
            zone = frozenset({change.zone})
            evacuated_zones = (
                evacuated_zones | zone
                if change.is_evacuated
                else evacuated_zones - zone
            )
        else:
            known = (
                targets[change.name]
                if change.name in targets
                else view.targets.get(change.name)
            )
            targets[change.name] = _after_change(known, change, grace_until, now)
    return view.changed(
        revision=changes.revision,
        targets=targets,
        configuration=configuration,
        evacuated_zones=evacuated_zones,
        settles_at=grace_until,
    )


def _after_change(
    known: FlowTarget | None, change: TargetChange, grace_until: float, now: float
) -> FlowTarget | None:
    if change.target is not None:
        return change.target
    if known is None or not change.is_removed:
        return None
    return _lapsed(known, grace_until, now)


def newer_view(current: FleetView, received: FleetView, now: float) -> FleetView:
    """Return the view with the higher position; the configuration never goes back.

    Lapsed targets whose grace period has ended are left out.
    """
    if received.position < current.position:
        return current
    return FleetView(
        revision=received.revision,
        era=received.era,
        configuration=_newer_configuration(
            current.configuration, received.configuration
        ),
        targets=_without_forgotten(received.targets, now),
        evacuated_zones=received.evacuated_zones,
        settles_at=max(current.settles_at, received.settles_at),
        is_complete=received.is_complete,
    )


def with_update(view: FleetView, update: ViewUpdate, now: float) -> FleetView:
    """Return the view after an update from a peer.

    Raises
    ------
    ValueError
        If the update changes a view or configuration that is not held here.
    """
    if (update.era, update.revision) < view.position:
        return view
    if not update.is_whole and update.era != view.era:
        raise ValueError(f"changes of era {update.era} do not apply to era {view.era}")
    configuration = update.configuration
    if isinstance(configuration, RouteChanges):
        configuration = _with_route_changes(view.configuration, configuration)
    zones = update.evacuated_zones
    if zones is None:
        # An earlier build does not know of evacuations.
        zones = view.evacuated_zones
    elif not update.is_complete:
        # Until the store is listed, too little traffic for a zone is the safe side.
        zones |= view.evacuated_zones
    if update.is_whole:
        whole = FleetView(
            revision=update.revision,
            era=update.era,
            configuration=configuration or view.configuration,
            targets={n: t for n, t in update.targets.items() if t is not None},
            evacuated_zones=zones,
            settles_at=update.settles_at,
            is_complete=_is_complete(view, update),
        )
        if whole.position == view.position and whole.era > 0:
            return _joined(view, whole, now)
        return newer_view(view, whole, now)
    if view.revision < update.base:
        raise ValueError(
            f"changes of revision {update.base} do not apply to {view.revision}"
        )
    targets = forgotten_targets(view, now)
    targets.update(update.targets)
    after = view.changed(
        revision=update.revision,
        targets=targets,
        configuration=_newer_configuration(view.configuration, configuration),
        evacuated_zones=zones,
        settles_at=update.settles_at,
    )
    is_complete = view.is_complete and _is_complete(view, update)
    return after if is_complete else replace(after, is_complete=False)


def _is_complete(view: FleetView, update: ViewUpdate) -> bool:
    """Whether an update, or the view that it does not change, has all evacuations."""
    is_same = (update.era, update.revision) == view.position
    has_all = update.evacuated_zones is not None and update.is_complete
    return has_all or (is_same and view.is_complete)


def _joined(view: FleetView, received: FleetView, now: float) -> FleetView:
    """Return the same view for both orders of two views of one position.

    Processes that read a restored store at one revision may know different versions of
    the configuration, and pages that were read at different times.
    """
    configuration = _newer_configuration(view.configuration, received.configuration)
    rank, received_rank = (
        (one.is_complete, one.contents_rank) for one in (view, received)
    )
    if rank < received_rank:
        return newer_view(view, received, now)
    if configuration is view.configuration:
        return view
    return view.changed(revision=view.revision, configuration=configuration)


def _with_route_changes(
    configuration: FlowConfiguration, changes: RouteChanges
) -> FlowConfiguration:
    if changes.version <= configuration.version:
        return configuration
    return changes.apply(configuration)


def forgotten_targets(view: FleetView, now: float) -> dict[str, FlowTarget | None]:
    """Return the lapsed targets whose grace period has ended, as removals."""
    return {name: None for name, t in view.targets.items() if now >= t.forget_at}


def _without_forgotten(
    targets: Mapping[str, FlowTarget], now: float
) -> dict[str, FlowTarget]:
    return {name: t for name, t in targets.items() if now < t.forget_at}
