"""Events that the flow engine reports."""

from dataclasses import dataclass

from balsamtide.protocol.messages import Endpoint
from balsamtide.requests.runner import Header

__all__ = [
    "AnswerWritable",
    "BodyReceived",
    "FlowClosed",
    "FlowEvent",
    "RequestCancelled",
    "RequestOpened",
    "StreamKey",
]


@dataclass(frozen=True, slots=True)
class StreamKey:
    """Identifies a request stream by flow number and stream ID."""

    flow: int
    stream: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestOpened:
    """A caller opened a request.

    Parameters
    ----------
    key : StreamKey
        Stream of the request.
    caller : Endpoint
        Address of the caller.
    headers : tuple of (bytes, bytes)
        Header fields, pseudo-headers included.
    is_ended : bool
        Whether the request has no body.
    forwarding_s : float
        Time that the latest datagram spent in the balancer, seconds.
    round_trip_s : float
        Round-trip time to the caller, seconds.
    handshake_s : float
        Duration of the handshake, seconds; 0 except for the first request of a flow.
    is_steered : bool
        Whether a peer steered the flow to this agent.
    balancer_version : int
        Configuration version by which the balancer routed.
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
    """A chunk of a request body arrived."""

    key: StreamKey
    data: bytes
    is_ended: bool


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """A caller cancelled a request."""

    key: StreamKey


@dataclass(frozen=True, slots=True)
class AnswerWritable:
    """The send buffer of an answer has room for more.

    Parameters
    ----------
    key : StreamKey
        Stream of the request.
    lossy_s : float
        Part of the wait for room during which the path lost packets, seconds.
    """

    key: StreamKey
    lossy_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FlowClosed:
    """A flow was closed, which cancels its requests."""

    flow: int


FlowEvent = (
    RequestOpened | BodyReceived | RequestCancelled | AnswerWritable | FlowClosed
)
