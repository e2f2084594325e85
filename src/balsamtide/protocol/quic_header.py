"""The version-independent part of QUIC packet headers (RFC 8999)."""

from dataclasses import dataclass
from enum import Enum

from balsamtide.protocol.connection_id import CONNECTION_ID_BYTES
from balsamtide.protocol.errors import DecodeError, DecodeFault

__all__ = ["PacketHeader", "PacketKind", "read_packet_header"]

LONG_HEADER_BIT = 0x80
FIXED_BIT = 0x40
TYPE_MASK = 0x30
INITIAL_TYPE = 0x00
ID_LENGTH_OFFSET = 5
ID_OFFSET = 6
MAX_ID_BYTES = 20
MIN_FIRST_ID_BYTES = 8


class PacketKind(Enum):
    """What a packet is as far as routing is concerned."""

    INITIAL = "initial"
    LONG = "long"
    SHORT = "short"


@dataclass(frozen=True, slots=True)
class PacketHeader:
    """The kind of a packet and the connection ID it is addressed to."""

    kind: PacketKind
    destination_id: bytes


def read_packet_header(datagram: bytes) -> PacketHeader:
    """Return the header of the first packet in ``datagram``.

    Raises
    ------
    DecodeError
        If the datagram is too short or is not QUIC.
    """
    if len(datagram) <= CONNECTION_ID_BYTES:
        raise DecodeError(DecodeFault.TRUNCATED, f"{len(datagram)} octets")
    first = datagram[0]
    if not first & LONG_HEADER_BIT:
        if not first & FIXED_BIT:
            raise DecodeError(DecodeFault.MALFORMED, "fixed bit not set")
        return PacketHeader(PacketKind.SHORT, datagram[1 : 1 + CONNECTION_ID_BYTES])
    length = datagram[ID_LENGTH_OFFSET]
    if length > MAX_ID_BYTES:
        raise DecodeError(DecodeFault.MALFORMED, f"connection ID of {length} octets")
    destination_id = datagram[ID_OFFSET : ID_OFFSET + length]
    if len(destination_id) != length:
        raise DecodeError(DecodeFault.TRUNCATED, f"{len(datagram)} octets")
    if first & TYPE_MASK == INITIAL_TYPE:
        if length < MIN_FIRST_ID_BYTES:
            raise DecodeError(
                DecodeFault.MALFORMED, f"initial connection ID of {length} octets"
            )
        return PacketHeader(PacketKind.INITIAL, destination_id)
    return PacketHeader(PacketKind.LONG, destination_id)
