"""QUIC and HTTP/3 connections of aioquic, extended for agents.

Only this module of the agent uses private members of aioquic. Its version is pinned,
and ``tests/test_flow_engine.py`` covers the behaviour relied on.
"""

from collections.abc import Callable
from hashlib import blake2b

from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import FrameType, H3Connection, encode_frame
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import (
    QuicConnection,
    QuicConnectionId,
    QuicConnectionState,
)
from aioquic.quic.packet_builder import QuicPacketBuilder
from aioquic.quic.recovery import QuicPacketSpace
from aioquic.quic.stream import QuicStream

from balsamtide.protocol.connection_id import KEY_NUMBER_SHIFT, IdKeys

__all__ = [
    "AgentH3Connection",
    "ResetTokens",
    "RoutableConnection",
    "STREAM_WINDOW_BYTES",
]

STREAM_WINDOW_BYTES = 256 * 1024
RESET_TOKEN_BYTES = 16
RESET_PERSONALIZATION = b"balsamtide-reset"


class ResetTokens:
    """Derives stateless reset tokens that stay valid across restarts.

    Token keys are derived from the connection ID keys, so a restarted agent can reset
    the flows of its previous process.

    Parameters
    ----------
    keys : IdKeys
        Connection ID keys.
    """

    def __init__(self, keys: IdKeys) -> None:
        self.keys = {
            number: blake2b(key, person=RESET_PERSONALIZATION).digest()
            for number, key in keys.keys.items()
        }

    def token(self, connection_id: bytes) -> bytes:
        """Return the 16-byte reset token of ``connection_id``."""
        key = self.keys[connection_id[0] >> KEY_NUMBER_SHIFT]
        return blake2b(connection_id, key=key, digest_size=RESET_TOKEN_BYTES).digest()


class RoutableConnection(QuicConnection):
    """Server connection whose connection IDs every balancer can route.

    Parameters
    ----------
    configuration : QuicConfiguration
        QUIC configuration of the agent.
    issue_id : callable
        Returns a new connection ID.
    resets : ResetTokens
        Derives stateless reset tokens.
    original_id : bytes
        Destination connection ID of the caller's first Initial packet.
    retry_id : bytes or None
        Source connection ID of the agent's Retry packet, if one was sent.
    """

    def __init__(
        self,
        *,
        configuration: QuicConfiguration,
        issue_id: Callable[[], bytes],
        resets: ResetTokens,
        original_id: bytes,
        retry_id: bytes | None = None,
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_id,
            retry_source_connection_id=retry_id,
        )
        self.issue_id = issue_id
        self.resets = resets
        self.paused_streams: set[int] = set()
        first = self._host_cids[0]
        first.cid = issue_id()
        first.stateless_reset_token = resets.token(first.cid)
        self.host_cid = first.cid
        self._local_initial_source_connection_id = first.cid

    def _replenish_connection_ids(self) -> None:
        # At most 8 connection IDs at a time, as in aioquic.
        while len(self._host_cids) < min(8, self._remote_active_connection_id_limit):
            connection_id = self.issue_id()
            self._host_cids.append(
                QuicConnectionId(
                    cid=connection_id,
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=self.resets.token(connection_id),
                )
            )
            self._host_cid_seq += 1

    def _write_stream_limits(
        self,
        builder: QuicPacketBuilder,
        space: QuicPacketSpace,
        stream: QuicStream,
    ) -> None:
        # aioquic doubles the limit regardless of what the application has read. A
        # fixed window above the received offset bounds the memory of a paused upload.
        receiver = stream.receiver
        received = receiver.highest_offset
        self._raise_stream_limit(stream, received)
        # With offset 0, the base class sends the limit but does not raise it.
        receiver.highest_offset = 0
        try:
            super()._write_stream_limits(builder, space, stream)
        finally:
            receiver.highest_offset = received

    def _raise_stream_limit(self, stream: QuicStream, received: int) -> None:
        limit = stream.max_stream_data_local
        if not limit or stream.stream_id in self.paused_streams:
            return
        wanted = received + STREAM_WINDOW_BYTES
        if wanted - limit > STREAM_WINDOW_BYTES // 2:
            stream.max_stream_data_local = wanted

    @property
    def has_decrypted_packet(self) -> bool:
        """Whether a packet of the caller has been decrypted."""
        return self._state is not QuicConnectionState.FIRSTFLIGHT

    def unacked_bytes(self, stream_id: int) -> int:
        """Return the number of buffered bytes that the caller has not acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return stream.sender._buffer_stop - stream.sender._buffer_start

    @property
    def round_trip_s(self) -> float:
        """Smoothed round-trip time to the caller, seconds; 0 if unknown."""
        if not self._loss._rtt_initialized:
            return 0.0
        return self._loss._rtt_smoothed

    @property
    def probe_timeouts(self) -> int:
        """Number of consecutive probe timeouts; above 0 the path loses packets."""
        return self._loss._pto_count


class AgentH3Connection(H3Connection):
    """HTTP/3 connection that can send GOAWAY, which aioquic lacks for servers."""

    def send_goaway(self, first_rejected_stream: int) -> None:
        """Send GOAWAY: streams from ``first_rejected_stream`` on are rejected."""
        frame = encode_frame(FrameType.GOAWAY, encode_uint_var(first_rejected_stream))
        stream = self._local_control_stream_id
        assert stream is not None
        self._quic.send_stream_data(stream, frame)
