"""What membership asks of the holder of the log."""

from collections.abc import Sequence
from typing import Protocol

from balsamtide.config.model import Configuration
from balsamtide.protocol.messages import Entry

__all__ = ["EntryLog", "HeldVersion"]


class HeldVersion(Protocol):
    """How far a log has come.

    ``number`` is the last entry held, ``in_force`` the last one in force and
    ``chain`` the hash over all entries up to ``number``.
    """

    @property
    def number(self) -> int:
        """Last entry held."""

    @property
    def in_force(self) -> int:
        """Last entry in force."""

    @property
    def chain(self) -> bytes:
        """Hash over all entries up to ``number``."""

    @property
    def configuration(self) -> Configuration:
        """Configuration in force."""


class EntryLog(Protocol):
    """The part of the configuration holder that membership uses."""

    @property
    def held(self) -> HeldVersion:
        """What is held now."""

    def offer_entries(
        self, entries: Sequence[Entry], *, source: str, now: float
    ) -> Sequence[object]:
        """Take entries; those that do not continue the log change nothing."""

    def entries_after(self, number: int, *, max_bytes: int) -> tuple[Entry, ...]:
        """Return entries from ``number + 1``, about ``max_bytes`` in all."""
