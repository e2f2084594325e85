"""What the decision classes for raw packets ask their task to do."""

from dataclasses import dataclass

from balsamtide.protocol.flow_frames import Frame

__all__ = ["Action", "PullEnded", "SendFrame", "ToClient", "ToTarget"]


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Send a frame to the process on another instance."""

    host: int
    frame: Frame


@dataclass(frozen=True, slots=True)
class ToClient:
    """Send a packet to a client's instance."""

    host: int
    packet: bytes


@dataclass(frozen=True, slots=True)
class ToTarget:
    """Deliver a packet to the target beside this agent."""

    packet: bytes


@dataclass(frozen=True, slots=True)
class PullEnded:
    """Report the end of a transfer of the view from another instance.

    Parameters
    ----------
    host : int
        The instance.
    problem : str
        Why the transfer failed, empty if it did not.
    """

    host: int
    problem: str = ""


Action = SendFrame | ToClient | ToTarget | PullEnded
