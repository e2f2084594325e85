"""Interface of the sans-I/O protocol classes that exchange messages with peers."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from balsamtide.protocol.actions import Send
from balsamtide.protocol.messages import Endpoint, Message

__all__ = ["Participant"]


class Participant(ABC):
    """A protocol state machine without sockets, clocks or tasks.

    The caller passes in messages and the current time, and sends what is returned.
    Times are seconds on the caller's monotonic clock.
    """

    @abstractmethod
    def receive(
        self, message: Message, *, source: Endpoint, now: float
    ) -> Sequence[Send]:
        """Handle one message and return the messages to send."""

    @abstractmethod
    def tick(self, now: float) -> Sequence[Send]:
        """Run the work that is due at ``now`` and return the messages to send."""

    @property
    @abstractmethod
    def deadline(self) -> float:
        """Time at which ``tick`` is next due, seconds."""
