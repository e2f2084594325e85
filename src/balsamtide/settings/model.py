"""Validated settings of a daemon."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from balsamtide.protocol.connection_id import IdKeys
from balsamtide.protocol.datagram import MacKeys
from balsamtide.protocol.messages import Endpoint

__all__ = ["AgentSettings", "BalancerSettings", "Role", "Settings", "TlsFiles"]


class Role(Enum):
    """Role of a daemon.

    A balancer forwards the datagrams of clients to agents, without state per flow. An
    agent terminates QUIC connections and passes their requests on to one target.
    """

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
        CA certificates that verify peers; set for `rpc_tls` only.
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
        Endpoints to listen on by names of service and address; they replace the
        endpoints in the platform's configuration.
    """

    listen: Mapping[tuple[str, str], Endpoint] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings:
    """Settings of an agent.

    Parameters
    ----------
    service : str
        Service name of the agent's target.
    target : str
        Name of the agent's target.
    tls : TlsFiles
        Certificate chain and private key presented to clients of the service.
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
        Role of the daemon.
    instance : str
        Instance identifier, unique among all instances.
    region, zone : str
        Region and availability zone in which the instance runs.
    inner : Endpoint
        UDP endpoint for inner datagrams, which instances exchange.
    rpc : Endpoint
        TCP endpoint for gRPC calls between instances, with grpclib.
    admin : Endpoint
        TCP endpoint of the HTTP listener for status, metrics and events.
    platform : str
        Base URL of the platform, whose HTTP service lists services and targets.
    mac_keys : MacKeys
        Message authentication (MAC) keys for inner datagrams.
    id_keys : IdKeys
        AES-128 keys for QUIC connection IDs.
    rpc_tls : TlsFiles or None
        Mutual TLS between instances; None is allowed only if ``rpc`` is on a
        loopback address.
    drain_timeout_s : float
        Longest wait of a stopping agent for open flows and requests, in seconds.
    log_format : str
        ``"json"`` or ``"text"``.
    log_level : str
        Minimum level of logged messages.
    balancer : BalancerSettings or None
        None unless the role is balancer.
    agent : AgentSettings or None
        None unless the role is agent.
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
