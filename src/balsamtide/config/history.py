"""The bounded ring of recent entries with their chain hashes."""

from collections import deque
from dataclasses import dataclass

from balsamtide.config.entries import canonical_bytes, extend_chain
from balsamtide.protocol.messages import Entry

__all__ = ["History", "HistoryItem"]


@dataclass(frozen=True, slots=True, kw_only=True)
class HistoryItem:
    """A recent entry.

    Parameters
    ----------
    entry : Entry
        The entry.
    chain : bytes
        Hash over all entries up to this one.
    size : int
        Length of its canonical octets.
    """

    entry: Entry
    chain: bytes
    size: int


class History:
    """Recent entries, contiguous in number, bounded in count and octets.

    Parameters
    ----------
    number : int
        Last entry before the history.
    chain : bytes
        Hash over all entries up to ``number``.
    max_entries, max_bytes : int
        Bounds; the newest entry always stays.
    """

    def __init__(
        self, number: int, chain: bytes, *, max_entries: int, max_bytes: int
    ) -> None:
        self.number = number
        self.chain = chain
        self.max_entries = max_entries
        self.max_bytes = max_bytes
        self.size = 0
        self.start = number
        self.start_chain = chain
        self.items: deque[HistoryItem] = deque()

    def append(self, entry: Entry) -> None:
        """Add the entry that follows the last one."""
        octets = canonical_bytes(entry)
        self.number = entry.number
        self.chain = extend_chain(self.chain, octets)
        self.items.append(HistoryItem(entry=entry, chain=self.chain, size=len(octets)))
        self.size += len(octets)
        while self._exceeds_bounds():
            self._drop_oldest()

    def _exceeds_bounds(self) -> bool:
        if len(self.items) <= 1:
            return False
        return len(self.items) > self.max_entries or self.size > self.max_bytes

    def _drop_oldest(self) -> None:
        oldest = self.items.popleft()
        self.size -= oldest.size
        self.start = oldest.entry.number
        self.start_chain = oldest.chain

    def item(self, number: int) -> HistoryItem | None:
        """Return the item of entry ``number``, None if it is not here."""
        if not self.start < number <= self.number:
            return None
        return self.items[number - self.start - 1]

    def chain_at(self, number: int) -> bytes | None:
        """Return the hash over all entries up to ``number``, None if unknown."""
        if number == self.start:
            return self.start_chain
        item = self.item(number)
        return None if item is None else item.chain

    def after(self, number: int, *, max_bytes: int) -> tuple[Entry, ...]:
        """Return the entries that follow ``number``, at most ``max_bytes`` of them."""
        if not self.start <= number < self.number:
            return ()
        chosen = []
        room = max_bytes
        for index in range(number - self.start, len(self.items)):
            item = self.items[index]
            room -= item.size
            if room < 0:
                break
            chosen.append(item.entry)
        return tuple(chosen)
