"""Buffer of entries that arrived ahead of a gap in the log."""

from dataclasses import dataclass

from balsamtide.config.entries import canonical_bytes
from balsamtide.protocol.messages import Entry

__all__ = ["EntryBuffer", "BufferedEntry"]


@dataclass(frozen=True, slots=True, kw_only=True)
class BufferedEntry:
    """A buffered entry and its sender.

    Parameters
    ----------
    entry : Entry
        The entry.
    source : str
        Peer or platform that delivered it.
    size_bytes : int
        Length of its canonical encoding, in bytes.
    """

    entry: Entry
    source: str
    size_bytes: int


class EntryBuffer:
    """Buffer of entries by number, bounded in count and bytes.

    At a bound the highest numbers are dropped, since the lowest are evaluated first.

    Parameters
    ----------
    max_entries, max_bytes : int
        Bounds of the buffer.
    """

    def __init__(self, *, max_entries: int, max_bytes: int) -> None:
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.items: dict[int, BufferedEntry] = {}

    def __len__(self) -> int:
        return len(self.items)

    def get(self, number: int) -> BufferedEntry | None:
        """Return the buffered entry ``number``, None if there is none."""
        return self.items.get(number)

    def add(self, entry: Entry, *, source: str) -> tuple[BufferedEntry, ...]:
        """Add ``entry`` and return the entries dropped to stay within the bounds."""
        size_bytes = len(canonical_bytes(entry))
        item = BufferedEntry(entry=entry, source=source, size_bytes=size_bytes)
        self.items[entry.number] = item
        self.size_bytes += size_bytes
        dropped = []
        while len(self.items) > self.max_entries or self.size_bytes > self.max_bytes:
            dropped.append(self._remove(max(self.items)))
        return tuple(dropped)

    def take(self, number: int) -> BufferedEntry | None:
        """Remove and return the entry ``number``, None if there is none."""
        return self._remove(number) if number in self.items else None

    def discard_through(self, number: int) -> None:
        """Remove the entries up to and including ``number``."""
        for covered in [key for key in self.items if key <= number]:
            self._remove(covered)

    def _remove(self, number: int) -> BufferedEntry:
        item = self.items.pop(number)
        self.size_bytes -= item.size_bytes
        return item
