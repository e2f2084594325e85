"""Fakes of the entry log that membership uses."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from balsamtide.config.model import Configuration
from balsamtide.config.port import Snapshot
from balsamtide.protocol.messages import Entry, PatchOperation

__all__ = ["FakeLog", "SnapshotFakeLog", "make_entry"]


def make_entry(number: int, *, padding: int = 0) -> Entry:
    """Return an entry whose value is ``padding`` bytes long."""
    patch = (PatchOperation(op="add", path="/x", value="x" * padding),)
    return Entry(number=number, base=number - 1, patch=patch)


@dataclass(frozen=True, slots=True)
class FakeHeld:
    """Position of a fake log."""

    number: int = 0
    in_force: int = 0
    chain: bytes = b""
    configuration: Configuration = field(default_factory=Configuration)


class FakeLog:
    """Log that puts every entry in force and never changes the configuration."""

    def __init__(self, configuration: Configuration | None = None) -> None:
        self.log: list[Entry] = []
        self.held = FakeHeld(configuration=configuration or Configuration())

    def offer_entries(
        self, entries: Sequence[Entry], *, source: str, now: float
    ) -> Sequence[object]:
        """Append the entries that continue the log."""
        for entry in entries:
            if entry.number == self.held.number + 1:
                self.log.append(entry)
                content = self.held.chain + repr(entry).encode()
                chain = blake2b(content, digest_size=16).digest()
                configuration = self.held.configuration
                self.held = FakeHeld(entry.number, entry.number, chain, configuration)
        return ()

    def entries_after(self, number: int, *, max_bytes: int) -> tuple[Entry, ...]:
        """Return up to ten entries, whatever ``max_bytes`` is."""
        return tuple(self.log[number : number + 10])


class SnapshotFakeLog(FakeLog):
    """Fake log that stores the snapshots offered to it."""

    def __init__(self) -> None:
        super().__init__()
        self.snapshots: list[Snapshot] = []

    def offer_snapshot(self, snapshot: Snapshot, *, source: str, now: float) -> bool:
        """Store the snapshot and report it as adopted."""
        self.snapshots.append(snapshot)
        return True
