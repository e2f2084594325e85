"""Merging of store reads and peers' views into the next view."""

from collections.abc import Mapping
from dataclasses import replace

from balsamtide.fleet.store import (
    ConfigurationChange,
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

__all__ = ["LAPSE_GRACE_S", "newer_view", "with_changes", "with_listing"]

# Time after a recovery of the store in which targets without a record are kept as
# lapsed: 2 s in which they write their records again, and 0.5 s of propagation.
LAPSE_GRACE_S = 2.5


def _newer_configuration(
    current: FlowConfiguration, received: FlowConfiguration | None
) -> FlowConfiguration:
    """Return the configuration with the higher version; it never goes back."""
    if received is None or received.version <= current.version:
        return current
    return received


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
    if listing.revision < view.revision:
        return view
    targets = {target.name: target for target in listing.targets}
    for name, known in view.targets.items():
        if name not in targets:
            lapsed = _lapsed(known, grace_until, now)
            if lapsed is not None:
                targets[name] = lapsed
    return FleetView(
        revision=listing.revision,
        configuration=_newer_configuration(view.configuration, listing.configuration),
        targets=targets,
        settles_at=max(view.settles_at, grace_until),
    )


def with_changes(
    view: FleetView, changes: StoreChanges, *, grace_until: float, now: float
) -> FleetView:
    """Return the view after applying changes that follow its revision."""
    if changes.revision < view.revision:
        return view
    targets = dict(view.targets)
    configuration = view.configuration
    for change in changes.changes:
        if isinstance(change, ConfigurationChange):
            configuration = _newer_configuration(configuration, change.configuration)
        else:
            _apply_target(targets, change, grace_until, now)
    return FleetView(
        revision=changes.revision,
        configuration=configuration,
        targets=targets,
        settles_at=max(view.settles_at, grace_until),
    )


def _apply_target(
    targets: dict[str, FlowTarget], change: TargetChange, grace_until: float, now: float
) -> None:
    if change.target is not None:
        targets[change.name] = change.target
        return
    known = targets.pop(change.name, None)
    if known is None or not change.is_removed:
        return
    lapsed = _lapsed(known, grace_until, now)
    if lapsed is not None:
        targets[change.name] = lapsed


def newer_view(current: FleetView, received: FleetView, now: float) -> FleetView:
    """Return the view with the higher revision; the configuration never goes back.

    Lapsed targets whose grace period has ended are left out.
    """
    if received.revision < current.revision:
        return current
    return FleetView(
        revision=received.revision,
        configuration=_newer_configuration(
            current.configuration, received.configuration
        ),
        targets=_without_forgotten(received.targets, now),
        settles_at=max(current.settles_at, received.settles_at),
    )


def _without_forgotten(
    targets: Mapping[str, FlowTarget], now: float
) -> dict[str, FlowTarget]:
    return {name: t for name, t in targets.items() if now < t.forget_at}
