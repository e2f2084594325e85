"""Bulk transfer of state over grpclib, for joiners and entries above datagram size.

The server streams one encoded `State` in chunks; the client concatenates them and
verifies length and hash.  Both run on trio-asyncio.
"""

from collections.abc import Callable
from hashlib import blake2b
from ssl import SSLContext

import trio
from grpclib.client import Channel, UnaryStreamMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import decode, encode
from trio_asyncio import aio_as_trio

from balsamtide.config.model import Configuration
from balsamtide.config.port import Snapshot
from balsamtide.membership.log import EntryLog
from balsamtide.protocol.messages import Endpoint, Entry, Mark
from balsamtide.protocol.rpc import RPC_ERRORS, RpcCodec

__all__ = [
    "State",
    "StateChunk",
    "StateError",
    "StateRequest",
    "StateService",
    "fetch_state",
]

METHOD = "/balsamtide.Membership/FetchState"
CHUNK_BYTES = 256 * 1024
# Maximum encoded state that a client accepts.
MAX_STATE_BYTES = 64 * 1024 * 1024
# Maximum size of the entries sent instead of a snapshot.
MAX_ENTRIES_BYTES = 2 * 1024 * 1024
# Maximum number of concurrent transfers that one process serves.
MAX_TRANSFERS = 4
HASH_BYTES = 16


class StateError(Exception):
    """Raised when a peer returned no usable state."""


class StateRequest(Struct, frozen=True, array_like=True):
    """A request for all entries after ``after``, which is 0 for a joiner."""

    after: int


class StateChunk(Struct, frozen=True, array_like=True):
    """A chunk of the encoded state.

    Parameters
    ----------
    total_bytes : int
        Length of the whole encoded state, bytes.
    checksum : bytes
        Hash of the whole encoded state.
    content : bytes
        Bytes of this chunk.
    """

    total_bytes: int
    checksum: bytes
    content: bytes


class State(Struct, frozen=True, array_like=True):
    """State of a member.

    Parameters
    ----------
    number : int
        Number of the last entry held.
    in_force : int
        Number of the last entry in force.
    chain : bytes
        Hash over all entries up to ``number``.
    entries : tuple of Entry
        The requested entries, if they are still held.
    configuration : Configuration or None
        The configuration in force, if the requested entries are not held.
    marks : tuple of Mark
        Marks held.
    """

    number: int
    in_force: int
    chain: bytes
    entries: tuple[Entry, ...]
    configuration: Configuration | None
    marks: tuple[Mark, ...]

    @property
    def snapshot(self) -> Snapshot | None:
        """Snapshot of the configuration, or None if the state has none."""
        if self.configuration is None:
            return None
        return Snapshot(
            number=self.number,
            in_force=self.in_force,
            chain=self.chain,
            configuration=self.configuration,
        )


def _checksum(content: bytes) -> bytes:
    return blake2b(content, digest_size=HASH_BYTES).digest()


class StateService:
    """Serves the state of this process as a service of a grpclib server.

    Parameters
    ----------
    log : EntryLog
        Log that holds the entries and the configuration.
    marks : callable
        Returns the marks held, with their remaining time.
    """

    def __init__(self, log: EntryLog, *, marks: Callable[[], tuple[Mark, ...]]) -> None:
        self.log = log
        self.marks = marks
        self.transfers = 0

    def __mapping__(self) -> dict[str, Handler]:
        handler = Handler(
            self.fetch_state, Cardinality.UNARY_STREAM, StateRequest, StateChunk
        )
        return {METHOD: handler}

    def state(self, after: int) -> State:
        """Return the state with the entries after ``after`` or the configuration."""
        held = self.log.held
        entries: tuple[Entry, ...] = ()
        if after > 0:
            entries = self.log.entries_after(after, max_bytes=MAX_ENTRIES_BYTES)
        is_complete = bool(entries) and entries[0].number == after + 1
        is_current = after >= held.number
        return State(
            number=held.number,
            in_force=held.in_force,
            chain=held.chain,
            entries=entries if is_complete else (),
            configuration=None if is_complete or is_current else held.configuration,
            marks=self.marks(),
        )

    async def fetch_state(self, stream: Stream) -> None:
        """Stream the encoded state in chunks."""
        if self.transfers >= MAX_TRANSFERS:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many transfers")
        self.transfers += 1
        try:
            request = await stream.recv_message()
            if request is None:
                raise GRPCError(Status.INVALID_ARGUMENT, "no request")
            content = encode(self.state(request.after))
            checksum = _checksum(content)
            for start in range(0, len(content), CHUNK_BYTES):
                chunk = content[start : start + CHUNK_BYTES]
                await stream.send_message(StateChunk(len(content), checksum, chunk))
        finally:
            self.transfers -= 1


async def fetch_state(
    endpoint: Endpoint,
    *,
    after: int,
    deadline: float,
    ssl: SSLContext | None = None,
) -> State:
    """Fetch the state of a peer; must be called inside a trio-asyncio loop.

    Parameters
    ----------
    endpoint : Endpoint
        RPC endpoint of the peer.
    after : int
        Number of the last entry held locally, 0 for a joiner.
    deadline : float
        Time on trio's clock at which the transfer fails, seconds.
    ssl : SSLContext, optional
        TLS context of the client; plain text if omitted.

    Raises
    ------
    StateError
        If the peer returned no usable state by the deadline.
    """
    try:
        with trio.fail_at(deadline):
            return await aio_as_trio(_fetch)(endpoint, after, ssl)
    except trio.TooSlowError as error:
        raise StateError("deadline exceeded before the state was complete") from error
    except (*RPC_ERRORS, ValueError) as error:
        raise StateError(f"{type(error).__name__}: {error}"[:200]) from error


async def _fetch(endpoint: Endpoint, after: int, ssl: SSLContext | None) -> State:
    channel = Channel(endpoint.host, endpoint.port, codec=RpcCodec(), ssl=ssl)
    try:
        method: UnaryStreamMethod = UnaryStreamMethod(
            channel, METHOD, StateRequest, StateChunk
        )
        async with method.open() as stream:
            await stream.send_message(StateRequest(after), end=True)
            content = bytearray()
            async for chunk in stream:
                _check_chunk(chunk, len(content))
                content += chunk.content
    finally:
        channel.close()
    # The last chunk; a peer sends at least one, as an encoded state is never empty.
    return _decode_state(chunk, bytes(content))


def _check_chunk(chunk: StateChunk, received: int) -> None:
    if chunk.total_bytes > MAX_STATE_BYTES:
        raise ValueError(
            f"state of {chunk.total_bytes} bytes exceeds {MAX_STATE_BYTES} bytes"
        )
    if received + len(chunk.content) > chunk.total_bytes:
        raise ValueError(f"received more than the announced {chunk.total_bytes} bytes")


def _decode_state(chunk: StateChunk, content: bytes) -> State:
    if len(content) != chunk.total_bytes or _checksum(content) != chunk.checksum:
        raise ValueError(
            f"state of {len(content)} bytes does not match its announced length, "
            f"{chunk.total_bytes} bytes, or its checksum"
        )
    try:
        return decode(content, type=State)
    except (ValidationError, DecodeError, RecursionError) as error:
        raise ValueError(f"state is malformed: {error}") from error
