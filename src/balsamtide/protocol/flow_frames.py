"""Frames between the processes that carry raw packets.

A frame is one datagram: a kind, fixed fields in network byte order, and for some kinds
a packet behind them.  Times on the wire are durations; no clock reading leaves a
process.  Hosts are IPv4 addresses as numbers.
"""

from dataclasses import dataclass
from enum import IntEnum
from struct import Struct, error
from zlib import crc32

from balsamtide.protocol.errors import DecodeError, DecodeFault
from balsamtide.protocol.view_frames import (
    PULL_REQUEST_KIND,
    VIEW_PIECE_KIND,
    PullRequest,
    ViewPiece,
    decode_pull_request,
    decode_view_piece,
)

__all__ = [
    "Carry",
    "Digest",
    "Disowned",
    "DisownReason",
    "Frame",
    "Leaving",
    "LoadReport",
    "Locate",
    "Located",
    "MarkedLeaving",
    "Ownership",
    "ReaderClaim",
    "Refused",
    "Taken",
    "decode_frame",
    "service_tag",
]

KEY_BYTES = 12
MAX_VISITED = 15
MAX_CLAIMS = 3
MAX_LOAD_REPORTS = 16
LOAD_UNIT = 100  # Loads are sent in hundredths.
MAX_U16 = 0xFFFF
MAX_U32 = 0xFFFFFFFF


class FrameKind(IntEnum):
    """First octet of a frame; the high bits are the protocol's version, 1."""

    CARRY = 0x11
    TAKEN = 0x12
    LOCATE = 0x13
    LOCATED = 0x14
    DISOWNED = 0x15
    REFUSED = 0x16
    LEAVING = 0x17
    DIGEST = 0x18
    PULL_REQUEST = PULL_REQUEST_KIND
    VIEW_PIECE = VIEW_PIECE_KIND
    MARKED_LEAVING = 0x1B


class Ownership(IntEnum):
    """Answer of an agent that is asked for a flow."""

    NO = 0
    MAYBE = 1
    OWNS = 2


class DisownReason(IntEnum):
    """Why an agent hands a packet back."""

    NOT_HERE = 1
    OTHER_SERVICE = 2
    OTHER_HANDSHAKE = 3
    RETURNED = 4


def service_tag(service: str) -> int:
    """Return the 32 bits that stand for a service's name in frames."""
    return crc32(service.encode())


def _u16(value: float) -> int:
    return int(max(0, min(MAX_U16, value)))


def _u32(value: float) -> int:
    return int(max(0, min(MAX_U32, value)))


CARRY = Struct(">BBIIqIHHB")
HOST = Struct(">I")
MUST_TAKE = 1
TENTATIVE = 2
# The number of the client's zone follows in the flags.  Earlier builds ignore these
# bits.
CLIENT_ZONE_SHIFT = 2
MAX_CLIENT_ZONE = 0x3F


@dataclass(frozen=True, slots=True, kw_only=True)
class Carry:
    """A client's packet on its way to a target.

    Parameters
    ----------
    origin : int
        Host of the balancer that took the packet from the client.
    service : int
        Tag of the service that the packet is for.
    version : int
        Configuration version by which the service was chosen.
    elapsed_s : float
        Time since the balancer took the packet.
    must_take : bool
        The receiver delivers the packet and does not pass it on for load.
    is_tentative : bool
        The sender does not know whether the flow is here.
    best_host, best_load : int, float
        Least loaded agent so far and its load per slot; host 0 for none.
    visited : tuple of int
        Hosts of the agents that passed the packet on.
    client_zone : int
        Number of the availability zone of the client, from 1; 0 if it is unknown.
    packet : bytes
        The packet.
    """

    origin: int
    service: int
    version: int
    packet: bytes
    elapsed_s: float = 0.0
    must_take: bool = False
    is_tentative: bool = False
    best_host: int = 0
    best_load: float = 0.0
    visited: tuple[int, ...] = ()
    client_zone: int = 0

    def encode(self) -> bytes:
        """Return the frame's octets."""
        flags = MUST_TAKE * self.must_take | TENTATIVE * self.is_tentative
        if self.client_zone <= MAX_CLIENT_ZONE:
            flags |= self.client_zone << CLIENT_ZONE_SHIFT
        head = CARRY.pack(
            FrameKind.CARRY,
            flags,
            self.origin,
            self.service,
            self.version,
            self.best_host,
            _u16(self.best_load * LOAD_UNIT),
            _u16(self.elapsed_s * 1000),
            len(self.visited),
        )
        hosts = b"".join(HOST.pack(host) for host in self.visited)
        return head + hosts + self.packet


def _decode_carry(data: bytes) -> Carry:
    _, flags, origin, service, version, host, load, elapsed, count = CARRY.unpack_from(
        data
    )
    end = CARRY.size + count * HOST.size
    if count > MAX_VISITED or end > len(data):
        raise DecodeError(DecodeFault.MALFORMED, f"{count} visited hosts")
    visited = tuple(host for (host,) in HOST.iter_unpack(data[CARRY.size : end]))
    return Carry(
        origin=origin,
        service=service,
        version=version,
        packet=data[end:],
        elapsed_s=elapsed / 1000,
        must_take=flags & MUST_TAKE != 0,
        is_tentative=flags & TENTATIVE != 0,
        best_host=host,
        best_load=load / LOAD_UNIT,
        visited=visited,
        client_zone=flags >> CLIENT_ZONE_SHIFT,
    )


TAKEN = Struct(f">B{KEY_BYTES}sH")


@dataclass(frozen=True, slots=True)
class Taken:
    """The sender delivered a flow's opening to its target, or found the flow there.

    Parameters
    ----------
    key : bytes
        The flow.
    load : float
        Requests per slot at the target, this flow included.
    """

    key: bytes
    load: float

    def encode(self) -> bytes:
        """Return the frame's octets."""
        return TAKEN.pack(FrameKind.TAKEN, self.key, _u16(self.load * LOAD_UNIT))


def _decode_taken(data: bytes) -> Taken:
    _, key, load = TAKEN.unpack(data)
    return Taken(key, load / LOAD_UNIT)


LOCATE = Struct(f">B{KEY_BYTES}sI")


@dataclass(frozen=True, slots=True)
class Locate:
    """Asks an agent whether an open flow is at its target.

    Parameters
    ----------
    key : bytes
        The flow.
    acknowledgement : int
        What the client's packet acknowledges, which tells handshakes apart.
    """

    key: bytes
    acknowledgement: int

    def encode(self) -> bytes:
        """Return the frame's octets."""
        return LOCATE.pack(FrameKind.LOCATE, self.key, self.acknowledgement)


def _decode_locate(data: bytes) -> Locate:
    _, key, acknowledgement = LOCATE.unpack(data)
    return Locate(key, acknowledgement)


LOCATED = Struct(f">B{KEY_BYTES}sB")


@dataclass(frozen=True, slots=True)
class Located:
    """Answers a `Locate`."""

    key: bytes
    ownership: Ownership

    def encode(self) -> bytes:
        """Return the frame's octets."""
        return LOCATED.pack(FrameKind.LOCATED, self.key, self.ownership)


def _decode_located(data: bytes) -> Located:
    _, key, ownership = LOCATED.unpack(data)
    return Located(key, Ownership(ownership))


DISOWNED = Struct(">BB")


@dataclass(frozen=True, slots=True)
class Disowned:
    """Hands a packet back to the balancer: its flow is not at this target."""

    reason: DisownReason
    packet: bytes

    def encode(self) -> bytes:
        """Return the frame's octets."""
        return DISOWNED.pack(FrameKind.DISOWNED, self.reason) + self.packet


def _decode_disowned(data: bytes) -> Disowned:
    _, reason = DISOWNED.unpack_from(data)
    return Disowned(DisownReason(reason), data[DISOWNED.size :])


REFUSED = Struct(f">B{KEY_BYTES}s")


@dataclass(frozen=True, slots=True)
class Refused:
    """The sender reset a flow that was never opened."""

    key: bytes

    def encode(self) -> bytes:
        """Return the frame's octets."""
        return REFUSED.pack(FrameKind.REFUSED, self.key)


def _decode_refused(data: bytes) -> Refused:
    return Refused(REFUSED.unpack(data)[1])


LEAVING = Struct(">BI")


@dataclass(frozen=True, slots=True)
class Leaving:
    """The sender takes no new flows for some time.

    Parameters
    ----------
    lasts_s : float
        Longest time of the absence; 0 ends it.
    """

    lasts_s: float

    def encode(self) -> bytes:
        """Return the frame's octets."""
        return LEAVING.pack(FrameKind.LEAVING, _u32(self.lasts_s * 1000))


def _decode_leaving(data: bytes) -> Leaving:
    return Leaving(LEAVING.unpack(data)[1] / 1000)


@dataclass(frozen=True, slots=True)
class MarkedLeaving:
    """Tells the receiver that the sender places no new flows there.

    A process that was restarted after a planned stop learns by it that its predecessor
    announced the stop.
    """

    def encode(self) -> bytes:
        """Return the frame's octets."""
        return bytes((FrameKind.MARKED_LEAVING,))


def _decode_marked_leaving(data: bytes) -> MarkedLeaving:
    if len(data) != 1:
        raise DecodeError(DecodeFault.MALFORMED, f"{len(data)} octets")
    return MarkedLeaving()


DIGEST = Struct(">BBqIIIB")
CLAIM = Struct(">II")
LOAD_REPORT = Struct(">IHH")
MAX_LOADS_SIZE = MAX_LOAD_REPORTS * LOAD_REPORT.size
LOAD_AGE_UNIT_S = 0.01
IS_REPLY = 1
# The lower bits of the era follow in the flags if this bit is set.  Processes that do
# not know eras ignore these bits, and reject digests of an unexpected length.
HAS_ERA = 2
ERA_SHIFT = 2
ERA_BITS = 5
ERA_MASK = (1 << ERA_BITS) - 1
# The sender understands load reports behind the claims.
UNDERSTANDS_LOADS = 0x80


@dataclass(frozen=True, slots=True)
class ReaderClaim:
    """An instance that reads the store.

    Parameters
    ----------
    host : int
        The instance.
    age_s : float
        Time since it last heard from the store.
    """

    host: int
    age_s: float


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of one target.

    Parameters
    ----------
    host : int
        Instance of the target's agent.
    load : float
        Requests per slot at the target.
    age_s : float
        Time since the agent measured it.
    """

    host: int
    load: float
    age_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Digest:
    """What the sender knows of the store.

    Parameters
    ----------
    revision : int
        The store's revision, -1 for none.
    content_tag : int
        Checksum of the view.
    age_s : float
        Time since a reader found this revision to be the newest.
    settles_s : float
        Time for which targets that are missing may come back.
    claims : tuple of ReaderClaim
        Instances that read the store.
    is_reply : bool
        Whether this answers a digest, so that it is not answered again.
    era_bits : int or None
        The era modulo 32, None if the sender does not know eras or the store has none.
    understands_loads : bool
        Whether the sender accepts digests with load reports.
    loads : tuple of LoadReport
        Loads of some targets, at most `MAX_LOAD_REPORTS`; only for receivers that
        understand them.
    """

    revision: int
    content_tag: int
    age_s: float
    settles_s: float = 0.0
    claims: tuple[ReaderClaim, ...] = ()
    is_reply: bool = False
    era_bits: int | None = None
    understands_loads: bool = False
    loads: tuple[LoadReport, ...] = ()

    def encode(self) -> bytes:
        """Return the frame's octets."""
        flags = IS_REPLY * self.is_reply | UNDERSTANDS_LOADS * self.understands_loads
        if self.era_bits is not None:
            flags |= HAS_ERA | (self.era_bits & ERA_MASK) << ERA_SHIFT
        head = DIGEST.pack(
            FrameKind.DIGEST,
            flags,
            self.revision,
            self.content_tag,
            _u32(self.age_s * 1000),
            _u32(self.settles_s * 1000),
            len(self.claims),
        )
        claims = [CLAIM.pack(c.host, _u32(c.age_s * 1000)) for c in self.claims]
        loads = [
            LOAD_REPORT.pack(
                report.host,
                _u16(report.load * LOAD_UNIT),
                _u16(report.age_s / LOAD_AGE_UNIT_S),
            )
            for report in self.loads
        ]
        return head + b"".join(claims + loads)


def _decode_digest(data: bytes) -> Digest:
    _, flags, revision, tag, age, settles, count = DIGEST.unpack_from(data)
    claims_end = DIGEST.size + count * CLAIM.size
    loads_size = len(data) - claims_end
    if count > MAX_CLAIMS or loads_size < 0:
        raise DecodeError(DecodeFault.MALFORMED, f"{count} reader claims")
    if loads_size % LOAD_REPORT.size or loads_size > MAX_LOADS_SIZE:
        raise DecodeError(DecodeFault.MALFORMED, f"{loads_size} octets of loads")
    claims = tuple(
        ReaderClaim(host, age_ms / 1000)
        for host, age_ms in CLAIM.iter_unpack(data[DIGEST.size : claims_end])
    )
    loads = tuple(
        LoadReport(host, load / LOAD_UNIT, age * LOAD_AGE_UNIT_S)
        for host, load, age in LOAD_REPORT.iter_unpack(data[claims_end:])
    )
    return Digest(
        revision=revision,
        content_tag=tag,
        age_s=age / 1000,
        settles_s=settles / 1000,
        claims=claims,
        is_reply=flags & IS_REPLY != 0,
        era_bits=flags >> ERA_SHIFT & ERA_MASK if flags & HAS_ERA else None,
        understands_loads=flags & UNDERSTANDS_LOADS != 0,
        loads=loads,
    )


Frame = (
    Carry
    | Taken
    | Locate
    | Located
    | Disowned
    | Refused
    | Leaving
    | Digest
    | PullRequest
    | ViewPiece
    | MarkedLeaving
)

DECODERS = {
    FrameKind.CARRY: _decode_carry,
    FrameKind.TAKEN: _decode_taken,
    FrameKind.LOCATE: _decode_locate,
    FrameKind.LOCATED: _decode_located,
    FrameKind.DISOWNED: _decode_disowned,
    FrameKind.REFUSED: _decode_refused,
    FrameKind.LEAVING: _decode_leaving,
    FrameKind.DIGEST: _decode_digest,
    FrameKind.PULL_REQUEST: decode_pull_request,
    FrameKind.VIEW_PIECE: decode_view_piece,
    FrameKind.MARKED_LEAVING: _decode_marked_leaving,
}


def decode_frame(data: bytes) -> Frame:
    """Decode one datagram.

    Raises
    ------
    DecodeError
        If it is not a frame of this version.
    """
    decoder = DECODERS.get(data[0]) if data else None  # type: ignore[call-overload]
    if decoder is None:
        raise DecodeError(DecodeFault.UNKNOWN_VERSION, f"{len(data)} octets")
    try:
        return decoder(data)
    except (error, ValueError) as fault:
        if isinstance(fault, DecodeError):
            raise
        raise DecodeError(DecodeFault.MALFORMED, str(fault)) from fault
