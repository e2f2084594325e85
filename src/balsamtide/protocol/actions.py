"""What a sans-I/O decision class asks its task to do."""

from dataclasses import dataclass

from balsamtide.protocol.messages import Endpoint, Message

__all__ = ["Send"]


@dataclass(frozen=True, slots=True)
class Send:
    """Send one message to an inner endpoint.

    Parameters
    ----------
    destination : Endpoint
        Inner endpoint of the receiver.
    message : Message
        The message.
    """

    destination: Endpoint
    message: Message
