"""Bulk state for joiners and for entries that do not fit a datagram, by grpclib.

The server streams one encoded `State` in pieces; the client joins them and checks
length and hash.  Both run on trio-asyncio.
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
    "StateError",
    "StatePiece",
    "StateRequest",
    "StateService",
    "fetch_state",
]

METHOD = "/balsamtide.Membership/FetchState"
PIECE_BYTES = 256 * 1024
# Largest state that a client takes.
MAX_STATE_BYTES = 64 * 1024 * 1024
# Most octets of entries sent in place of a snapshot.
MAX_ENTRIES_BYTES = 2 * 1024 * 1024
# Transfers that one process serves at a time.
MAX_TRANSFERS = 4
HASH_BYTES = 16


class StateError(Exception):
    """A peer gave no usable state."""


class StateRequest(Struct, frozen=True, array_like=True):
    """A request for everything after entry ``after``, 0 for a joiner."""

    after: int


class StatePiece(Struct, frozen=True, array_like=True):
    """A piece of the encoded state.

    Parameters
    ----------
    total_bytes : int
        Length of the whole.
    checksum : bytes
        Hash of the whole.
    content : bytes
        This piece.
    """

    total_bytes: int
    checksum: bytes
    content: bytes


class State(Struct, frozen=True, array_like=True):
    """What a member holds.

    Parameters
    ----------
    number : int
        Last entry held.
    in_force : int
        Last entry in force.
    chain : bytes
        Hash over all entries up to ``number``.
    entries : tuple of Entry
        The entries that were asked for, if they are still held.
    configuration : Configuration or None
        The configuration in force, where they are not.
    marks : tuple of Mark
        Claims held.
    """

    number: int
    in_force: int
    chain: bytes
    entries: tuple[Entry, ...]
    configuration: Configuration | None
    marks: tuple[Mark, ...]

    @property
    def snapshot(self) -> Snapshot | None:
        """The state as a snapshot, if it has one."""
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
    """Serves the state of this process; one of the services of a grpclib server.

    Parameters
    ----------
    log : EntryLog
        Holder of entries and configuration.
    marks : callable
        Returns the marks held, with their time left.
    """

    def __init__(self, log: EntryLog, *, marks: Callable[[], tuple[Mark, ...]]) -> None:
        self.log = log
        self.marks = marks
        self.transfers = 0

    def __mapping__(self) -> dict[str, Handler]:
        handler = Handler(
            self.fetch_state, Cardinality.UNARY_STREAM, StateRequest, StatePiece
        )
        return {METHOD: handler}

    def state(self, after: int) -> State:
        """Return the entries after ``after``, or else the configuration."""
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
        """Stream the state in pieces."""
        if self.transfers >= MAX_TRANSFERS:
            raise GRPCError(Status.RESOURCE_EXHAUSTED, "too many transfers")
        self.transfers += 1
        try:
            request = await stream.recv_message()
            if request is None:
                raise GRPCError(Status.INVALID_ARGUMENT, "no request")
            content = encode(self.state(request.after))
            checksum = _checksum(content)
            for start in range(0, len(content), PIECE_BYTES):
                piece = content[start : start + PIECE_BYTES]
                await stream.send_message(StatePiece(len(content), checksum, piece))
        finally:
            self.transfers -= 1


async def fetch_state(
    endpoint: Endpoint,
    *,
    after: int,
    deadline: float,
    ssl: SSLContext | None = None,
) -> State:
    """Fetch the state of a peer; must run inside a trio-asyncio loop.

    Parameters
    ----------
    endpoint : Endpoint
        The peer's endpoint for grpclib.
    after : int
        Last entry held here, 0 for a joiner.
    deadline : float
        Time on trio's clock at which the transfer is given up, seconds.
    ssl : SSLContext, optional
        For TLS.

    Raises
    ------
    StateError
        If the peer gave no usable state by the deadline.
    """
    try:
        with trio.fail_at(deadline):
            return await aio_as_trio(_fetch)(endpoint, after, ssl)
    except trio.TooSlowError as error:
        raise StateError("no state by the deadline") from error
    except (*RPC_ERRORS, ValueError) as error:
        raise StateError(f"{type(error).__name__}: {error}"[:200]) from error


async def _fetch(endpoint: Endpoint, after: int, ssl: SSLContext | None) -> State:
    channel = Channel(endpoint.host, endpoint.port, codec=RpcCodec(), ssl=ssl)
    try:
        method: UnaryStreamMethod = UnaryStreamMethod(
            channel, METHOD, StateRequest, StatePiece
        )
        async with method.open() as stream:
            await stream.send_message(StateRequest(after), end=True)
            content = bytearray()
            async for piece in stream:
                _check_piece(piece, len(content))
                content += piece.content
    finally:
        channel.close()
    return _decode_state(piece, bytes(content))


def _check_piece(piece: StatePiece, received: int) -> None:
    if piece.total_bytes > MAX_STATE_BYTES:
        raise ValueError(f"state of {piece.total_bytes} octets")
    if received + len(piece.content) > piece.total_bytes:
        raise ValueError("more octets than announced")


def _decode_state(piece: StatePiece, content: bytes) -> State:
    if len(content) != piece.total_bytes or _checksum(content) != piece.checksum:
        raise ValueError("state is incomplete or damaged")
    try:
        return decode(content, type=State)
    except (ValidationError, DecodeError, RecursionError) as error:
        raise ValueError(f"state is malformed: {error}") from error
