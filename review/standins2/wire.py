"""Packets of the users' platform, as PROTOCOL.md describes them."""

from dataclasses import dataclass
from socket import inet_aton, inet_ntoa
from struct import Struct
from zlib import crc32

# echo, sum, flags, src, dport, sport, dst, len, seq, ack; all little-endian, also the
# addresses.
HEAD = Struct("<IIB4sHH4sHII")
SYN, ACK, FIN, RST, BOUNCED = 64, 2, 4, 1, 32
KEY = b"known to clients and servers only"
MODULUS = 1 << 32
# A reset of an open flow counts within so many octets of the client's last ack.
RESET_WINDOW = 76_800

Address = tuple[str, int]


@dataclass(frozen=True)
class Packet:
    """One packet of a flow."""

    src: Address
    dst: Address
    flags: int
    seq: int
    ack: int
    data: bytes = b""
    sum: int = 0

    def has(self, flags: int) -> bool:
        """Whether all of some flags are set."""
        return self.flags & flags == flags

    def encode(self) -> bytes:
        """Return the datagram, with its sum."""
        return _pack(self, 0, self.flags, checksum(self)) + self.data

    def returned(self) -> bytes:
        """Return the datagram as a server returns it."""
        return _pack(self, 0, self.flags | BOUNCED, self.sum) + self.data


def _pack(packet: Packet, echo: int, flags: int, total: int) -> bytes:
    return HEAD.pack(
        echo,
        total,
        flags,
        inet_aton(packet.src[0])[::-1],
        packet.dst[1],
        packet.src[1],
        inet_aton(packet.dst[0])[::-1],
        len(packet.data),
        packet.seq,
        packet.ack,
    )


def checksum(packet: Packet) -> int:
    """Return the keyed sum of the fields but echo and BOUNCED; never 0."""
    head = _pack(packet, 0, packet.flags & ~BOUNCED, 0)
    return crc32(KEY + head + packet.data) or 1


def decode(datagram: bytes) -> Packet:
    """Decode a datagram."""
    _, total, flags, src, dport, sport, dst, length, seq, ack = HEAD.unpack_from(
        datagram
    )
    data = datagram[HEAD.size :]
    if len(data) != length:
        raise ValueError(f"{len(data)} octets of data, the head says {length}")
    return Packet(
        (inet_ntoa(src[::-1]), sport),
        (inet_ntoa(dst[::-1]), dport),
        flags,
        seq,
        ack,
        data,
        total,
    )


def distance(later: int, earlier: int) -> int:
    """Return how far one sequence number is ahead of another."""
    return (later - earlier) % MODULUS
