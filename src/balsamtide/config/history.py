"""Bounded history of recent entries and their chain hashes."""

from collections import deque
from dataclasses import dataclass

from balsamtide.config.entries import canonical_bytes, extend_chain
from balsamtide.protocol.messages import Entry

__all__ = ["History", "HistoryItem"]


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryItem:
    """An entry of the history.

    Parameters
    ----------
    entry : Entry
        The entry.
    chain : bytes
        Chain hash over all entries up to this one.
    size_bytes : int
        Length of its canonical encoding, in bytes.
    """

    entry: Entry
    chain: bytes
    size_bytes: int


class History:
    """Recent entries with contiguous numbers, bounded in count and bytes.

    Parameters
    ----------
    start : int
        Number of the last entry before the history.
    start_chain : bytes
        Chain hash over all entries up to ``start``.
    max_entries, max_bytes : int
        Bounds; the newest entry is kept even if it exceeds them.

    Attributes
    ----------
    number : int
        Number of the newest entry, ``start`` if the history is empty.
    chain : bytes
        Chain hash over all entries up to ``number``.
    """

    def __init__(
        self, start: int, start_chain: bytes, *, max_entries: int, max_bytes: int
    ) -> None:
        self.number = start
        self.chain = start_chain
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self.start = start
        self.start_chain = start_chain
        self.items: deque[HistoryItem] = deque()

    def append(self, entry: Entry) -> None:
        """Add the entry that follows the last one."""
        encoded = canonical_bytes(entry)
        self.number = entry.number
        self.chain = extend_chain(self.chain, encoded)
        self.items.append(
            HistoryItem(entry=entry, chain=self.chain, size_bytes=len(encoded))
        )
        self.size_bytes += len(encoded)
        while self._exceeds_bounds():
            self._drop_oldest()

    def _exceeds_bounds(self) -> bool:
        if len(self.items) <= 1:
            return False
        return len(self.items) > self.max_entries or self.size_bytes > self.max_bytes

    def _drop_oldest(self) -> None:
        oldest = self.items.popleft()
        self.size_bytes -= oldest.size_bytes
        self.start = oldest.entry.number
        self.start_chain = oldest.chain

    def item(self, number: int) -> HistoryItem | None:
        """Return the item of entry ``number``, None if the history lacks it."""
        if not self.start < number <= self.number:
            return None
        return self.items[number - self.start - 1]

    def chain_at(self, number: int) -> bytes | None:
        """Return the chain hash at ``number``, None if unknown."""
        if number == self.start:
            return self.start_chain
        item = self.item(number)
        return None if item is None else item.chain

    def entries_after(self, number: int, *, max_bytes: int) -> tuple[Entry, ...]:
        """Return the entries that follow ``number``, at most ``max_bytes`` in total."""
        if not self.start <= number < self.number:
            return ()
        selected = []
        remaining = max_bytes
        for index in range(number - self.start, len(self.items)):
            item = self.items[index]
            remaining -= item.size_bytes
            if remaining < 0:
                break
            selected.append(item.entry)
        return tuple(selected)
