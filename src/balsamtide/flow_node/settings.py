"""Settings of a process that forwards raw packets."""

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "Address",
    "AgentTarget",
    "FlowRole",
    "FlowSettings",
    "FlowSettingsError",
    "StoreLimits",
    "WarmUpLimit",
]

Address = tuple[str, int]


class FlowSettingsError(Exception):
    """The settings are not valid.

    Parameters
    ----------
    problems : tuple of str
        Every problem found.
    """

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class FlowRole(Enum):
    """Role of a process."""

    BALANCER = "balancer"
    AGENT = "agent"


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLimits:
    """Limits of the platform's store, which are validated but not used.

    Parameters
    ----------
    reads_per_s : float
        Read requests per second, of all processes together.
    history_s : float
        Time for which the store keeps its changes, seconds.
    """

    reads_per_s: float
    history_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WarmUpLimit:
    """Most new flows that a cold target may get within any second.

    Parameters
    ----------
    factor : float
        Multiple of the rate that the service's warm-up states.
    margin : float
        Flows that are added to it.
    """

    factor: float
    margin: float


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentTarget:
    """The target next to an agent.

    Parameters
    ----------
    service : str
        Name of the target's service.
    local_address : tuple of (str, int)
        Address of the agent to which the target sends its packets.
    target_address : tuple of (str, int)
        Address on which the target receives packets.
    """

    service: str
    local_address: Address
    target_address: Address


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowSettings:
    """Settings of one process.

    The names of changed fields are reported by the event ``settings-reloaded``.

    Parameters
    ----------
    instance : str
        Instance identifier, unique in the fleet.
    role : FlowRole
        Role of the process.
    host : str
        IPv4 address of the instance.
    zone : str
        Availability zone.
    packets : tuple of (str, int)
        Address on which a balancer receives clients' packets; packets for clients are
        sent to the same port.
    readiness : tuple of (str, int)
        TCP address of the readiness probe.
    inner : tuple of (str, int)
        UDP and TCP address for traffic between processes of the fleet.
    seeds : tuple of str
        IPv4 addresses of instances for peer discovery; they may be down.
    store : tuple of (str, int)
        Address of the platform's store.
    store_limits : StoreLimits
        Limits of the store.
    drain_timeout_s : float
        The platform's limit for a draining target, after which it gets no new flows,
        seconds; validated but not used.
    stop_timeout_s : float
        Time from the stop request until the process is killed, seconds.
    flow_lifetime_s : float
        Age at which the record of a flow may be deleted, seconds.
    agent : AgentTarget or None
        Target of an agent, None for a balancer.
    metrics_port : int
        TCP port of the metrics endpoint, 0 to disable it.
    zones : tuple of str
        All availability zones, in ascending order.
    warm_up_limit : WarmUpLimit or None
        Limit for cold targets, None if the platform states none.
    evacuation_timeout_s : float or None
        Time within which the targets of an evacuated availability zone get no more new
        flows, in seconds; None if the platform evacuates no zones.
    """

    instance: str
    role: FlowRole
    host: str
    zone: str
    packets: Address
    readiness: Address
    inner: Address
    seeds: tuple[str, ...]
    store: Address
    store_limits: StoreLimits
    drain_timeout_s: float
    stop_timeout_s: float
    flow_lifetime_s: float
    agent: AgentTarget | None = None
    metrics_port: int = 0
    zones: tuple[str, ...] = ()
    warm_up_limit: WarmUpLimit | None = None
    evacuation_timeout_s: float | None = None
