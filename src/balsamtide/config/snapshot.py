"""Snapshots in pieces: a manifest, and pieces of at most a megabyte."""

from collections.abc import Sequence
from enum import Enum
from hashlib import sha256

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode

from balsamtide.config.entries import CHAIN_BYTES
from balsamtide.config.model import Configuration
from balsamtide.config.port import Snapshot

__all__ = [
    "MAX_PIECES",
    "MAX_PIECE_BYTES",
    "SnapshotError",
    "SnapshotFault",
    "SnapshotManifest",
    "SnapshotParts",
    "check_manifest",
    "join_snapshot",
    "split_snapshot",
]

MAX_PIECE_BYTES = 1_000_000
MAX_PIECES = 64


class SnapshotFault(Enum):
    """Why pieces do not make a snapshot."""

    MANIFEST = "manifest"
    PIECE_COUNT = "piece-count"
    PIECE_SIZE = "piece-size"
    CHECKSUM = "checksum"
    CONTENT = "content"


class SnapshotError(ValueError):
    """Pieces that do not make a snapshot.

    Parameters
    ----------
    fault : SnapshotFault
        Class of the fault.
    detail : str
        What was found.
    """

    def __init__(self, fault: SnapshotFault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault
        self.detail = detail


class SnapshotManifest(Struct, frozen=True):
    """What the pieces of a snapshot are.

    Parameters
    ----------
    number : int
        Last entry that the snapshot contains.
    in_force : int
        Number of the last entry in force.
    chain : str
        Hash over all entries up to ``number``, hexadecimal.
    checksum : str
        SHA-256 over the joined pieces, hexadecimal.
    pieces : int
        How many there are.
    """

    number: int
    in_force: int
    chain: str
    checksum: str
    pieces: int


class SnapshotParts(Struct, frozen=True):
    """A manifest with its pieces."""

    manifest: SnapshotManifest
    pieces: tuple[bytes, ...]


def split_snapshot(
    snapshot: Snapshot, *, max_piece_bytes: int = MAX_PIECE_BYTES
) -> SnapshotParts:
    """Return the manifest and the pieces of ``snapshot``."""
    content = encode(snapshot.configuration)
    pieces = tuple(
        content[start : start + max_piece_bytes]
        for start in range(0, len(content), max_piece_bytes)
    )
    manifest = SnapshotManifest(
        number=snapshot.number,
        in_force=snapshot.in_force,
        chain=snapshot.chain.hex(),
        checksum=sha256(content).hexdigest(),
        pieces=len(pieces),
    )
    return SnapshotParts(manifest=manifest, pieces=pieces)


def check_manifest(manifest: SnapshotManifest) -> bytes:
    """Check a manifest before its pieces are fetched, and return its chain hash.

    Raises
    ------
    SnapshotError
        If its fields are out of range.
    """
    if not 0 <= manifest.in_force <= manifest.number:
        raise SnapshotError(SnapshotFault.MANIFEST, "numbers are out of range")
    if not 1 <= manifest.pieces <= MAX_PIECES:
        raise SnapshotError(SnapshotFault.PIECE_COUNT, f"{manifest.pieces} pieces")
    try:
        chain = bytes.fromhex(manifest.chain)
    except ValueError as error:
        detail = "the chain hash is not hexadecimal"
        raise SnapshotError(SnapshotFault.MANIFEST, detail) from error
    if len(chain) != CHAIN_BYTES:
        detail = f"the chain hash has {len(chain)} octets"
        raise SnapshotError(SnapshotFault.MANIFEST, detail)
    return chain


def join_snapshot(manifest: SnapshotManifest, pieces: Sequence[bytes]) -> Snapshot:
    """Return the snapshot that ``pieces`` make.

    Raises
    ------
    SnapshotError
        If they do not fit the manifest or hold no configuration.
    """
    chain = check_manifest(manifest)
    if len(pieces) != manifest.pieces:
        detail = f"{len(pieces)} pieces instead of {manifest.pieces}"
        raise SnapshotError(SnapshotFault.PIECE_COUNT, detail)
    if any(len(piece) > MAX_PIECE_BYTES for piece in pieces):
        detail = f"a piece exceeds {MAX_PIECE_BYTES} octets"
        raise SnapshotError(SnapshotFault.PIECE_SIZE, detail)
    content = b"".join(pieces)
    if sha256(content).hexdigest() != manifest.checksum:
        raise SnapshotError(SnapshotFault.CHECKSUM, "the content was altered")
    try:
        configuration = decode(content, type=Configuration)
    except (ValidationError, DecodeError, RecursionError) as error:
        raise SnapshotError(SnapshotFault.CONTENT, str(error)) from error
    return Snapshot(
        number=manifest.number,
        in_force=manifest.in_force,
        chain=chain,
        configuration=configuration,
    )
