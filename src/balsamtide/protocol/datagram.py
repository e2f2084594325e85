"""The envelope of inner datagrams: version, key number, MAC, header, payload.

Layout: one octet of protocol version, one octet of key number, a truncated keyed
BLAKE2b MAC, two octets of header length, the header in MessagePack, the payload.

A payload is a QUIC packet, which QUIC itself protects end to end.  The MAC therefore
covers everything before the payload and only the first octets of the payload, which
hold its connection ID; its cost does not grow with the size of the datagram.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest

from msgspec import DecodeError as MsgspecDecodeError
from msgspec import Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from balsamtide.protocol.errors import DecodeError, DecodeFault
from balsamtide.protocol.messages import (
    ChainDigest,
    Endpoint,
    Forward,
    Heartbeat,
    HeartbeatAnswer,
    LoadReport,
    Message,
    Pull,
    Push,
    Reply,
    TenureClosed,
)

__all__ = [
    "DatagramCodec",
    "ForwardHeader",
    "MAX_DATAGRAM_BYTES",
    "MacKeys",
    "PROTOCOL_VERSION",
    "ReplyHeader",
]

PROTOCOL_VERSION = 1
MAC_BYTES = 8
LENGTH_BYTES = 2
LENGTH_OFFSET = 2 + MAC_BYTES
HEADER_OFFSET = LENGTH_OFFSET + LENGTH_BYTES
MAX_DATAGRAM_BYTES = 8192
COVERED_PAYLOAD_BYTES = 32


class ForwardHeader(Struct, frozen=True, array_like=True, tag=1):
    """A ``Forward`` without its payload, as it stands on the wire."""

    caller: Endpoint
    service: int
    address: str
    version: int
    hops: int
    elapsed_us: int
    reply_to: Endpoint


class ReplyHeader(Struct, frozen=True, array_like=True, tag=2):
    """A ``Reply`` without its payload, as it stands on the wire."""

    caller: Endpoint
    service: int
    address: str


Header = (
    ForwardHeader
    | ReplyHeader
    | Heartbeat
    | HeartbeatAnswer
    | Push
    | ChainDigest
    | Pull
    | LoadReport
    | TenureClosed
)


@dataclass(frozen=True, slots=True, kw_only=True)
class MacKeys:
    """The keys that authenticate inner datagrams.

    Parameters
    ----------
    current : int
        Number of the key that seals, 0 to 255.
    keys : mapping of int to bytes
        All keys that open, 16 to 64 octets each.
    """

    current: int
    keys: Mapping[int, bytes]


class DatagramCodec:
    """Seals messages into datagrams and opens them.

    Parameters
    ----------
    keys : MacKeys
        Keys shared by all processes of one installation.
    """

    def __init__(self, keys: MacKeys) -> None:
        self.keys = keys
        self.encoder = Encoder()
        self.decoder: Decoder[Header] = Decoder(Header)
        self.prefix = bytes((PROTOCOL_VERSION, keys.current))
        self.seal_hash = self._keyed(keys.keys[keys.current], self.prefix)
        self.open_hashes = {
            number: self._keyed(key, bytes((PROTOCOL_VERSION, number)))
            for number, key in keys.keys.items()
        }

    @staticmethod
    def _keyed(key: bytes, prefix: bytes) -> blake2b:
        keyed = blake2b(key=key, digest_size=MAC_BYTES)
        keyed.update(prefix)
        return keyed

    def encode(self, message: Message) -> bytes:
        """Return the datagram that carries ``message``."""
        if isinstance(message, Forward):
            header = ForwardHeader(
                message.caller,
                message.service,
                message.address,
                message.version,
                message.hops,
                message.elapsed_us,
                message.reply_to,
            )
            return self.seal(header, message.payload)
        if isinstance(message, Reply):
            reply = ReplyHeader(message.caller, message.service, message.address)
            return self.seal(reply, message.payload)
        return self.seal(message, b"")

    def seal(self, header: Header, payload: bytes) -> bytes:
        """Return the datagram of a header and its payload."""
        encoded = self.encoder.encode(header)
        sealed = len(encoded).to_bytes(LENGTH_BYTES, "big") + encoded
        mac = self.seal_hash.copy()
        mac.update(sealed + payload[:COVERED_PAYLOAD_BYTES])
        return b"".join((self.prefix, mac.digest(), sealed, payload))

    def decode(self, datagram: bytes) -> Message:
        """Return the message of an authentic datagram.

        Raises
        ------
        DecodeError
            If the datagram is not valid; the fault says why.
        """
        if len(datagram) <= HEADER_OFFSET:
            raise DecodeError(DecodeFault.TRUNCATED, f"{len(datagram)} octets")
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise DecodeError(DecodeFault.OVERSIZED, f"{len(datagram)} octets")
        if datagram[0] != PROTOCOL_VERSION:
            raise DecodeError(DecodeFault.UNKNOWN_VERSION, f"version {datagram[0]}")
        keyed = self.open_hashes.get(datagram[1])
        if keyed is None:
            raise DecodeError(DecodeFault.UNKNOWN_KEY, f"key number {datagram[1]}")
        length = int.from_bytes(datagram[LENGTH_OFFSET:HEADER_OFFSET], "big")
        payload_offset = HEADER_OFFSET + length
        if len(datagram) < payload_offset:
            raise DecodeError(DecodeFault.TRUNCATED, f"{len(datagram)} octets")
        mac = keyed.copy()
        mac.update(datagram[LENGTH_OFFSET : payload_offset + COVERED_PAYLOAD_BYTES])
        if not compare_digest(mac.digest(), datagram[2:LENGTH_OFFSET]):
            raise DecodeError(DecodeFault.BAD_MAC, f"key number {datagram[1]}")
        header = self._decode_header(datagram[HEADER_OFFSET:payload_offset])
        return _join(header, datagram[payload_offset:])

    def _decode_header(self, encoded: bytes) -> Header:
        try:
            return self.decoder.decode(encoded)
        except (ValidationError, MsgspecDecodeError, RecursionError) as error:
            raise DecodeError(DecodeFault.MALFORMED, str(error)) from error


def _join(header: Header, payload: bytes) -> Message:
    if isinstance(header, ForwardHeader):
        return Forward(
            header.caller,
            header.service,
            header.address,
            header.version,
            header.hops,
            header.elapsed_us,
            header.reply_to,
            payload,
        )
    if isinstance(header, ReplyHeader):
        return Reply(header.caller, header.service, header.address, payload)
    if payload:
        raise DecodeError(DecodeFault.MALFORMED, f"{len(payload)} octets of payload")
    return header
