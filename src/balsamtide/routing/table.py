"""Lookups that the forwarding path needs, precomputed for one configuration."""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property

from balsamtide.config.model import Configuration, Service, Target, TargetState
from balsamtide.protocol.connection_id import Destination
from balsamtide.protocol.messages import Endpoint
from balsamtide.routing.picker import Candidate, TargetPicker
from balsamtide.routing.rendezvous import Rendezvous

__all__ = [
    "PickerFactory",
    "RoutingTable",
    "ServiceAddress",
    "ServiceTable",
    "TargetRoute",
    "build_table",
]

PickerFactory = Callable[[Sequence[Candidate]], TargetPicker]
Eligibility = Callable[[str, Target], bool]


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRoute:
    """The way to one target.

    Parameters
    ----------
    service, target : int
        Numbers of the service and the target.
    name : str
        Name of the target.
    zone : str
        Availability zone.
    agent : Endpoint
        UDP endpoint of its agent for inner datagrams.
    rpc : Endpoint
        TCP endpoint of its agent for grpclib.
    """

    service: int
    target: int
    name: str
    zone: str
    agent: Endpoint
    rpc: Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceAddress:
    """A public address of a service.

    Parameters
    ----------
    service : int
        Number of the service.
    service_name, name : str
        Names of the service and of the address.
    endpoint : Endpoint
        What callers see.
    """

    service: int
    service_name: str
    name: str
    endpoint: Endpoint


def _route(service: int, name: str, target: Target) -> TargetRoute:
    return TargetRoute(
        service=service,
        target=target.number,
        name=name,
        zone=target.zone,
        agent=Endpoint(target.agent_host, target.agent_port),
        rpc=Endpoint(target.agent_host, target.agent_rpc_port),
    )


class ServiceTable:
    """Lookups of one service; routes and picker are built at their first use.

    Parameters
    ----------
    name : str
        Name of the service.
    service : Service
        The service.
    eligible : frozenset of int
        Numbers of the active targets that may be given new flows.
    picker : callable
        Builds the picker.
    """

    def __init__(
        self,
        name: str,
        service: Service,
        *,
        eligible: frozenset[int],
        picker: PickerFactory,
    ) -> None:
        self.name = name
        self.service = service
        self.eligible = eligible
        self.picker_factory = picker
        self.addresses = tuple(
            ServiceAddress(
                service=service.number,
                service_name=name,
                name=address_name,
                endpoint=Endpoint(address.host, address.port),
            )
            for address_name, address in service.addresses.items()
        )

    @cached_property
    def routes(self) -> Mapping[int, TargetRoute]:
        """Routes of all targets that are not disabled, by number."""
        return {
            target.number: _route(self.service.number, name, target)
            for name, target in self.service.targets.items()
            if target.state is not TargetState.DISABLED
        }

    @cached_property
    def picker(self) -> TargetPicker | None:
        """The picker among eligible targets, or all active ones if none is."""
        active = [
            Candidate(target.number, target.weight)
            for target in self.service.targets.values()
            if target.state is TargetState.ACTIVE
        ]
        eligible = [item for item in active if item.number in self.eligible]
        candidates = eligible or active
        return self.picker_factory(candidates) if candidates else None

    def is_built_from(self, service: Service, picker: PickerFactory) -> bool:
        """Tell whether the table stands for ``service`` and picks by ``picker``."""
        return self.service is service and self.picker_factory is picker

    def pick(self, key: bytes) -> TargetRoute | None:
        """Return the target for a new flow, None if no target is active."""
        picker = self.picker
        return None if picker is None else self.routes[picker.pick(key)]


class RoutingTable:
    """All lookups for one configuration and one view of liveness; immutable.

    Parameters
    ----------
    configuration : Configuration
        The configuration.
    version : int
        Its version.
    services : mapping of str to ServiceTable
        Tables of the services by name.
    """

    def __init__(
        self,
        configuration: Configuration,
        *,
        version: int,
        services: Mapping[str, ServiceTable],
    ) -> None:
        self.configuration = configuration
        self.version = version
        self.services = services
        self.by_number = {
            table.service.number: table for table in self.services.values()
        }

    def pick(self, service: int, key: bytes) -> TargetRoute | None:
        """Return the target for the first datagram of a flow.

        Parameters
        ----------
        service : int
            Service number.
        key : bytes
            What is the same in all first datagrams of the flow.

        Returns
        -------
        TargetRoute or None
            An active and eligible target, any active one where none is eligible,
            None where none is active.
        """
        table = self.by_number.get(service)
        return None if table is None else table.pick(key)

    def find(self, destination: Destination) -> TargetRoute | None:
        """Return the target that a connection ID names, unless it is disabled."""
        table = self.by_number.get(destination.service)
        return None if table is None else table.routes.get(destination.target)

    def address_of(self, service: str, address: str) -> ServiceAddress | None:
        """Return an address by the names of service and address."""
        table = self.services.get(service)
        if table is None:
            return None
        for candidate in table.addresses:
            if candidate.name == address:
                return candidate
        return None

    @property
    def addresses(self) -> tuple[ServiceAddress, ...]:
        """All addresses of all services."""
        return tuple(
            address for table in self.services.values() for address in table.addresses
        )


def _eligible(service: Service, is_eligible: Eligibility) -> frozenset[int]:
    return frozenset(
        target.number
        for name, target in service.targets.items()
        if target.state is TargetState.ACTIVE and is_eligible(name, target)
    )


class _Builder:
    """Builds tables of services, or keeps those of ``previous``."""

    def __init__(
        self,
        *,
        is_eligible: Eligibility,
        previous: RoutingTable | None,
        recheck: Collection[str] | None,
        picker: PickerFactory,
    ) -> None:
        self.is_eligible = is_eligible
        self.kept = {} if previous is None else previous.services
        self.recheck = recheck
        self.picker = picker

    def build(self, name: str, service: Service) -> ServiceTable:
        """Return the table of one service."""
        kept = self.kept.get(name)
        if kept is not None and not kept.is_built_from(service, self.picker):
            kept = None
        if kept is not None and self.recheck is not None and name not in self.recheck:
            return kept
        eligible = _eligible(service, self.is_eligible)
        if kept is not None and kept.eligible == eligible:
            return kept
        return ServiceTable(name, service, eligible=eligible, picker=self.picker)


def build_table(
    configuration: Configuration,
    *,
    version: int,
    is_eligible: Eligibility,
    previous: RoutingTable | None = None,
    recheck: Collection[str] | None = None,
    picker: PickerFactory = Rendezvous,
) -> RoutingTable:
    """Return the table for ``configuration``.

    Where ``previous`` was built from the same configuration object and nothing
    differs, it is returned itself; the time then depends on ``recheck`` alone.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    version : int
        Its version.
    is_eligible : callable
        Whether a target, given by its name and definition, may get new flows.
    previous : RoutingTable or None
        A table whose unchanged parts are kept.
    recheck : collection of str or None
        Names of the services whose targets may have become eligible or not since
        ``previous``; None for all.
    picker : callable
        Builds the picker of a service; with ``recheck`` the same as before.
    """
    builder = _Builder(
        is_eligible=is_eligible, previous=previous, recheck=recheck, picker=picker
    )
    services = configuration.services
    if previous is None or previous.configuration is not configuration:
        tables = {name: builder.build(name, services[name]) for name in services}
        return RoutingTable(configuration, version=version, services=tables)
    checked = services.keys() if recheck is None else services.keys() & set(recheck)
    changed = {}
    for name in checked:
        table = builder.build(name, services[name])
        if table is not previous.services[name]:
            changed[name] = table
    if not changed and previous.version == version:
        return previous
    tables = {**previous.services, **changed}
    return RoutingTable(configuration, version=version, services=tables)
