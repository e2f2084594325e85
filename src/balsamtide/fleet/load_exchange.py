"""Interface of the loads of targets that processes pass on with their digests."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from balsamtide.protocol.flow_frames import LoadReport

__all__ = ["LoadExchange"]


class LoadExchange(ABC):
    """Chooses the loads that a process sends and takes those that it receives.

    Loads travel only with digests that are sent anyway, so that they may be seconds
    old.
    """

    @abstractmethod
    def outgoing(self, now: float) -> tuple[LoadReport, ...]:
        """Return the loads to send with a digest."""

    @abstractmethod
    def receive(self, reports: Sequence[LoadReport], now: float) -> None:
        """Take the loads of a peer's digest."""
