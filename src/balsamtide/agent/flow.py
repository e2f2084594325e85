"""State of one flow: QUIC connection, HTTP/3 connection and return path."""

from dataclasses import dataclass, field

from balsamtide.agent.connection import AgentH3Connection, RoutableConnection
from balsamtide.agent.return_path import ReturnPath
from balsamtide.protocol.messages import Endpoint

__all__ = ["Flow"]


@dataclass(slots=True, kw_only=True)
class Flow:
    """One QUIC connection of a caller; owned by the flow engine.

    Parameters
    ----------
    number : int
        Number of the flow, unique in this process.
    connection : RoutableConnection
        QUIC connection.
    caller : Endpoint
        Address of the caller when the flow was opened.
    address_name : str
        Name of the service address that the caller connected to.
    return_path : ReturnPath
        Selects the balancer for datagrams to the caller.
    opened_at : float
        Arrival time of the first datagram, seconds.
    is_steered : bool
        Whether a peer steered the flow to this agent.
    """

    number: int
    connection: RoutableConnection
    caller: Endpoint
    address_name: str
    return_path: ReturnPath
    opened_at: float
    is_steered: bool
    h3: AgentH3Connection | None = None
    is_handshake_done: bool = False
    # Duration of the handshake; 0 once it was reported with the first request.
    handshake_s: float = 0.0
    # Time that the latest datagram spent in the balancer.
    forwarding_s: float = 0.0
    # Configuration version by which the balancer routed the latest datagram.
    balancer_version: int = 0
    connection_ids: set[bytes] = field(default_factory=set)
    open_streams: set[int] = field(default_factory=set)
    # ``lossy_s`` at the start of each wait for room in an answer, by stream ID.
    awaiting_room: dict[int, float] = field(default_factory=dict)
    # Lowest request stream ID not yet seen; sent in GOAWAY.
    first_unseen_stream_id: int = 0
    is_goaway_sent: bool = False
    # Time of the valid entry in the timer heap, None if there is none.
    timer_due_at: float | None = None
    last_received_at: float = 0.0
    # Start of the current period in which the path loses packets.
    lossy_since: float | None = None
    # Total length of the earlier such periods.
    lossy_s: float = 0.0
