"""aioquic's connections with what an agent needs on top.

This module is the only one that depends on internals of aioquic; the version is
pinned and ``tests/test_flow_engine.py`` checks what is relied on.
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
RESET_PERSON = b"balsamtide-reset"


class ResetTokens:
    """Stateless reset tokens that outlive the process.

    The key of a token is derived from the key of the connection ID, so an agent that
    was restarted can reset the flows of the one before it.

    Parameters
    ----------
    keys : IdKeys
        Keys of connection IDs.
    """

    def __init__(self, keys: IdKeys) -> None:
        self.keys = {
            number: blake2b(key, person=RESET_PERSON).digest()
            for number, key in keys.keys.items()
        }

    def token(self, connection_id: bytes) -> bytes:
        """Return the token of ``connection_id``, 16 octets."""
        key = self.keys[connection_id[0] >> KEY_NUMBER_SHIFT]
        return blake2b(connection_id, key=key, digest_size=RESET_TOKEN_BYTES).digest()


class RoutableConnection(QuicConnection):
    """A server connection whose IDs any balancer can route.

    Parameters
    ----------
    configuration : QuicConfiguration
        Configuration of the agent.
    issue_id : callable
        Returns a fresh connection ID.
    resets : ResetTokens
        Makes stateless reset tokens.
    original_id, retry_id : bytes or None
        IDs of the caller's first datagram and of our Retry.
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
        # aioquic doubles the limit whatever the application has read; a window on
        # top of what was received keeps an upload that waits from filling memory.
        receiver = stream.receiver
        received = receiver.highest_offset
        self._raise_stream_limit(stream, received)
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
        """Whether a packet of the caller could be decrypted."""
        return self._state is not QuicConnectionState.FIRSTFLIGHT

    def unacked_bytes(self, stream_id: int) -> int:
        """Return the octets of an answer that the caller has not acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return stream.sender._buffer_stop - stream.sender._buffer_start

    @property
    def round_trip_s(self) -> float:
        """Smoothed round-trip time to the caller in seconds, 0 if unknown."""
        if not self._loss._rtt_initialized:
            return 0.0
        return self._loss._rtt_smoothed

    @property
    def probe_timeouts(self) -> int:
        """Number of probe timeouts in a row; above 0 the path is losing packets."""
        return self._loss._pto_count


class AgentH3Connection(H3Connection):
    """HTTP/3 with the server side of GOAWAY."""

    def send_goaway(self, first_refused_stream: int) -> None:
        """Tell the caller that no stream from ``first_refused_stream`` on is taken."""
        frame = encode_frame(FrameType.GOAWAY, encode_uint_var(first_refused_stream))
        stream = self._local_control_stream_id
        assert stream is not None
        self._quic.send_stream_data(stream, frame)
