"""What a process tells about its membership."""

from dataclasses import dataclass

from balsamtide.membership.marks import MarkTable

__all__ = ["MarkStatus", "MembershipStatus", "mark_statuses"]


@dataclass(frozen=True, slots=True, kw_only=True)
class MarkStatus:
    """One claim held.

    Parameters
    ----------
    subject, kind, observer : str
        As in a mark.
    remaining_s : float
        Seconds until it expires.
    is_believed : bool
        Whether enough claims of this kind are held.
    """

    subject: str
    kind: str
    observer: str
    remaining_s: float
    is_believed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipStatus:
    """State of membership at one moment.

    Parameters
    ----------
    instance : str
        Own instance.
    incarnation : int
        Own incarnation.
    version : int
        Last entry in force.
    number : int
        Last entry held.
    lag : int
        Entries known to exist that are not held.
    readers : tuple of str
        Known readers of the own zone.
    is_reader : bool
        Whether this process is one.
    is_cut_off : bool
        Whether it takes itself to be isolated.
    is_leaving : bool
        Whether it announced that it leaves.
    marks : tuple of MarkStatus
        Claims held.
    partners : tuple of str
        Watched members.
    silent : tuple of str
        Those of them whose lease has run out.
    peers : int
        Size of the partial view.
    """

    instance: str
    incarnation: int
    version: int
    number: int
    lag: int
    readers: tuple[str, ...]
    is_reader: bool
    is_cut_off: bool
    is_leaving: bool
    marks: tuple[MarkStatus, ...]
    partners: tuple[str, ...]
    silent: tuple[str, ...]
    peers: int


def mark_statuses(table: MarkTable, now: float) -> tuple[MarkStatus, ...]:
    """Return the claims of ``table`` as seen at ``now``."""
    return tuple(
        MarkStatus(
            subject=claim.subject,
            kind=claim.kind,
            observer=claim.observer,
            remaining_s=round(claim.deadline - now, 3),
            is_believed=table.belief(claim.subject, now) == claim.kind,
        )
        for claim in table
    )
