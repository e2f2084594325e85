"""Codec of the platform's packet header."""

from struct import Struct

from balsamtide.flows.packet import FlowPacket, FlowPacketError, PacketCodec

__all__ = ["HEADER_BYTES", "MAX_DATA_BYTES", "WirePackets"]

# The fields in their order on the wire: echo, sum, flags, src, dport, sport, dst, len,
# seq, ack.  echo and sum are not read; `restore_returned` clears echo.
HEADER = Struct("<IIBIHHIHII")
HEADER_BYTES = HEADER.size
MAX_DATA_BYTES = 1200

SYN = 64
ACK = 2
FIN = 4
RESET = 1
RETURNED = 32  # Set by a target on a packet that it can't process and sends back.
FLAGS_OFFSET = 8
# Times at which a client sends its SYN, in seconds since the first; the
# acknowledgement number of a SYN counts the previous transmissions.
SYN_SEND_TIMES_S = (0.0, 0.2, 0.6)


class WirePackets(PacketCodec):
    """Codec of the platform's packets: 31-byte header and up to 1,200 bytes of data."""

    def decode(self, data: bytes) -> FlowPacket:
        """Decode a packet.

        Raises
        ------
        FlowPacketError
            If it is truncated or oversized, or its length differs from the header's.
        """
        size = len(data) - HEADER_BYTES
        if not 0 <= size <= MAX_DATA_BYTES:
            raise FlowPacketError(
                f"packet of {len(data)} bytes, allowed are {HEADER_BYTES} to "
                f"{HEADER_BYTES + MAX_DATA_BYTES}"
            )
        _, _, flags, src, dport, sport, dst, length, seq, ack = HEADER.unpack_from(data)
        if length != size:
            raise FlowPacketError(f"{size} bytes of data, header says {length}")
        # In the order of the fields of `FlowPacket`.
        return FlowPacket(
            (src, sport),
            (dst, dport),
            flags & SYN != 0,
            flags & ACK != 0,
            flags & FIN != 0,
            flags & RESET != 0,
            flags & RETURNED != 0,
            seq,
            ack,
            length,
            data,
            length == MAX_DATA_BYTES,  # More data of the request follows.
            _age_s(flags, ack),
        )

    def reset(self, packet: FlowPacket) -> bytes:
        """Return the reset that ends the flow of a client's ``packet``.

        Its sequence number is the acknowledgement number of ``packet``.  That of a SYN
        counts previous transmissions instead, but clients that have sent a SYN accept a
        reset with any sequence number.
        """
        return HEADER.pack(
            0,
            0,
            RESET,
            packet.destination[0],
            packet.source[1],
            packet.destination[1],
            packet.source[0],
            0,
            packet.acknowledgement,
            0,
        )

    def restore_returned(self, data: bytes) -> bytes:
        """Return the client's packet for one that the target returned.

        The RETURNED flag and the echo field are cleared.
        """
        flags = data[FLAGS_OFFSET] & ~RETURNED
        return bytes(4) + data[4:FLAGS_OFFSET] + bytes((flags,)) + data[9:]


def _age_s(flags: int, retransmissions: int) -> float:
    if flags & (SYN | ACK) != SYN:
        return 0.0
    return SYN_SEND_TIMES_S[min(retransmissions, len(SYN_SEND_TIMES_S) - 1)]
