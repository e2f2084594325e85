"""A client flow: a QUIC connection with HTTP/3, without I/O."""

from collections.abc import Sequence
from dataclasses import dataclass

from aioquic.h3.connection import H3_ALPN, ErrorCode, FrameType, H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionTerminated,
    HandshakeCompleted,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)

from balsamtide.protocol.messages import Endpoint
from balsamtide.requests.runner import Header

__all__ = [
    "AnswerPart",
    "AnswerStarted",
    "CallerFlow",
    "FlowEnded",
    "FlowOpened",
    "RequestRejected",
    "StreamBroken",
    "make_caller_configuration",
]

IDLE_TIMEOUT_S = 60.0
PING_PERIOD_S = 1.0
SILENCE_TIMEOUT_S = 6.0
RESET_TOKEN_BYTES = 16


@dataclass(frozen=True, slots=True)
class FlowOpened:
    """The handshake completed."""


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The status and header fields of an answer, or its trailers, arrived.

    ``stream`` is the stream ID; ``is_ended`` tells whether the answer is complete.
    """

    stream: int
    headers: tuple[Header, ...]
    is_ended: bool


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """A part of an answer's body arrived.

    ``stream`` and ``is_ended`` as in ``AnswerStarted``.
    """

    stream: int
    data: bytes
    is_ended: bool


@dataclass(frozen=True, slots=True)
class RequestRejected:
    """The peer reset the stream without processing the request."""

    stream: int


@dataclass(frozen=True, slots=True)
class StreamBroken:
    """The peer reset a stream or stopped reading it, before its answer was complete."""

    stream: int


@dataclass(frozen=True, slots=True)
class FlowEnded:
    """The flow ended.

    Parameters
    ----------
    reason : str
        Cause, as a short text.
    """

    reason: str


CallerEvent = (
    FlowOpened | AnswerStarted | AnswerPart | RequestRejected | StreamBroken | FlowEnded
)


def make_caller_configuration(
    *, server_name: str, authority: str | None
) -> QuicConfiguration:
    """Return the QUIC configuration of a client.

    Parameters
    ----------
    server_name : str
        Name that the server's certificate must contain.
    authority : str or None
        Path of a PEM file with trusted authorities; None for the system's.
    """
    configuration = QuicConfiguration(
        is_client=True,
        alpn_protocols=H3_ALPN,
        server_name=server_name,
        idle_timeout=IDLE_TIMEOUT_S,
    )
    if authority is not None:
        configuration.load_verify_locations(cafile=authority)
    return configuration


class ClientH3Connection(H3Connection):
    """HTTP/3 connection that detects GOAWAY from the server.

    aioquic skips the payload of GOAWAY, so only its arrival is known.  The peer
    resets requests that it does not process with ``H3_REQUEST_REJECTED``.
    """

    is_going_away = False

    def _check_control_frame_type(self, frame_type: int) -> None:
        super()._check_control_frame_type(frame_type)
        if frame_type == FrameType.GOAWAY:
            self.is_going_away = True


class CallerFlow:
    """A QUIC connection to one service address.

    Parameters
    ----------
    configuration : QuicConfiguration
        Configuration from ``make_caller_configuration``.
    remote : Endpoint
        Service address.
    now : float
        Current time, seconds.
    """

    def __init__(
        self, configuration: QuicConfiguration, remote: Endpoint, now: float
    ) -> None:
        self.connection = QuicConnection(configuration=configuration)
        self.h3: ClientH3Connection | None = None
        self.remote = (remote.host, remote.port)
        self.open_streams: set[int] = set()
        self.is_open = False
        self.is_ended = False
        self.last_received_at = now
        self.next_ping_at = now + PING_PERIOD_S
        self.events: list[CallerEvent] = []
        self.connection.connect(self.remote, now=now)

    @property
    def is_going_away(self) -> bool:
        """Whether the flow received GOAWAY or ended, so new requests need another."""
        return self.is_ended or (self.h3 is not None and self.h3.is_going_away)

    def open_request(
        self, headers: Sequence[Header], body: bytes, *, is_ended: bool = True
    ) -> int:
        """Send a request and return its stream ID.

        ``is_ended`` tells whether ``body`` is the complete request body.
        """
        assert self.h3 is not None
        stream = self.connection.get_next_available_stream_id()
        self.open_streams.add(stream)
        has_body = bool(body) or not is_ended
        self.h3.send_headers(stream, list(headers), end_stream=not has_body)
        if body:
            self.h3.send_data(stream, body, end_stream=is_ended)
        return stream

    def send_body(self, stream: int, data: bytes, *, is_ended: bool) -> None:
        """Send a part of a request's body, unless the stream is closed."""
        if self.h3 is not None and stream in self.open_streams:
            self.h3.send_data(stream, data, end_stream=is_ended)

    def unacknowledged_bytes(self, stream: int) -> int:
        """Return the bytes queued or sent on a stream and not yet acknowledged."""
        state = self.connection._streams.get(stream)
        if state is None:
            return 0
        return state.sender._buffer_stop - state.sender._buffer_start

    def cancel_request(self, stream: int) -> None:
        """Cancel a request, unless its stream is closed."""
        if stream not in self.open_streams:
            return
        self.open_streams.discard(stream)
        self.connection.reset_stream(stream, ErrorCode.H3_REQUEST_CANCELLED)
        self.connection.stop_stream(stream, ErrorCode.H3_REQUEST_CANCELLED)

    def receive(self, datagram: bytes, source: tuple[str, int], now: float) -> None:
        """Process a datagram received at ``now``; ``source`` is ignored.

        aioquic always gets the service address as the source.
        """
        if self._is_stateless_reset(datagram):
            self._end_flow("reset")
            return
        self.last_received_at = now
        self.connection.receive_datagram(datagram, self.remote, now)
        self._handle_events()

    def tick(self, now: float) -> None:
        """Run due timers; while requests are open, ping and end a silent flow."""
        timer = self.connection.get_timer()
        if timer is not None and timer <= now:
            self.connection.handle_timer(now)
            self._handle_events()
        if self.open_streams and now >= self.next_ping_at:
            self.next_ping_at = now + PING_PERIOD_S
            if self.is_open:
                self.connection.send_ping(0)
        if self.open_streams and now - self.last_received_at > SILENCE_TIMEOUT_S:
            self._end_flow(f"nothing received for {SILENCE_TIMEOUT_S:g} s")

    @property
    def deadline(self) -> float:
        """Time at which ``tick`` is next due."""
        timer = self.connection.get_timer()
        if timer is None:
            return self.next_ping_at
        return min(timer, self.next_ping_at) if self.open_streams else timer

    def close(self) -> None:
        """Close the flow."""
        self.connection.close(error_code=ErrorCode.H3_NO_ERROR)

    def take_datagrams(self, now: float) -> list[bytes]:
        """Return the datagrams to send."""
        if self.is_ended:
            return []
        return [data for data, _ in self.connection.datagrams_to_send(now)]

    def take_events(self) -> list[CallerEvent]:
        """Return the events since the last call."""
        events, self.events = self.events, []
        return events

    def _is_stateless_reset(self, datagram: bytes) -> bool:
        """Tell whether a datagram is a stateless reset (RFC 9000, section 10.3).

        The peer sends one when it has lost the state of this flow.  aioquic stores the
        tokens of the peer's connection IDs but does not compare them.
        """
        # At least 5 bytes precede the token; 0x80 marks a long header.
        if len(datagram) < RESET_TOKEN_BYTES + 5 or datagram[0] & 0x80:
            return False
        token = datagram[-RESET_TOKEN_BYTES:]
        connection = self.connection
        known = (connection._peer_cid, *connection._peer_cid_available)
        return any(item.stateless_reset_token == token for item in known)

    def _end_flow(self, reason: str) -> None:
        if not self.is_ended:
            self.is_ended = True
            self.open_streams.clear()
            self.events.append(FlowEnded(reason))

    def _handle_events(self) -> None:
        event = self.connection.next_event()
        while event is not None:
            self._handle(event)
            event = self.connection.next_event()

    def _handle(self, event: QuicEvent) -> None:
        if isinstance(event, HandshakeCompleted):
            self.h3 = ClientH3Connection(self.connection)
            self.is_open = True
            self.events.append(FlowOpened())
        elif isinstance(event, ConnectionTerminated):
            # The code is one of QUIC or HTTP/3, from either side.
            self._end_flow(event.reason_phrase or f"error {event.error_code}")
            return
        elif isinstance(event, StreamReset | StopSendingReceived):
            self._end_stream(event.stream_id, event.error_code)
        if self.h3 is None:
            return
        for h3_event in self.h3.handle_event(event):
            if isinstance(h3_event, HeadersReceived):
                headers = tuple(h3_event.headers)
                self._add_answer_event(
                    h3_event.stream_id,
                    AnswerStarted(h3_event.stream_id, headers, h3_event.stream_ended),
                    is_ended=h3_event.stream_ended,
                )
            elif isinstance(h3_event, DataReceived):
                self._add_answer_event(
                    h3_event.stream_id,
                    AnswerPart(
                        h3_event.stream_id, h3_event.data, h3_event.stream_ended
                    ),
                    is_ended=h3_event.stream_ended,
                )

    def _add_answer_event(
        self, stream: int, event: CallerEvent, *, is_ended: bool
    ) -> None:
        if stream not in self.open_streams:
            return
        if is_ended:
            self.open_streams.discard(stream)
        self.events.append(event)

    def _end_stream(self, stream: int, error_code: int) -> None:
        if stream not in self.open_streams:
            return
        self.open_streams.discard(stream)
        is_rejected = error_code == ErrorCode.H3_REQUEST_REJECTED
        event = RequestRejected(stream) if is_rejected else StreamBroken(stream)
        self.events.append(event)
