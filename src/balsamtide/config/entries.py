"""Entries of the log: parsing, canonical encoding and the hash chain.

Every numbered element that the platform serves becomes one `Entry`.  An invalid one
becomes `malformed_entry(number)`, the same in every process, so that the log has no
gaps and every replica evaluates it alike.
"""

from hashlib import blake2b
from math import isfinite

from msgspec import DecodeError, Raw, Struct, ValidationError
from msgspec.json import decode, encode
from msgspec.msgpack import encode as encode_msgpack

from balsamtide.protocol.messages import Entry

__all__ = [
    "CHAIN_BYTES",
    "EMPTY_CHAIN",
    "MAX_ACTOR_CHARS",
    "MAX_ENTRY_BYTES",
    "MAX_VALUE_DEPTH",
    "InvalidEntryError",
    "ValueSize",
    "canonical_bytes",
    "check_entry",
    "extend_chain",
    "malformed_entry",
    "measure_value",
    "parse_entries",
]

CHAIN_BYTES = 16
EMPTY_CHAIN = bytes(CHAIN_BYTES)
MALFORMED_BASE = -1
MAX_ACTOR_CHARS = 128
MAX_ENTRY_BYTES = 1_000_000
MAX_ENTRY_NUMBER = 2**63 - 1
MAX_VALUE_DEPTH = 16


class InvalidEntryError(ValueError):
    """An entry that cannot be evaluated or encoded for peers."""


class ValueSize(Struct, frozen=True):
    """Size of a JSON value.

    Parameters
    ----------
    nodes : int
        Number of scalars, arrays and objects, nested ones included.
    depth : int
        Levels of nesting, 1 for a scalar.
    """

    nodes: int
    depth: int


def _children(value: object) -> list[object]:
    if isinstance(value, dict):
        if not all(isinstance(key, str) for key in value):
            raise InvalidEntryError("an object key is not a string")
        return list(value.values())
    if isinstance(value, list | tuple):
        return list(value)
    if isinstance(value, float) and not isfinite(value):
        raise InvalidEntryError("a number is not finite")
    if value is None or isinstance(value, str | int | float):
        return []
    raise InvalidEntryError(f"{type(value).__name__} is not a JSON type")


def measure_value(value: object, *, max_nodes: int, max_depth: int) -> ValueSize:
    """Return the size of a JSON value; its nodes are defined in `ValueSize`.

    Raises
    ------
    InvalidEntryError
        If it exceeds ``max_nodes`` or ``max_depth`` or is not a JSON value.
    """
    nodes = 0
    depth = 0
    level = [value]
    while level:
        nodes += len(level)
        depth += 1
        if nodes > max_nodes:
            raise InvalidEntryError(f"more than {max_nodes} values")
        if depth > max_depth:
            raise InvalidEntryError(f"nested deeper than {max_depth} levels")
        level = [child for parent in level for child in _children(parent)]
    return ValueSize(nodes, depth)


def canonical_bytes(entry: Entry) -> bytes:
    """Return the encoding of ``entry`` that the chain hash covers."""
    return encode(entry, order="deterministic")


def extend_chain(chain: bytes, encoded: bytes) -> bytes:
    """Return the chain hash after an entry with the encoding ``encoded``."""
    return blake2b(chain + encoded, digest_size=CHAIN_BYTES).digest()


def check_entry(entry: Entry) -> None:
    """Check that every process can evaluate an entry and encode it for peers.

    Raises
    ------
    InvalidEntryError
        If a field is out of range, too large or not encodable.
    """
    if not 1 <= entry.number <= MAX_ENTRY_NUMBER:
        raise InvalidEntryError(
            f"the number {entry.number} is not between 1 and {MAX_ENTRY_NUMBER}"
        )
    if not 0 <= entry.base <= MAX_ENTRY_NUMBER:
        raise InvalidEntryError("the base is out of range")
    if len(entry.actor) > MAX_ACTOR_CHARS:
        raise InvalidEntryError(
            f"the actor has {len(entry.actor)} characters, more than {MAX_ACTOR_CHARS}"
        )
    for operation in entry.patch:
        # A node has at least one byte, so a value with more nodes is too large anyway.
        measure_value(
            operation.value, max_nodes=MAX_ENTRY_BYTES, max_depth=MAX_VALUE_DEPTH
        )
    try:
        size = len(encode_msgpack(entry))
    except (OverflowError, UnicodeEncodeError) as error:
        raise InvalidEntryError("the entry cannot be encoded as MessagePack") from error
    if size > MAX_ENTRY_BYTES:
        raise InvalidEntryError(
            f"the entry has {size} bytes, more than {MAX_ENTRY_BYTES}"
        )


def malformed_entry(number: int) -> Entry:
    """Return the replacement of an invalid entry with this number."""
    return Entry(number=number, base=MALFORMED_BASE, patch=())


class _NumberedElement(Struct):
    number: int


def _parse_entry(raw: Raw) -> Entry:
    number = decode(raw, type=_NumberedElement).number
    if not 1 <= number <= MAX_ENTRY_NUMBER:
        raise InvalidEntryError(
            f"the number {number} is not between 1 and {MAX_ENTRY_NUMBER}"
        )
    try:
        entry = decode(raw, type=Entry)
        check_entry(entry)
    except (ValidationError, DecodeError, RecursionError, InvalidEntryError):
        return malformed_entry(number)
    return entry


def parse_entries(body: bytes) -> tuple[Entry, ...]:
    """Return the entries of a JSON array that the platform served.

    Elements that have a number but are otherwise invalid become `malformed_entry`.

    Raises
    ------
    InvalidEntryError
        If the body is not an array, or an element has no valid number.
    """
    try:
        return tuple(_parse_entry(raw) for raw in decode(body, type=list[Raw]))
    except (ValidationError, DecodeError, RecursionError) as error:
        raise InvalidEntryError(
            "the body is not an array of numbered entries"
        ) from error
