"""Interface to the platform's store, independent of its format."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from balsamtide.fleet.view import FlowConfiguration, FlowTarget

__all__ = [
    "ConfigurationChange",
    "EvacuationChange",
    "FleetStore",
    "HistoryGoneError",
    "Listing",
    "ResponseTooLargeError",
    "StoreChanges",
    "StoreError",
    "TargetChange",
]


class StoreError(Exception):
    """Raised when the store does not answer or sends an unusable answer."""


class HistoryGoneError(StoreError):
    """Raised when the store no longer has the requested changes."""


class ResponseTooLargeError(StoreError):
    """Raised when a response exceeds what a process reads at once."""


@dataclass(frozen=True, slots=True)
class TargetChange:
    """New state of a target's record.

    Parameters
    ----------
    name : str
        Name of the target.
    target : FlowTarget or None
        None if the record was removed or is unusable.
    is_removed : bool
        Whether the record was removed.
    """

    name: str
    target: FlowTarget | None
    is_removed: bool = False


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """New configuration in the store."""

    configuration: FlowConfiguration


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """Start or end of the evacuation of an availability zone."""

    zone: str
    is_evacuated: bool


@dataclass(frozen=True, slots=True)
class Listing:
    """Full contents of the store, at least as new as ``revision`` of ``era``."""

    revision: int
    configuration: FlowConfiguration | None
    targets: tuple[FlowTarget, ...]
    era: int = 0
    evacuated_zones: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class StoreChanges:
    """Changes up to ``revision`` of ``era``, in order."""

    revision: int
    changes: tuple[TargetChange | ConfigurationChange | EvacuationChange, ...]
    era: int = 0


class FleetStore(ABC):
    """Read access to the platform's store; failures raise `StoreError`."""

    @abstractmethod
    async def read_all(self) -> Listing:
        """Return the full contents of the store."""

    @abstractmethod
    async def watch(self, after: int) -> StoreChanges:
        """Wait for changes after a revision; return no changes on a timeout.

        Raises
        ------
        HistoryGoneError
            If the store no longer has the changes after ``after``.
        ResponseTooLargeError
            If the changes are too large to be read at once.
        """
