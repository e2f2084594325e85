"""A process's view of routes and targets."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property
from math import inf
from zlib import crc32

from balsamtide.fleet.target import FlowTarget, TargetState
from balsamtide.fleet.target_ring import TargetRing

__all__ = [
    "NO_CONFIGURATION",
    "FleetView",
    "FlowConfiguration",
    "FlowRoute",
    "FlowTarget",
    "TargetState",
    "WarmUp",
]

MAX_U32 = 0xFFFFFFFF


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowRoute:
    """Route of new flows to one service address.

    Parameters
    ----------
    name : str
        Name in the configuration.
    shares : tuple of (str, int)
        Services with their weights.
    timeout_s : float
        Timeout of a request, in seconds.
    objective_s : float
        Latency objective, in seconds.
    priority : int
        0 is the highest.
    """

    name: str
    shares: tuple[tuple[str, int], ...]
    timeout_s: float
    objective_s: float
    priority: int

    def service_for(self, key: bytes) -> str:
        """Return the service of the flow ``key``; all processes choose the same."""
        if len(self.shares) == 1:
            return self.shares[0][0]
        point = crc32(key) % max(1, sum(weight for _, weight in self.shares))
        for service, weight in self.shares:
            if point < weight:
                return service
            point -= weight
        return self.shares[-1][0]


@dataclass(frozen=True, slots=True, kw_only=True)
class WarmUp:
    """Cold start of the targets of one service.

    Parameters
    ----------
    lasts_s : float
        Time from the start of a target until it is warm, in seconds.
    rate : float
        New flows per second that a cold target can take.
    """

    lasts_s: float
    rate: float


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowConfiguration:
    """One version of the configuration.

    Parameters
    ----------
    version : int
        Increases with each version, not necessarily by 1.
    routes : mapping of (int, int) to FlowRoute
        By IPv4 address as a number, and port.
    services : frozenset of str
        Names of all services.
    idle_timeout_s : float
        Time without packets after which a flow may be removed, in seconds.
    warm_ups : mapping of str to WarmUp
        Services whose cold targets take a limited rate of new flows, by name.
    """

    version: int
    routes: Mapping[tuple[int, int], FlowRoute]
    services: frozenset[str]
    idle_timeout_s: float
    warm_ups: Mapping[str, WarmUp] = field(default_factory=dict)


NO_CONFIGURATION = FlowConfiguration(
    version=-1, routes={}, services=frozenset(), idle_timeout_s=15.0
)


def _scramble(value: int) -> int:
    """Return 32 bits that depend on all bits of ``value``.

    Sums of plain checksums would be equal after opposite changes of two targets.
    """
    value = (value ^ value >> 16) * 0x85EBCA6B & MAX_U32
    value = (value ^ value >> 13) * 0xC2B2AE35 & MAX_U32
    return value ^ value >> 16


def _target_tag(target: FlowTarget) -> int:
    text = f"{target.name} {target.state.value} {target.started_ms}"
    return _scramble(crc32(text.encode()))


def _zone_tag(zone: str) -> int:
    return _scramble(crc32(f"evacuated {zone}".encode()))


def _with_changes(
    targets: Mapping[str, FlowTarget], changes: Mapping[str, FlowTarget | None]
) -> dict[str, FlowTarget]:
    after = dict(targets)
    for name, target in changes.items():
        if target is None:
            after.pop(name, None)
        else:
            after[name] = target
    return after


def _regrouped(
    group: tuple[FlowTarget, ...],
    service: str,
    targets: Mapping[str, FlowTarget],
    changes: Mapping[str, FlowTarget | None],
) -> tuple[FlowTarget, ...]:
    """Return a service's targets after some changes, in order of their names."""
    kept = [target for target in group if target.name not in changes]
    changed = (targets[name] for name in changes if name in targets)
    kept += [target for target in changed if target.service == service]
    return tuple(sorted(kept, key=_target_name))


def _target_name(target: FlowTarget) -> str:
    return target.name


@dataclass(frozen=True, kw_only=True)
class FleetView:
    """Contents of the platform's store as of one revision.

    Parameters
    ----------
    revision : int
        Revision of the store, -1 before the first read.
    era : int
        Number of times that the store has been restored from a copy, 0 if it does not
        say.  Revisions are given out again in each era.
    configuration : FlowConfiguration
        Newest configuration.
    targets : mapping of str to FlowTarget
        By name.
    evacuated_zones : frozenset of str
        Availability zones whose targets take no new flows.
    settles_at : float
        Local time until which missing targets may come back after an outage of the
        store.
    is_complete : bool
        False if a process of an earlier build passed the view on, so that evacuations
        and warm-ups may be missing.
    """

    revision: int = -1
    era: int = 0
    configuration: FlowConfiguration = NO_CONFIGURATION
    targets: Mapping[str, FlowTarget] = field(default_factory=dict)
    evacuated_zones: frozenset[str] = frozenset()
    settles_at: float = -inf
    is_complete: bool = True

    @property
    def position(self) -> tuple[int, int]:
        """Era and revision; the view with the higher position is newer."""
        return self.era, self.revision

    @cached_property
    def by_service(self) -> dict[str, tuple[FlowTarget, ...]]:
        """Targets of each service, in order of their names."""
        grouped: dict[str, list[FlowTarget]] = {}
        for name in sorted(self.targets):
            target = self.targets[name]
            grouped.setdefault(target.service, []).append(target)
        return {service: tuple(found) for service, found in grouped.items()}

    @cached_property
    def by_host(self) -> dict[int, FlowTarget]:
        """The most recently started target of a known service on each instance.

        A target of a service that the configuration does not name counts only if the
        instance has no other one.
        """
        latest: dict[int, FlowTarget] = {}
        for target in self.targets.values():
            known = latest.get(target.host)
            if known is None or self._precedence(known) <= self._precedence(target):
                latest[target.host] = target
        return latest

    def _precedence(self, target: FlowTarget) -> tuple[bool, int]:
        return target.service in self.configuration.services, target.started_ms

    @cached_property
    def targets_tag(self) -> int:
        """Sum of the tags of all targets, which is the same in any order."""
        return sum(map(_target_tag, self.targets.values())) & MAX_U32

    @property
    def contents_rank(self) -> tuple[int, tuple[str, ...]]:
        """Order of views of one position whose targets or evacuations differ."""
        return self.targets_tag, tuple(sorted(self.evacuated_zones))

    @property
    def content_tag(self) -> int:
        """Checksum of version, targets and evacuated zones, to compare views."""
        version_tag = _scramble(crc32(str(self.configuration.version).encode()))
        zones_tag = sum(map(_zone_tag, self.evacuated_zones))
        return (self.targets_tag + version_tag + zones_tag) & MAX_U32

    def changed(
        self,
        *,
        revision: int,
        targets: Mapping[str, FlowTarget | None] | None = None,
        configuration: FlowConfiguration | None = None,
        evacuated_zones: frozenset[str] | None = None,
        settles_at: float = -inf,
    ) -> "FleetView":
        """Return the view after some changes.

        The groups and tags of this view are adjusted instead of being computed anew.

        Parameters
        ----------
        revision : int
            Resulting revision.
        targets : mapping of str to FlowTarget or None
            Changed targets by name, None for a removed one.
        configuration : FlowConfiguration or None
            New configuration, None if it is the same.
        evacuated_zones : frozenset of str or None
            Evacuated availability zones, None if they are the same.
        settles_at : float
            Local time until which missing targets may come back, if later than before.
        """
        changes = targets or {}
        after = FleetView(
            revision=revision,
            era=self.era,
            configuration=configuration or self.configuration,
            targets=_with_changes(self.targets, changes) if changes else self.targets,
            evacuated_zones=(
                self.evacuated_zones if evacuated_zones is None else evacuated_zones
            ),
            settles_at=max(self.settles_at, settles_at),
            is_complete=self.is_complete,
        )
        if not changes:
            kept = {"by_service", "rings", "targets_tag"}
            if after.configuration.services == self.configuration.services:
                kept.add("by_host")
            after.__dict__.update(
                (name, value) for name, value in self.__dict__.items() if name in kept
            )
            return after
        tag = self.targets_tag
        services = set()
        for name, target in changes.items():
            for sign, one in ((-1, self.targets.get(name)), (1, target)):
                if one is not None:
                    tag += sign * _target_tag(one)
                    services.add(one.service)
        grouped = dict(self.by_service)
        for service in services:
            grouped[service] = _regrouped(
                grouped.get(service, ()), service, after.targets, changes
            )
        after.__dict__["rings"] = {
            service: ring
            for service, ring in self.rings.items()
            if service not in services
        }
        after.__dict__["targets_tag"] = tag & MAX_U32
        after.__dict__["by_service"] = {
            s: found for s, found in grouped.items() if found
        }
        return after

    def size(self, service: str) -> int:
        """Return the number of targets of a service, in any state."""
        return len(self.by_service.get(service, ()))

    def homes(self, service: str, key: bytes) -> tuple[FlowTarget, ...]:
        """Return the home targets of a flow, in any state."""
        return self._ring(service).homes(key)

    def neighbors(self, service: str, key: bytes) -> tuple[FlowTarget, ...]:
        """Return the targets that follow a flow's home targets, in any state."""
        return self._ring(service).neighbors(key)

    def _ring(self, service: str) -> TargetRing:
        ring = self.rings.get(service)
        if ring is None:
            ring = self.rings[service] = TargetRing(self.by_service.get(service, ()))
        return ring

    @cached_property
    def rings(self) -> dict[str, TargetRing]:
        """Rings of the services that were asked for."""
        return {}

    def is_eligible(self, target: FlowTarget, now: float) -> bool:
        """Whether a target takes new flows.

        The evacuation of availability zones is not considered here, since a zone is
        emptied and filled gradually.  If an address was reused, only the most recently
        started target counts.
        """
        return target.takes_new_flows(now) and self.by_host[target.host] is target

    def eligible(self, service: str, now: float) -> tuple[FlowTarget, ...]:
        """Return the targets of a service that take new flows."""
        targets = self.by_service.get(service, ())
        return tuple(target for target in targets if self.is_eligible(target, now))

    def route(self, destination: tuple[int, int]) -> FlowRoute | None:
        """Return the route of a service address, if there is one."""
        return self.configuration.routes.get(destination)
