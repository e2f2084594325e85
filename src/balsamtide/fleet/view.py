"""A process's view of routes and targets."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property
from math import inf
from zlib import crc32

from balsamtide.transport.addresses import format_ipv4

__all__ = [
    "NO_CONFIGURATION",
    "FleetView",
    "FlowConfiguration",
    "FlowRoute",
    "FlowTarget",
    "TargetState",
]


class TargetState(Enum):
    """State of a target in the platform's list.

    ``LAPSED`` targets disappeared from the list while the store was unavailable; they
    count as ready until their grace period ends.
    """

    READY = "ready"
    DRAINING = "draining"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowTarget:
    """One incarnation of a target.

    Parameters
    ----------
    name : str
        Key in the platform's list.
    service : str
        Name of its service.
    host : int
        IPv4 address of its instance, which the agent shares.
    port : int
        Port that it receives packets on.
    zone : str
        Availability zone.
    capacity : int
        Requests that it processes concurrently.
    state : TargetState
        State in the platform's list.
    warm_at : float
        Local time at which its cold start is over.
    started_ms : int
        Unix milliseconds of its start.
    forget_at : float
        Local time at which a lapsed target is removed; infinite for others.
    """

    name: str
    service: str
    host: int
    port: int
    zone: str
    capacity: int
    state: TargetState
    warm_at: float = 0.0
    started_ms: int = 0
    forget_at: float = inf

    def takes_new_flows(self, now: float) -> bool:
        """Whether new flows may be placed here at ``now``."""
        if self.state is TargetState.DRAINING:
            return False
        return now < self.forget_at

    def __str__(self) -> str:
        return f"{self.name}@{format_ipv4(self.host)}"


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
        """Return the service of the flow ``key``, equal in all processes."""
        if len(self.shares) == 1:
            return self.shares[0][0]
        point = crc32(key) % max(1, sum(weight for _, weight in self.shares))
        for service, weight in self.shares:
            if point < weight:
                return service
            point -= weight
        return self.shares[-1][0]


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
    """

    version: int
    routes: Mapping[tuple[int, int], FlowRoute]
    services: frozenset[str]
    idle_timeout_s: float


NO_CONFIGURATION = FlowConfiguration(
    version=-1, routes={}, services=frozenset(), idle_timeout_s=15.0
)


@dataclass(frozen=True, kw_only=True)
class FleetView:
    """Contents of the platform's store as of one revision.

    Parameters
    ----------
    revision : int
        Revision of the store, -1 before the first read.
    configuration : FlowConfiguration
        Newest configuration.
    targets : mapping of str to FlowTarget
        By name.
    settles_at : float
        Local time until which missing targets may come back after an outage of the
        store.
    """

    revision: int = -1
    configuration: FlowConfiguration = NO_CONFIGURATION
    targets: Mapping[str, FlowTarget] = field(default_factory=dict)
    settles_at: float = -inf

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
        """The most recently started target on each instance."""
        latest: dict[int, FlowTarget] = {}
        for target in self.targets.values():
            known = latest.get(target.host)
            if known is None or known.started_ms <= target.started_ms:
                latest[target.host] = target
        return latest

    @cached_property
    def content_tag(self) -> int:
        """Checksum of the configuration version and the targets, to compare views."""
        targets = [
            (name, target.state.value, target.started_ms)
            for name, target in sorted(self.targets.items())
        ]
        return crc32(repr((self.configuration.version, targets)).encode())

    def eligible(self, service: str, now: float) -> tuple[FlowTarget, ...]:
        """Return the targets of a service that take new flows.

        If an address was reused, only the most recently started target counts.
        """
        return tuple(
            target
            for target in self.by_service.get(service, ())
            if target.takes_new_flows(now) and self.by_host[target.host] is target
        )

    def route(self, destination: tuple[int, int]) -> FlowRoute | None:
        """Return the route of a service address, if there is one."""
        return self.configuration.routes.get(destination)
