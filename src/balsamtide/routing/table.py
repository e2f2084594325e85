"""Routing tables: lookups of the forwarding path, precomputed per configuration."""

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
    """Addresses of one target and its agent.

    Parameters
    ----------
    service, target : int
        Numbers of the service and the target.
    name : str
        Name of the target.
    zone : str
        Availability zone.
    agent : Endpoint
        UDP endpoint of the agent for inner datagrams.
    rpc : Endpoint
        TCP endpoint of the agent for gRPC.
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
        Host and port that callers connect to.
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
    """Lookups of one service; routes and picker are built on first use.

    Parameters
    ----------
    name : str
        Name of the service.
    service : Service
        Configuration of the service.
    eligible : frozenset of int
        Numbers of the active targets that may receive new flows.
    picker : callable
        Factory of the picker.
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
        """Routes of the targets that are not disabled, by target number."""
        return {
            target.number: _route(self.service.number, name, target)
            for name, target in self.service.targets.items()
            if target.state is not TargetState.DISABLED
        }

    @cached_property
    def picker(self) -> TargetPicker | None:
        """Picker over the eligible targets, or over all active ones if none is."""
        active = [
            Candidate(target.number, target.weight)
            for target in self.service.targets.values()
            if target.state is TargetState.ACTIVE
        ]
        eligible = [item for item in active if item.number in self.eligible]
        candidates = eligible or active
        return self.picker_factory(candidates) if candidates else None

    def is_built_from(self, service: Service, picker: PickerFactory) -> bool:
        """Return whether the table was built from ``service`` and ``picker``."""
        return self.service is service and self.picker_factory is picker

    def pick(self, key: bytes) -> TargetRoute | None:
        """Return the target of a new flow, None if no target is active."""
        picker = self.picker
        return None if picker is None else self.routes[picker.pick(key)]


class RoutingTable:
    """Immutable lookups for one configuration and one set of eligible targets.

    Parameters
    ----------
    configuration : Configuration
        Configuration that the table was built from.
    version : int
        Version of the configuration.
    services : mapping of str to ServiceTable
        Tables by service name.
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
        """Return the target of a new flow.

        Parameters
        ----------
        service : int
            Service number.
        key : bytes
            Bytes that all first datagrams of the flow have in common.

        Returns
        -------
        TargetRoute or None
            An eligible target; any active one if none is eligible; None if none
            is active or the service is unknown.
        """
        table = self.by_number.get(service)
        return None if table is None else table.pick(key)

    def find(self, destination: Destination) -> TargetRoute | None:
        """Return the target of a connection ID, None if unknown or disabled."""
        table = self.by_number.get(destination.service)
        return None if table is None else table.routes.get(destination.target)

    def address_of(self, service: str, address: str) -> ServiceAddress | None:
        """Return the address with these names, None if there is none."""
        table = self.services.get(service)
        if table is None:
            return None
        for candidate in table.addresses:
            if candidate.name == address:
                return candidate
        return None

    @property
    def addresses(self) -> tuple[ServiceAddress, ...]:
        """Addresses of all services."""
        return tuple(
            address for table in self.services.values() for address in table.addresses
        )


def _eligible_numbers(service: Service, is_eligible: Eligibility) -> frozenset[int]:
    return frozenset(
        target.number
        for name, target in service.targets.items()
        if target.state is TargetState.ACTIVE and is_eligible(name, target)
    )


class _ServiceTableBuilder:
    """Builds service tables and reuses unchanged ones of ``previous``."""

    def __init__(
        self,
        *,
        is_eligible: Eligibility,
        previous: RoutingTable | None,
        recheck: Collection[str] | None,
        picker: PickerFactory,
    ) -> None:
        self.is_eligible = is_eligible
        self.previous_tables = {} if previous is None else previous.services
        self.recheck = recheck
        self.picker = picker

    def build(self, name: str, service: Service) -> ServiceTable:
        """Return the table of one service, reused if nothing changed."""
        table = self.previous_tables.get(name)
        if table is not None and not table.is_built_from(service, self.picker):
            table = None
        if table is not None and self.recheck is not None and name not in self.recheck:
            return table
        eligible = _eligible_numbers(service, self.is_eligible)
        if table is not None and table.eligible == eligible:
            return table
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
    """Build the routing table of a configuration.

    If ``previous`` was built from the same configuration object, only the services
    in ``recheck`` are visited, and ``previous`` itself is returned if nothing differs.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    version : int
        Version of the configuration.
    is_eligible : callable
        Returns, for the name and configuration of a target, whether it may receive
        new flows.
    previous : RoutingTable or None
        Table whose unchanged services are reused.
    recheck : collection of str or None
        Names of the services whose targets may have changed eligibility since
        ``previous``; None for all.
    picker : callable
        Factory of the pickers; must be that of ``previous`` if ``recheck`` is given.
    """
    builder = _ServiceTableBuilder(
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
