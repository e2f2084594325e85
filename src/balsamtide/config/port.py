"""Abstract interface to the platform, which is read and watched but never written.

"Port" is meant as in the ports-and-adapters pattern; `HttpPlatform` is the adapter.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from balsamtide.config.model import Configuration
from balsamtide.protocol.messages import Endpoint, Entry

__all__ = [
    "Instance",
    "InstanceState",
    "PlatformError",
    "PlatformPort",
    "Snapshot",
]


class PlatformError(Exception):
    """The platform did not respond, or its response is invalid."""


class InstanceState(Enum):
    """State of an instance according to the platform, which may be stale."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """An instance in the list of the platform.

    Parameters
    ----------
    name : str
        Instance identifier.
    role : str
        ``"balancer"`` or ``"agent"``.
    region : str
        Region.
    zone : str
        Availability zone.
    inner : Endpoint
        UDP endpoint for datagrams between balancers and agents.
    rpc : Endpoint
        TCP endpoint for gRPC.
    state : InstanceState
        State according to the platform.
    """

    name: str
    role: str
    region: str
    zone: str
    inner: Endpoint
    rpc: Endpoint
    state: InstanceState = InstanceState.LIVE


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """State of the configuration after an entry of the log.

    Parameters
    ----------
    number : int
        Last entry that the snapshot contains.
    in_force : int
        Number of the last entry in force.
    chain : bytes
        Chain hash over all entries up to ``number``.
    configuration : Configuration
        Configuration in force.
    """

    number: int
    in_force: int
    chain: bytes
    configuration: Configuration


class PlatformPort(ABC):
    """Abstract interface for read access to the platform."""

    @abstractmethod
    async def newest(self) -> int:
        """Return the number of the newest entry according to the platform."""

    @abstractmethod
    async def entries(self, after: int) -> tuple[Entry, ...]:
        """Return entries that follow ``after``, as many as one response holds."""

    @abstractmethod
    async def watch(self, after: int, timeout_s: float) -> tuple[Entry, ...]:
        """Wait for entries that follow ``after``; return none at the timeout."""

    @abstractmethod
    async def snapshot(self) -> Snapshot:
        """Return the newest snapshot, joined from its chunks and verified."""

    @abstractmethod
    async def instances(self) -> tuple[Instance, ...]:
        """Return the instances that the platform lists."""
