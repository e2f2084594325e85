"""The shape of every sans-I/O decision class that talks to peers."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from balsamtide.protocol.actions import Send
from balsamtide.protocol.messages import Endpoint, Message

__all__ = ["Participant"]


class Participant(ABC):
    """A protocol participant without sockets, clocks or tasks.

    The owner feeds it messages and the current time, and sends what it returns.
    Times are seconds on the owner's monotonic clock.
    """

    @abstractmethod
    def receive(
        self, message: Message, *, source: Endpoint, now: float
    ) -> Sequence[Send]:
        """Take one message and return what to send."""

    @abstractmethod
    def tick(self, now: float) -> Sequence[Send]:
        """Do what is due at ``now`` and return what to send."""

    @property
    @abstractmethod
    def deadline(self) -> float:
        """Time at which ``tick`` is next due."""
