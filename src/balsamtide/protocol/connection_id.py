"""Routable QUIC connection IDs.

An ID is 17 octets: one octet whose two high bits name the key, then one AES block
that holds service number, target number, a nonce and a check value.  The layout
follows the single-pass encryption of the IETF QUIC-LB draft.  A forged ID fails the
check value except with a probability of 2 to the power of -32.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from os import urandom
from struct import Struct

from cryptography.hazmat.primitives.ciphers import Cipher
from cryptography.hazmat.primitives.ciphers.algorithms import AES
from cryptography.hazmat.primitives.ciphers.modes import ECB

__all__ = ["CONNECTION_ID_BYTES", "ConnectionIdCodec", "Destination", "IdKeys"]

CONNECTION_ID_BYTES = 17
KEY_NUMBER_SHIFT = 6
NONCE_BYTES = 6
CHECK_VALUE = 0x62616C73
LAYOUT = Struct(f">HI{NONCE_BYTES}sI")


@dataclass(frozen=True, slots=True)
class Destination:
    """The target that a connection ID names.

    Parameters
    ----------
    service : int
        Service number, 0 to 65535.
    target : int
        Target number, 0 to 2**32 - 1.
    """

    service: int
    target: int


@dataclass(frozen=True, slots=True, kw_only=True)
class IdKeys:
    """The AES-128 keys of connection IDs, by key number 0 to 3."""

    current: int
    keys: Mapping[int, bytes]


class ConnectionIdCodec:
    """Issues connection IDs and reads them back.

    Parameters
    ----------
    keys : IdKeys
        Keys shared by all processes of one installation.
    random : callable
        Source of random octets.
    """

    def __init__(
        self, keys: IdKeys, *, random: Callable[[int], bytes] = urandom
    ) -> None:
        self.keys = keys
        self.random = random
        current = keys.keys[keys.current]
        self.encryptor = Cipher(AES(current), ECB()).encryptor()
        self.decryptors = {
            number: Cipher(AES(key), ECB()).decryptor()
            for number, key in keys.keys.items()
        }

    def issue(self, destination: Destination) -> bytes:
        """Return a fresh connection ID for ``destination``."""
        nonce = self.random(NONCE_BYTES)
        block = LAYOUT.pack(destination.service, destination.target, nonce, CHECK_VALUE)
        first = (self.keys.current << KEY_NUMBER_SHIFT) | (self.random(1)[0] & 0x3F)
        return bytes((first,)) + self.encryptor.update(block)

    def read(self, connection_id: bytes) -> Destination | None:
        """Return the destination of ``connection_id``, or None if it is not ours."""
        if len(connection_id) != CONNECTION_ID_BYTES:
            return None
        decryptor = self.decryptors.get(connection_id[0] >> KEY_NUMBER_SHIFT)
        if decryptor is None:
            return None
        block = decryptor.update(connection_id[1:])
        service, target, _, check = LAYOUT.unpack(block)
        if check != CHECK_VALUE:
            return None
        return Destination(service, target)
