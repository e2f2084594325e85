"""Entries that came ahead of a gap in the log."""

from dataclasses import dataclass

from balsamtide.config.entries import canonical_bytes
from balsamtide.protocol.messages import Entry

__all__ = ["EntryBuffer", "BufferedEntry"]


@dataclass(frozen=True, slots=True, kw_only=True)
class BufferedEntry:
    """An entry that waits, with who delivered it.

    Parameters
    ----------
    entry : Entry
        The entry.
    source : str
        Who delivered it.
    size : int
        Length of its canonical octets.
    """

    entry: Entry
    source: str
    size: int


class EntryBuffer:
    """A buffer bounded in count and octets; the lowest numbers stay.

    Parameters
    ----------
    max_entries, max_bytes : int
        Bounds.
    """

    def __init__(self, *, max_entries: int, max_bytes: int) -> None:
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.size = 0
        self.items: dict[int, BufferedEntry] = {}

    def __len__(self) -> int:
        return len(self.items)

    def get(self, number: int) -> BufferedEntry | None:
        """Return what waits under ``number``."""
        return self.items.get(number)

    def add(self, entry: Entry, *, source: str) -> tuple[BufferedEntry, ...]:
        """Add ``entry`` and return what had to be dropped for the bounds."""
        size = len(canonical_bytes(entry))
        item = BufferedEntry(entry=entry, source=source, size=size)
        self.items[entry.number] = item
        self.size += size
        dropped = []
        while len(self.items) > self.max_entries or self.size > self.max_bytes:
            dropped.append(self._remove(max(self.items)))
        return tuple(dropped)

    def take(self, number: int) -> BufferedEntry | None:
        """Remove and return what waits under ``number``."""
        return self._remove(number) if number in self.items else None

    def discard_through(self, number: int) -> None:
        """Drop what waits under ``number`` and below."""
        for passed in [held for held in self.items if held <= number]:
            self._remove(passed)

    def _remove(self, number: int) -> BufferedEntry:
        item = self.items.pop(number)
        self.size -= item.size
        return item
