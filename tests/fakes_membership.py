"""Fakes of what membership talks to."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from balsamtide.config.model import Configuration
from balsamtide.config.port import Snapshot
from balsamtide.protocol.messages import Entry, PatchOperation

__all__ = ["FakeLog", "SnapshotFakeLog", "make_entry"]


def make_entry(number: int, *, padding: int = 0) -> Entry:
    """Return an entry whose value is ``padding`` octets long."""
    patch = (PatchOperation(op="add", path="/x", value="x" * padding),)
    return Entry(number=number, base=number - 1, patch=patch)


@dataclass(frozen=True, slots=True)
class FakeHeld:
    """What a fake log holds."""

    number: int = 0
    in_force: int = 0
    chain: bytes = b""
    configuration: Configuration = field(default_factory=Configuration)


class FakeLog:
    """A log that puts every entry in force and leaves the configuration alone."""

    def __init__(self, configuration: Configuration | None = None) -> None:
        self.log: list[Entry] = []
        self.held = FakeHeld(configuration=configuration or Configuration())

    def offer_entries(
        self, entries: Sequence[Entry], *, source: str, now: float
    ) -> Sequence[object]:
        """Append what continues the log."""
        for entry in entries:
            if entry.number == self.held.number + 1:
                self.log.append(entry)
                octets = self.held.chain + repr(entry).encode()
                chain = blake2b(octets, digest_size=16).digest()
                configuration = self.held.configuration
                self.held = FakeHeld(entry.number, entry.number, chain, configuration)
        return ()

    def entries_after(self, number: int, *, max_bytes: int) -> tuple[Entry, ...]:
        """Return up to ten entries."""
        return tuple(self.log[number : number + 10])


class SnapshotFakeLog(FakeLog):
    """A fake log that keeps the snapshots offered to it."""

    def __init__(self) -> None:
        super().__init__()
        self.snapshots: list[Snapshot] = []

    def offer_snapshot(self, snapshot: Snapshot, *, source: str, now: float) -> bool:
        """Keep it."""
        self.snapshots.append(snapshot)
        return True
