"""Status report of membership."""

from dataclasses import dataclass

from balsamtide.membership.marks import MarkTable

__all__ = ["MarkStatus", "MembershipStatus", "mark_statuses"]


@dataclass(frozen=True, slots=True, kw_only=True)
class MarkStatus:
    """One claim in the mark table.

    Parameters
    ----------
    subject, kind, observer : str
        As in `Mark`.
    remaining_s : float
        Time until the claim expires, seconds.
    is_believed : bool
        Whether this kind is the one believed of the subject.
    """

    subject: str
    kind: str
    observer: str
    remaining_s: float
    is_believed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipStatus:
    """State of membership at one point in time.

    Parameters
    ----------
    instance : str
        Name of the local instance.
    incarnation : int
        Incarnation of the local instance.
    version : int
        Number of the last entry in force.
    number : int
        Number of the last entry held.
    lag : int
        Number of entries known to exist that are not held.
    readers : tuple of str
        Known readers of the local zone.
    is_reader : bool
        Whether this process is a reader.
    is_cut_off : bool
        Whether this process considers itself cut off.
    is_leaving : bool
        Whether this process announced that it is leaving.
    marks : tuple of MarkStatus
        Claims in the mark table.
    partners : tuple of str
        Monitored members.
    silent : tuple of str
        Partners whose lease has expired.
    peers : int
        Number of listed peers in the partial view.
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
    """Return the status at ``now`` of all claims in ``table``."""
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
