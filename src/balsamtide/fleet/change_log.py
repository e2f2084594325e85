"""Updates between revisions of a view, and the bounded log that they come from."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from balsamtide.fleet.carry_over import CarryOver
from balsamtide.fleet.view import (
    FleetView,
    FlowConfiguration,
    FlowRoute,
    FlowTarget,
    WarmUp,
)

__all__ = [
    "ChangeLog",
    "RouteChanges",
    "ViewUpdate",
    "route_changes",
]

# Changes kept for peers that are behind: a release of 18 targets a second changes each
# of them three times, so that peers may be 5 s behind.
MAX_ENTRIES = 256

Address = tuple[int, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteChanges:
    """Changes from one version of the configuration to another.

    Parameters
    ----------
    base : int
        Version that the changes apply to.
    version : int
        Version that results.
    services : frozenset of str
        Names of all services.
    idle_timeout_s : float
        Time without packets after which a flow may be removed, in seconds.
    routes : mapping of (int, int) to FlowRoute or None
        Changed routes by address; None for a removed one.
    warm_ups : mapping of str to WarmUp or None
        All warm-ups by service, None if the sender does not know of them.
    """

    base: int
    version: int
    services: frozenset[str]
    idle_timeout_s: float
    routes: Mapping[Address, FlowRoute | None]
    warm_ups: Mapping[str, WarmUp] | None = None

    def apply(self, configuration: FlowConfiguration) -> FlowConfiguration:
        """Return the resulting configuration.

        Raises
        ------
        ValueError
            If ``configuration`` has another version than ``base``.
        """
        if configuration.version != self.base:
            raise ValueError(
                f"changes of version {self.base} do not apply to version "
                f"{configuration.version}"
            )
        routes = dict(configuration.routes)
        for address, route in self.routes.items():
            if route is None:
                routes.pop(address, None)
            else:
                routes[address] = route
        return FlowConfiguration(
            version=self.version,
            routes=routes,
            services=self.services,
            idle_timeout_s=self.idle_timeout_s,
            warm_ups=(
                configuration.warm_ups if self.warm_ups is None else self.warm_ups
            ),
        )

    def followed_by(self, later: "RouteChanges") -> "RouteChanges":
        """Return these and later changes as one."""
        return RouteChanges(
            base=self.base,
            version=later.version,
            services=later.services,
            idle_timeout_s=later.idle_timeout_s,
            routes={**self.routes, **later.routes},
            warm_ups=later.warm_ups,
        )


def route_changes(before: FlowConfiguration, after: FlowConfiguration) -> RouteChanges:
    """Return the changes between two versions."""
    routes: dict[Address, FlowRoute | None] = {}
    for address, route in after.routes.items():
        known = before.routes.get(address)
        if known is not route and known != route:
            routes[address] = route
    routes.update((a, None) for a in before.routes if a not in after.routes)
    return RouteChanges(
        base=before.version,
        version=after.version,
        services=after.services,
        idle_timeout_s=after.idle_timeout_s,
        routes=routes,
        warm_ups=after.warm_ups,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class ViewUpdate:
    """What a peer needs to get from its view to a newer one.

    Parameters
    ----------
    base : int
        Oldest revision that the update applies to; -1 for a whole view.
    revision : int
        Revision that results.
    content_tag : int
        Content tag that results.
    settles_at : float
        Local time until which missing targets may come back.
    configuration : FlowConfiguration, RouteChanges or None
        The whole configuration, its changes, or None if it is the same.
    targets : mapping of str to FlowTarget or None
        Changed targets by name, None for a removed one; all targets of a whole view.
    era : int
        Era of both revisions.
    evacuated_zones : frozenset of str or None
        All evacuated availability zones, None if the sender does not know of them.
    carry_over : CarryOver or None
        What the sender keeps of an earlier era, only with a whole view.
    is_complete : bool
        As for `FleetView`.
    """

    base: int
    revision: int
    content_tag: int
    settles_at: float
    configuration: FlowConfiguration | RouteChanges | None
    targets: Mapping[str, FlowTarget | None]
    era: int = 0
    evacuated_zones: frozenset[str] | None = None
    carry_over: CarryOver | None = None
    is_complete: bool = True

    @property
    def is_whole(self) -> bool:
        """Whether the update replaces a view instead of changing it."""
        return self.base < 0


@dataclass(frozen=True, slots=True)
class _Entry:
    revision: int
    targets: Mapping[str, FlowTarget | None]
    routes: RouteChanges | None


class ChangeLog:
    """Bounded log of the latest changes of a view.

    Parameters
    ----------
    max_entries : int
        Number of changes kept.
    """

    def __init__(self, *, max_entries: int = MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self.entries: deque[_Entry] = deque()
        # Lowest revision whose later changes are all in the log.
        self.complete_since = -1

    def record(self, before: FleetView, after: FleetView) -> None:
        """Record the difference between two successive views."""
        if before.revision < 0 or before.era != after.era:
            self.entries.clear()
            self.complete_since = after.revision
            return
        routes = None
        if after.configuration.version != before.configuration.version:
            routes = route_changes(before.configuration, after.configuration)
        targets = _target_changes(before, after)
        has_same_zones = after.evacuated_zones == before.evacuated_zones
        if not targets and routes is None and has_same_zones:
            return
        self.entries.append(_Entry(after.revision, targets, routes))
        if len(self.entries) > self.max_entries:
            self.complete_since = self.entries.popleft().revision

    def update_for(self, view: FleetView, revision: int, version: int) -> ViewUpdate:
        """Return what a peer with a revision and a configuration version needs."""
        is_known = self.complete_since <= revision <= view.revision
        if revision < 0 or not is_known:
            return ViewUpdate(
                base=-1,
                revision=view.revision,
                content_tag=view.content_tag,
                settles_at=view.settles_at,
                configuration=view.configuration,
                targets=view.targets,
                era=view.era,
                evacuated_zones=view.evacuated_zones,
                is_complete=view.is_complete,
            )
        targets: dict[str, FlowTarget | None] = {}
        for entry in self.entries:
            if entry.revision > revision:
                targets.update(entry.targets)
        return ViewUpdate(
            base=revision,
            revision=view.revision,
            content_tag=view.content_tag,
            settles_at=view.settles_at,
            configuration=self._configuration_for(view, version),
            targets=targets,
            era=view.era,
            evacuated_zones=view.evacuated_zones,
            is_complete=view.is_complete,
        )

    def _configuration_for(
        self, view: FleetView, version: int
    ) -> FlowConfiguration | RouteChanges | None:
        if version >= view.configuration.version:
            return None
        changes: RouteChanges | None = None
        for entry in self.entries:
            if entry.routes is None:
                continue
            if changes is not None:
                changes = changes.followed_by(entry.routes)
            elif entry.routes.base == version:
                changes = entry.routes
        return changes or view.configuration


def _target_changes(
    before: FleetView, after: FleetView
) -> dict[str, FlowTarget | None]:
    changed: dict[str, FlowTarget | None] = {}
    for name, target in after.targets.items():
        known = before.targets.get(name)
        # Most targets are the same object, which is cheaper to compare.
        if known is not target and known != target:
            changed[name] = target
    changed.update((name, None) for name in before.targets if name not in after.targets)
    return changed
