"""Differences between two configurations, member by member."""

from collections.abc import Iterator
from enum import Enum

from msgspec import Struct
from msgspec.json import decode, encode

from balsamtide.config.model import Configuration

__all__ = ["ChangeKind", "ConfigurationChange", "diff_configurations"]

MISSING = object()


class ChangeKind(Enum):
    """What became of a member."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class ConfigurationChange(Struct, frozen=True, kw_only=True):
    """One difference.

    Parameters
    ----------
    kind : ChangeKind
        What became of the member.
    path : str
        JSON pointer of the member.
    old, new : object
        Its values as in JSON; None where there is none.
    """

    kind: ChangeKind
    path: str
    old: object = None
    new: object = None


def _escaped(key: object) -> str:
    return str(key).replace("~", "~0").replace("/", "~1")


def _members(value: object) -> dict[object, object] | None:
    if isinstance(value, dict):
        return value
    if isinstance(value, list):
        return dict(enumerate(value))
    return None


def _changes(path: str, old: object, new: object) -> Iterator[ConfigurationChange]:
    if old is MISSING:
        yield ConfigurationChange(kind=ChangeKind.ADDED, path=path, new=new)
        return
    if new is MISSING:
        yield ConfigurationChange(kind=ChangeKind.REMOVED, path=path, old=old)
        return
    if old == new:
        return
    old_members = _members(old)
    new_members = _members(new)
    if old_members is None or new_members is None:
        yield ConfigurationChange(kind=ChangeKind.CHANGED, path=path, old=old, new=new)
        return
    for key in old_members | new_members:
        yield from _changes(
            f"{path}/{_escaped(key)}",
            old_members.get(key, MISSING),
            new_members.get(key, MISSING),
        )


def diff_configurations(
    old: Configuration, new: Configuration
) -> tuple[ConfigurationChange, ...]:
    """Return what differs between ``old`` and ``new``.

    Services that are the same object in both are skipped unseen.
    """
    changes: list[ConfigurationChange] = []
    for name in old.services | new.services:
        before = old.services.get(name)
        after = new.services.get(name)
        if before is after:
            continue
        changes.extend(
            _changes(
                f"/services/{_escaped(name)}",
                MISSING if before is None else decode(encode(before)),
                MISSING if after is None else decode(encode(after)),
            )
        )
    return tuple(changes)
