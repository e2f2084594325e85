"""The port to the platform's store, in the product's own terms."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from balsamtide.fleet.view import FlowConfiguration, FlowTarget

__all__ = [
    "ConfigurationChange",
    "FleetStore",
    "HistoryGoneError",
    "Listing",
    "StoreChanges",
    "StoreError",
    "TargetChange",
]


class StoreError(Exception):
    """The store did not answer, or answered with something unusable."""


class HistoryGoneError(StoreError):
    """The store no longer has the changes that were asked for."""


@dataclass(frozen=True, slots=True)
class TargetChange:
    """What the store holds under a target's name.

    Parameters
    ----------
    name : str
        Name of the target.
    target : FlowTarget or None
        None if it was removed or the record names no usable target.
    is_removed : bool
        Whether the record was removed.
    """

    name: str
    target: FlowTarget | None
    is_removed: bool = False


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The newest configuration in the store."""

    configuration: FlowConfiguration


@dataclass(frozen=True, slots=True)
class Listing:
    """Everything in the store, at least as new as ``revision``."""

    revision: int
    configuration: FlowConfiguration | None
    targets: tuple[FlowTarget, ...]


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """What changed up to ``revision``, in order."""

    revision: int
    changes: tuple[TargetChange | ConfigurationChange, ...]


class FleetStore(ABC):
    """Read access to the platform's store; every failure is a `StoreError`."""

    @abstractmethod
    async def read_all(self) -> Listing:
        """Return everything that the store holds."""

    @abstractmethod
    async def watch(self, after: int) -> StoreChanges:
        """Wait for changes after a revision; return none at the end of the wait.

        Raises
        ------
        HistoryGoneError
            If the store no longer has these changes.
        """
