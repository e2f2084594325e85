"""Settings of a daemon after validation."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from balsamtide.protocol.connection_id import IdKeys
from balsamtide.protocol.datagram import MacKeys
from balsamtide.protocol.messages import Endpoint

__all__ = ["AgentSettings", "BalancerSettings", "Role", "Settings", "TlsFiles"]


class Role(Enum):
    """What a daemon does."""

    BALANCER = "balancer"
    AGENT = "agent"


@dataclass(frozen=True, slots=True, kw_only=True)
class TlsFiles:
    """Paths of PEM files.

    Parameters
    ----------
    certificate : Path
        Certificate chain.
    private_key : Path
        Private key.
    authority : Path or None
        Certificates of the authorities that peers must have.
    """

    certificate: Path
    private_key: Path
    authority: Path | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class BalancerSettings:
    """Settings of a balancer.

    Parameters
    ----------
    listen : mapping of (str, str) to Endpoint
        Local endpoint by names of service and address, where it differs from the
        published one.
    """

    listen: Mapping[tuple[str, str], Endpoint] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings:
    """Settings of an agent.

    Parameters
    ----------
    service : str
        Name of the service of its target.
    target : str
        Name of its target.
    tls : TlsFiles
        Certificate shown to callers.
    """

    service: str
    target: str
    tls: TlsFiles


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one daemon.

    Parameters
    ----------
    role : Role
        What the daemon does.
    instance : str
        Instance identifier, unique in the fleet.
    region, zone : str
        Region and availability zone.
    inner : Endpoint
        UDP endpoint for inner datagrams.
    rpc : Endpoint
        TCP endpoint for grpclib.
    admin : Endpoint
        TCP endpoint of the admin listener.
    platform : str
        Base URL of the platform's configuration service.
    mac_keys : MacKeys
        Keys of inner datagrams.
    id_keys : IdKeys
        Keys of connection IDs.
    rpc_tls : TlsFiles or None
        Certificates of grpclib connections; None only where settings allow it.
    drain_timeout_s : float
        Longest time a planned stop may take.
    log_format : str
        ``"json"`` or ``"text"``.
    log_level : str
        Lowest level that is logged.
    balancer : BalancerSettings or None
        Present for the role balancer.
    agent : AgentSettings or None
        Present for the role agent.
    """

    role: Role
    instance: str
    region: str
    zone: str
    inner: Endpoint
    rpc: Endpoint
    admin: Endpoint
    platform: str
    mac_keys: MacKeys
    id_keys: IdKeys
    rpc_tls: TlsFiles | None = None
    drain_timeout_s: float = 3600.0
    log_format: str = "json"
    log_level: str = "INFO"
    balancer: BalancerSettings | None = None
    agent: AgentSettings | None = None
