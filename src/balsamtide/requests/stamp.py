"""Stamps: signed tokens that an agent issues for keyed requests.

A caller sends one with its idempotency key, so that a single ledger decides about that
key: the one that the issuing agent kept when it issued the token.

A token is the base64url encoding of a truncated keyed BLAKE2 MAC, the number of the MAC
key and a MessagePack array.
"""

from base64 import urlsafe_b64decode, urlsafe_b64encode
from binascii import Error as Base64Error
from hashlib import blake2b
from hmac import compare_digest

from msgspec import DecodeError as MsgspecDecodeError
from msgspec import Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from balsamtide.protocol.datagram import MacKeys

__all__ = ["Stamp", "StampCodec", "StampIssuer"]

MAC_BYTES = 12
PERSONALIZATION = b"balsam-stamp"
MAX_TOKEN_BYTES = 128


class Stamp(Struct, frozen=True, array_like=True):
    """Decoded content of a token: issuing agent, its tenure, and the position there.

    Parameters
    ----------
    service : int
        Service number.
    target : int
        Target number of the agent.
    tenure : int
        Random number that identifies one lifetime of the agent's ledger.
    sequence : int
        Position among the stamps of the tenure, from 1.
    """

    service: int
    target: int
    tenure: int
    sequence: int


class StampCodec:
    """Encodes stamps as tokens and verifies tokens.

    Parameters
    ----------
    keys : MacKeys
        MAC keys shared by all agents of an installation.
    """

    def __init__(self, keys: MacKeys) -> None:
        self.keys = keys
        self.encoder = Encoder()
        self.decoder = Decoder(Stamp)

    def _mac(self, key: bytes, body: bytes) -> bytes:
        return blake2b(
            body, key=key, digest_size=MAC_BYTES, person=PERSONALIZATION
        ).digest()

    def encode(self, stamp: Stamp) -> bytes:
        """Return the ASCII token of ``stamp``."""
        body = bytes((self.keys.current,)) + self.encoder.encode(stamp)
        mac = self._mac(self.keys.keys[self.keys.current], body)
        return urlsafe_b64encode(mac + body).rstrip(b"=")

    def decode(self, token: bytes) -> Stamp | None:
        """Return the stamp of an authentic token, None for any other."""
        if len(token) > MAX_TOKEN_BYTES:
            return None
        try:
            raw = urlsafe_b64decode(token + b"=" * (-len(token) % 4))
        except (Base64Error, ValueError):
            return None
        mac, body = raw[:MAC_BYTES], raw[MAC_BYTES:]
        key = self.keys.keys.get(body[0]) if body else None
        if key is None or not compare_digest(mac, self._mac(key, body)):
            return None
        try:
            return self.decoder.decode(body[1:])
        except (ValidationError, MsgspecDecodeError):
            return None


class StampIssuer:
    """Issues the stamps of an agent in one tenure.

    Parameters
    ----------
    codec : StampCodec
        Encodes the tokens.
    service, target : int
        Service number and target number of the agent.
    tenure : int
        Tenure of the agent.
    """

    def __init__(
        self, codec: StampCodec, *, service: int, target: int, tenure: int
    ) -> None:
        self.codec = codec
        self.service = service
        self.target = target
        self.tenure = tenure
        self.sequence = 0

    def issue(self) -> bytes:
        """Return the next token, to be sent with an answer."""
        self.sequence += 1
        stamp = Stamp(self.service, self.target, self.tenure, self.sequence)
        return self.codec.encode(stamp)
