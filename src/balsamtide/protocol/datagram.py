"""The envelope of inner datagrams: version, key number, MAC, MessagePack body.

Layout: one octet of protocol version, one octet of key number, a truncated keyed
BLAKE2b MAC over both octets and the body, then the body.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest

from msgspec import DecodeError as MsgspecDecodeError
from msgspec import ValidationError
from msgspec.msgpack import Decoder, Encoder

from balsamtide.protocol.errors import DecodeError, DecodeFault
from balsamtide.protocol.messages import Message

__all__ = ["DatagramCodec", "MacKeys", "MAX_DATAGRAM_BYTES", "PROTOCOL_VERSION"]

PROTOCOL_VERSION = 1
MAC_BYTES = 8
HEADER_BYTES = 2 + MAC_BYTES
MAX_DATAGRAM_BYTES = 8192


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
        self.decoder: Decoder[Message] = Decoder(Message)
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
        body = self.encoder.encode(message)
        mac = self.seal_hash.copy()
        mac.update(body)
        return self.prefix + mac.digest() + body

    def decode(self, datagram: bytes) -> Message:
        """Return the message of an authentic datagram.

        Raises
        ------
        DecodeError
            If the datagram is not valid; the fault says why.
        """
        if len(datagram) <= HEADER_BYTES:
            raise DecodeError(DecodeFault.TRUNCATED, f"{len(datagram)} octets")
        if len(datagram) > MAX_DATAGRAM_BYTES:
            raise DecodeError(DecodeFault.OVERSIZED, f"{len(datagram)} octets")
        if datagram[0] != PROTOCOL_VERSION:
            raise DecodeError(DecodeFault.UNKNOWN_VERSION, f"version {datagram[0]}")
        keyed = self.open_hashes.get(datagram[1])
        if keyed is None:
            raise DecodeError(DecodeFault.UNKNOWN_KEY, f"key number {datagram[1]}")
        body = datagram[HEADER_BYTES:]
        mac = keyed.copy()
        mac.update(body)
        if not compare_digest(mac.digest(), datagram[2:HEADER_BYTES]):
            raise DecodeError(DecodeFault.BAD_MAC, f"key number {datagram[1]}")
        try:
            return self.decoder.decode(body)
        except (ValidationError, MsgspecDecodeError, RecursionError) as error:
            raise DecodeError(DecodeFault.MALFORMED, str(error)) from error
