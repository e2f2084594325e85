"""What happens on flows, as the flow engine reports it."""

from dataclasses import dataclass

from balsamtide.protocol.messages import Endpoint
from balsamtide.requests.runner import Header

__all__ = [
    "AnswerDrained",
    "BodyReceived",
    "FlowClosed",
    "FlowEvent",
    "RequestCancelled",
    "RequestOpened",
    "StreamKey",
]


@dataclass(frozen=True, slots=True)
class StreamKey:
    """One request stream of one flow."""

    flow: int
    stream: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestOpened:
    """A caller opened a request.

    Parameters
    ----------
    key : StreamKey
        Where it arrived.
    caller : Endpoint
        Who sent it.
    headers : tuple of (bytes, bytes)
        Header fields with pseudo-headers.
    is_ended : bool
        Whether it has no body.
    forwarding_s : float
        Time its first datagram spent between balancer and here, seconds.
    round_trip_s : float
        Round-trip time to the caller, seconds.
    handshake_s : float
        Time the flow's handshake took, seconds; 0 but for the first request.
    is_steered : bool
        Whether the flow was is_steered here by a peer.
    balancer_version : int
        Configuration version that the balancer routed by.
    """

    key: StreamKey
    caller: Endpoint
    headers: tuple[Header, ...]
    is_ended: bool
    forwarding_s: float = 0.0
    round_trip_s: float = 0.0
    handshake_s: float = 0.0
    is_steered: bool = False
    balancer_version: int = 0


@dataclass(frozen=True, slots=True)
class BodyReceived:
    """A part of a request's body arrived."""

    key: StreamKey
    data: bytes
    is_ended: bool


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """A caller gave up a request."""

    key: StreamKey


@dataclass(frozen=True, slots=True)
class AnswerDrained:
    """There is room for more of an answer.

    Parameters
    ----------
    key : StreamKey
        The request.
    lossy_s : float
        How long the stream waited while the path lost packets, seconds.
    """

    key: StreamKey
    lossy_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FlowClosed:
    """A flow ended; its requests are cancelled."""

    flow: int


FlowEvent = RequestOpened | BodyReceived | RequestCancelled | AnswerDrained | FlowClosed
