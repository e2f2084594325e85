"""Lookup of services and groups from the instance list and the configuration."""

from collections.abc import Sequence

from balsamtide.config.model import Service, Target
from balsamtide.config.port import Instance
from balsamtide.membership.log import EntryLog
from balsamtide.protocol.messages import Endpoint

__all__ = ["Directory"]

AGENT = "agent"
# Maximum number of entries of the agent-to-service cache; only marked agents and the
# local one are looked up.
SERVICE_CACHE_SIZE = 4096


def agent_endpoint(target: Target) -> Endpoint:
    """Return the UDP endpoint for messages to the agent that serves ``target``."""
    return Endpoint(target.agent_host, target.agent_port)


class Directory:
    """Finds the service of an agent and the monitoring group of the local instance.

    Parameters
    ----------
    local : Instance
        The local instance.
    log : EntryLog
        Log that holds the configuration in force.
    """

    def __init__(self, local: Instance, log: EntryLog) -> None:
        self.local = local
        self.log = log
        self.names_by_endpoint: dict[Endpoint, str] = {local.inner: local.name}
        self.endpoints_by_name: dict[str, Endpoint] = {local.name: local.inner}
        self.zones: frozenset[str] = frozenset({local.zone})
        self.zone_balancers: tuple[Instance, ...] = ()
        self.service_cache: dict[str, str] = {}

    def update(self, instances: Sequence[Instance]) -> None:
        """Replace the instance list.

        Kept are the names and endpoints of agents, all zones, and the balancers of the
        local zone.
        """
        agents = [each for each in instances if each.role == AGENT]
        self.names_by_endpoint = {each.inner: each.name for each in agents}
        self.endpoints_by_name = {each.name: each.inner for each in agents}
        self.zones = frozenset(each.zone for each in instances) | {self.local.zone}
        self.zone_balancers = tuple(
            each
            for each in instances
            if each.role != AGENT and each.zone == self.local.zone
        )

    def instance_at(self, endpoint: Endpoint) -> str | None:
        """Return the name of the agent at a UDP endpoint, or None if not listed."""
        return self.names_by_endpoint.get(endpoint)

    def service_of(self, name: str) -> str | None:
        """Return the service of an agent, or None if it serves none.

        Parameters
        ----------
        name : str
            Instance name of the agent, or the name of its target if the agent is not
            in the instance list.
        """
        services = self.log.held.configuration.services
        endpoint = self.endpoints_by_name.get(name)
        known = self.service_cache.get(name)
        if known in services and _has_agent(services[known], name, endpoint):
            return known
        for service_name, service in services.items():
            if _has_agent(service, name, endpoint):
                if len(self.service_cache) >= SERVICE_CACHE_SIZE:
                    self.service_cache.clear()
                self.service_cache[name] = service_name
                return service_name
        self.service_cache.pop(name, None)
        return None

    def members(self, service: str) -> list[tuple[str, str]]:
        """Return the instance name of the agent, and the zone, of each target.

        For an agent that is not in the instance list the target name is returned.
        """
        targets = self.log.held.configuration.services[service].targets
        return [
            (self.names_by_endpoint.get(agent_endpoint(target), name), target.zone)
            for name, target in targets.items()
        ]

    def group(self) -> list[Instance]:
        """Return the other members of the local monitoring group.

        The group consists of the agents of the same service for an agent, and of the
        balancers of the local zone for a balancer.
        """
        if self.local.role != AGENT:
            return [
                each for each in self.zone_balancers if each.name != self.local.name
            ]
        service = self.service_of(self.local.name)
        if service is None:
            return []
        targets = self.log.held.configuration.services[service].targets.values()
        return [
            self._agent(name, target)
            for target in targets
            if (name := self.names_by_endpoint.get(agent_endpoint(target))) is not None
            and name != self.local.name
        ]

    def _agent(self, name: str, target: Target) -> Instance:
        return Instance(
            name=name,
            role=AGENT,
            region=self.local.region,
            zone=target.zone,
            inner=agent_endpoint(target),
            rpc=Endpoint(target.agent_host, target.agent_rpc_port),
        )


def _has_agent(service: Service, name: str, endpoint: Endpoint | None) -> bool:
    if name in service.targets:
        return True
    if endpoint is None:
        return False
    return any(
        target.agent_port == endpoint.port and target.agent_host == endpoint.host
        for target in service.targets.values()
    )
