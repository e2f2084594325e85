"""Interface of the entry log that membership uses."""

from collections.abc import Sequence
from typing import Protocol

from balsamtide.config.model import Configuration
from balsamtide.protocol.messages import Entry

__all__ = ["EntryLog", "HeldVersion"]


class HeldVersion(Protocol):
    """Position of a log: its last entry, its hash chain and what is in force."""

    @property
    def number(self) -> int:
        """Number of the last entry held."""

    @property
    def in_force(self) -> int:
        """Number of the last entry in force."""

    @property
    def chain(self) -> bytes:
        """Hash over all entries up to ``number``."""

    @property
    def configuration(self) -> Configuration:
        """Configuration in force."""


class EntryLog(Protocol):
    """The part of the configuration replica that membership uses."""

    @property
    def held(self) -> HeldVersion:
        """Current position of the log."""

    def offer_entries(
        self, entries: Sequence[Entry], *, source: str, now: float
    ) -> Sequence[object]:
        """Append entries; those that do not continue the log are ignored."""

    def entries_after(self, number: int, *, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from ``number + 1`` on, about ``max_bytes`` in total."""
