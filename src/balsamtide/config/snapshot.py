"""Snapshots as a manifest and chunks of at most one megabyte."""

from collections.abc import Sequence
from enum import Enum
from hashlib import sha256

from msgspec import DecodeError, Struct, ValidationError, field
from msgspec.json import decode, encode

from balsamtide.config.entries import CHAIN_BYTES
from balsamtide.config.model import Configuration
from balsamtide.config.port import Snapshot

__all__ = [
    "MAX_CHUNKS",
    "MAX_CHUNK_BYTES",
    "SnapshotError",
    "SnapshotFault",
    "SnapshotManifest",
    "SnapshotParts",
    "check_manifest",
    "join_snapshot",
    "split_snapshot",
]

MAX_CHUNK_BYTES = 1_000_000
MAX_CHUNKS = 64


class SnapshotFault(Enum):
    """Why a manifest and its chunks are not a valid snapshot."""

    MANIFEST = "manifest"
    CHUNK_COUNT = "piece-count"
    CHUNK_SIZE = "piece-size"
    CHECKSUM = "checksum"
    CONTENT = "content"


class SnapshotError(ValueError):
    """A manifest and its chunks are not a valid snapshot.

    Parameters
    ----------
    fault : SnapshotFault
        Class of the fault.
    detail : str
        Description of the fault.
    """

    def __init__(self, fault: SnapshotFault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault
        self.detail = detail


class SnapshotManifest(Struct, frozen=True):
    """Description of a snapshot that is transferred in chunks.

    Parameters
    ----------
    number : int
        Last entry that the snapshot contains.
    in_force : int
        Number of the last entry in force.
    chain : str
        Chain hash over all entries up to ``number``, hexadecimal.
    checksum : str
        SHA-256 of the joined chunks, hexadecimal.
    chunk_count : int
        Number of chunks; ``pieces`` in JSON.
    """

    number: int
    in_force: int
    chain: str
    checksum: str
    chunk_count: int = field(name="pieces")


class SnapshotParts(Struct, frozen=True):
    """A manifest and its chunks."""

    manifest: SnapshotManifest
    chunks: tuple[bytes, ...]


def split_snapshot(
    snapshot: Snapshot, *, max_chunk_bytes: int = MAX_CHUNK_BYTES
) -> SnapshotParts:
    """Return the manifest and the chunks of ``snapshot``."""
    content = encode(snapshot.configuration)
    chunks = tuple(
        content[start : start + max_chunk_bytes]
        for start in range(0, len(content), max_chunk_bytes)
    )
    manifest = SnapshotManifest(
        number=snapshot.number,
        in_force=snapshot.in_force,
        chain=snapshot.chain.hex(),
        checksum=sha256(content).hexdigest(),
        chunk_count=len(chunks),
    )
    return SnapshotParts(manifest=manifest, chunks=chunks)


def check_manifest(manifest: SnapshotManifest) -> bytes:
    """Validate a manifest before its chunks are read, and return its chain hash.

    Raises
    ------
    SnapshotError
        If its fields are out of range.
    """
    if not 0 <= manifest.in_force <= manifest.number:
        raise SnapshotError(
            SnapshotFault.MANIFEST,
            f"in_force {manifest.in_force} is not between 0 and "
            f"number {manifest.number}",
        )
    if not 1 <= manifest.chunk_count <= MAX_CHUNKS:
        detail = f"{manifest.chunk_count} chunks, not between 1 and {MAX_CHUNKS}"
        raise SnapshotError(SnapshotFault.CHUNK_COUNT, detail)
    try:
        chain = bytes.fromhex(manifest.chain)
    except ValueError as error:
        detail = "the chain hash is not hexadecimal"
        raise SnapshotError(SnapshotFault.MANIFEST, detail) from error
    if len(chain) != CHAIN_BYTES:
        detail = f"the chain hash has {len(chain)} bytes instead of {CHAIN_BYTES}"
        raise SnapshotError(SnapshotFault.MANIFEST, detail)
    return chain


def join_snapshot(manifest: SnapshotManifest, chunks: Sequence[bytes]) -> Snapshot:
    """Join ``chunks`` and return the verified snapshot.

    Raises
    ------
    SnapshotError
        If they do not match the manifest or do not hold a configuration.
    """
    chain = check_manifest(manifest)
    if len(chunks) != manifest.chunk_count:
        detail = f"{len(chunks)} chunks instead of {manifest.chunk_count}"
        raise SnapshotError(SnapshotFault.CHUNK_COUNT, detail)
    if any(len(chunk) > MAX_CHUNK_BYTES for chunk in chunks):
        detail = f"a chunk exceeds {MAX_CHUNK_BYTES} bytes"
        raise SnapshotError(SnapshotFault.CHUNK_SIZE, detail)
    content = b"".join(chunks)
    if sha256(content).hexdigest() != manifest.checksum:
        raise SnapshotError(
            SnapshotFault.CHECKSUM,
            "the SHA-256 of the content differs from the manifest",
        )
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
