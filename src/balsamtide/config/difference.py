"""Differences between two configurations, by member."""

from collections.abc import Iterator
from enum import Enum

from msgspec import Struct
from msgspec.json import decode, encode

from balsamtide.config.model import Configuration

__all__ = ["ChangeKind", "ConfigurationChange", "diff_configurations"]

# Distinguishes an absent member from one whose value is null.
MISSING = object()


class ChangeKind(Enum):
    """Kind of a difference."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class ConfigurationChange(Struct, frozen=True, kw_only=True):
    """A difference in one member.

    Parameters
    ----------
    kind : ChangeKind
        Kind of the difference.
    path : str
        JSON pointer to the member.
    old, new : object
        Its values as decoded from JSON; None where the member is absent.
    """

    kind: ChangeKind
    path: str
    old: object = None
    new: object = None


def _escape_token(key: object) -> str:
    return str(key).replace("~", "~0").replace("/", "~1")


def _child_members(value: object) -> dict[object, object] | None:
    if isinstance(value, dict):
        return value
    if isinstance(value, list):
        return dict(enumerate(value))
    return None


def _diff_values(path: str, old: object, new: object) -> Iterator[ConfigurationChange]:
    if old is MISSING:
        yield ConfigurationChange(kind=ChangeKind.ADDED, path=path, new=new)
        return
    if new is MISSING:
        yield ConfigurationChange(kind=ChangeKind.REMOVED, path=path, old=old)
        return
    if old == new:
        return
    old_members = _child_members(old)
    new_members = _child_members(new)
    if old_members is None or new_members is None:
        yield ConfigurationChange(kind=ChangeKind.CHANGED, path=path, old=old, new=new)
        return
    for key in old_members | new_members:
        yield from _diff_values(
            f"{path}/{_escape_token(key)}",
            old_members.get(key, MISSING),
            new_members.get(key, MISSING),
        )


def diff_configurations(
    old: Configuration, new: Configuration
) -> tuple[ConfigurationChange, ...]:
    """Return the differences between ``old`` and ``new``.

    Services that are the same object in both are skipped without a comparison.
    """
    changes: list[ConfigurationChange] = []
    for name in old.services | new.services:
        before = old.services.get(name)
        after = new.services.get(name)
        if before is after:
            continue
        changes.extend(
            _diff_values(
                f"/services/{_escape_token(name)}",
                MISSING if before is None else decode(encode(before)),
                MISSING if after is None else decode(encode(after)),
            )
        )
    return tuple(changes)
