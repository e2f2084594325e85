"""The port to the platform: what can be read and watched, and nothing else."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from balsamtide.config.model import Configuration
from balsamtide.protocol.messages import Endpoint, Entry

__all__ = [
    "Instance",
    "InstanceState",
    "PlatformError",
    "PlatformPort",
    "Snapshot",
]

from enum import Enum


class PlatformError(Exception):
    """The platform did not answer, or answered with something unusable."""


class InstanceState(Enum):
    """What the platform says of an instance; it can lag."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One line of the platform's list of instances.

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
        Inner endpoint, UDP.
    rpc : Endpoint
        Endpoint for grpclib, TCP.
    state : InstanceState
        Live or leaving.
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
    """The state after some entry of the log.

    Parameters
    ----------
    number : int
        Last entry that the snapshot contains.
    in_force : int
        Number of the last entry in force.
    chain : bytes
        Hash over all entries up to ``number``.
    configuration : Configuration
        The configuration in force.
    """

    number: int
    in_force: int
    chain: bytes
    configuration: Configuration


class PlatformPort(ABC):
    """Read access to the platform."""

    @abstractmethod
    async def newest(self) -> int:
        """Return the number that the platform calls its newest entry."""

    @abstractmethod
    async def entries(self, after: int) -> tuple[Entry, ...]:
        """Return the entries after ``after``, as many as one read gives."""

    @abstractmethod
    async def watch(self, after: int, timeout_s: float) -> tuple[Entry, ...]:
        """Wait for entries after ``after``; return none at the timeout."""

    @abstractmethod
    async def snapshot(self) -> Snapshot:
        """Return the newest snapshot, its chunks joined and checked."""

    @abstractmethod
    async def instances(self) -> tuple[Instance, ...]:
        """Return the list of instances."""
