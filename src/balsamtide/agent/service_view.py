"""Finds targets and endpoints in the configuration of the agent's service."""

from balsamtide.config.model import Configuration, Service, Target, TargetState
from balsamtide.protocol.messages import Endpoint

__all__ = ["ServiceView"]


class ServiceView:
    """Finds targets and endpoints of one service.

    Each configuration version updates it in place.

    Parameters
    ----------
    service_name : str
        Name of the service.
    own_target : str
        Name of the agent's target.
    service : Service
        Configuration of the service.
    """

    def __init__(self, service_name: str, own_target: str, service: Service) -> None:
        self.service_name = service_name
        self.own_target = own_target
        self.update(service)

    @classmethod
    def find(
        cls, configuration: Configuration, service_name: str, own_target: str
    ) -> "ServiceView | None":
        """Return a view, or None if the configuration lacks the target."""
        service = configuration.services.get(service_name)
        if service is None or own_target not in service.targets:
            return None
        return cls(service_name, own_target, service)

    def update(self, service: Service) -> None:
        """Replace the configuration of the service."""
        self.service = service
        # A removed target is kept, as the agent still serves its open flows.
        self.target: Target = service.targets.get(self.own_target) or self.target
        self.by_number = {t.number: (n, t) for n, t in service.targets.items()}

    @property
    def is_listed(self) -> bool:
        """Whether the configuration contains the agent's target."""
        return self.own_target in self.service.targets

    @property
    def is_active(self) -> bool:
        """Whether the agent's target may receive new work."""
        return self.is_listed and self.target.state is TargetState.ACTIVE

    def target_name(self, number: int | None) -> str:
        """Return the name of a target; None stands for the agent's own."""
        if number is None:
            return self.own_target
        found = self.by_number.get(number)
        return found[0] if found else f"target-{number}"

    def zone(self, name: str) -> str:
        """Return the availability zone of the target ``name``, empty if unknown."""
        target = self.service.targets.get(name)
        return target.zone if target else ""

    def rpc_endpoint(self, number: int) -> Endpoint | None:
        """Return the RPC endpoint of a target's agent, None if unknown."""
        found = self.by_number.get(number)
        return Endpoint(found[1].agent_host, found[1].agent_rpc_port) if found else None

    def agent_endpoint(self, number: int) -> Endpoint | None:
        """Return a target's agent endpoint for datagrams between processes, or None."""
        found = self.by_number.get(number)
        return Endpoint(found[1].agent_host, found[1].agent_port) if found else None

    def other_targets(self) -> list[Target]:
        """Return the other targets of the service."""
        own = self.target.number
        return [t for t in self.service.targets.values() if t.number != own]
