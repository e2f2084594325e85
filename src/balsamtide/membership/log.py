"""Interface of the entry log that membership uses."""

from collections.abc import Sequence
from typing import Protocol

from balsamtide.config.model import Configuration
from balsamtide.protocol.messages import Entry

__all__ = ["EntryLog", "LogState"]


class LogState(Protocol):
    """Last entry, hash chain and configuration in force of a log."""

    @property
    def number(self) -> int:
        """Number of the last entry held."""

    @property
    def in_force(self) -> int:
        """Number of the last entry in force; rejected entries are only held."""

    @property
    def chain(self) -> bytes:
        """Hash over all entries up to ``number``."""

    @property
    def configuration(self) -> Configuration:
        """Configuration in force."""


class EntryLog(Protocol):
    """The part of the configuration replica that membership uses."""

    @property
    def held(self) -> LogState:
        """Current state of the log."""

    def offer_entries(
        self, entries: Sequence[Entry], *, source: str, now: float
    ) -> Sequence[object]:
        """Add entries; those that do not continue the log may be ignored or kept.

        Returns
        -------
        sequence
            Results of the entries, which membership does not use.
        """

    def entries_after(self, number: int, *, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from ``number + 1`` on, about ``max_bytes`` in total."""
