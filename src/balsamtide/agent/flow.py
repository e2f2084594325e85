"""One flow of a caller: its QUIC connection, HTTP/3 state and way back."""

from dataclasses import dataclass, field

from balsamtide.agent.connection import AgentH3Connection, RoutableConnection
from balsamtide.agent.return_path import ReturnPath
from balsamtide.protocol.messages import Endpoint

__all__ = ["Flow"]


@dataclass(slots=True, kw_only=True)
class Flow:
    """State of one flow; owned by the flow engine.

    Parameters
    ----------
    number : int
        Number of the flow at this agent.
    connection : RoutableConnection
        Its QUIC connection.
    caller : Endpoint
        The caller.
    address : str
        Name of the service address the caller used.
    return_path : ReturnPath
        Its way back.
    opened_at : float
        When its first datagram came, seconds.
    is_steered : bool
        Whether a peer is_steered it here.
    """

    number: int
    connection: RoutableConnection
    caller: Endpoint
    address: str
    return_path: ReturnPath
    opened_at: float
    is_steered: bool
    h3: AgentH3Connection | None = None
    is_handshake_done: bool = False
    handshake_s: float = 0.0
    forwarding_s: float = 0.0
    balancer_version: int = 0
    connection_ids: set[bytes] = field(default_factory=set)
    open_streams: set[int] = field(default_factory=set)
    awaiting_drain: dict[int, float] = field(default_factory=dict)
    next_stream_id: int = 0
    is_goaway_sent: bool = False
    timer_due_at: float | None = None
    last_received_at: float = 0.0
    lossy_since: float | None = None
    lossy_s: float = 0.0
