"""What silence of some partners means: failed members, a lost zone, or isolation."""

from collections.abc import Collection
from dataclasses import dataclass

__all__ = ["Silence", "Watched", "judge_silence"]

# Above this share of silent partners, the observer takes itself to be cut off.
CUT_OFF_SHARE = 0.5
# Instances of a zone that have to be silent before the zone counts as lost.
LEAST_ZONE_EVIDENCE = 2


@dataclass(frozen=True, slots=True)
class Watched:
    """A partner or witness as the observer sees it.

    Parameters
    ----------
    name, zone : str
        Instance and its availability zone.
    is_silent : bool
        Whether its lease has run out.
    """

    name: str
    zone: str
    is_silent: bool


@dataclass(frozen=True, slots=True)
class Silence:
    """The conclusion of one observer.

    Parameters
    ----------
    is_cut_off : bool
        The observer is the one that is isolated; it claims nothing.
    zones : frozenset of str
        Other zones of which nobody was heard.
    members : frozenset of str
        Single silent partners outside these zones.
    """

    is_cut_off: bool = False
    zones: frozenset[str] = frozenset()
    members: frozenset[str] = frozenset()


def judge_silence(
    local_zone: str, partners: Collection[Watched], witnesses: Collection[Watched] = ()
) -> Silence:
    """Judge what the silence of partners means.

    Parameters
    ----------
    local_zone : str
        Availability zone of the observer.
    partners : collection of Watched
        Members of the group that the observer watches.
    witnesses : collection of Watched
        Further instances of zones that may be lost, asked for that reason.
    """
    if not any(partner.is_silent for partner in partners):
        return Silence()
    if all(partner.is_silent for partner in partners):
        return Silence(is_cut_off=True)
    lost = _lost_zones(local_zone, [*partners, *witnesses])
    foreign = {partner.zone for partner in partners} - {local_zone}
    if foreign and len(lost) > len(foreign) * CUT_OFF_SHARE:
        return Silence(is_cut_off=True)
    rest = [partner for partner in partners if partner.zone not in lost]
    silent = frozenset(partner.name for partner in rest if partner.is_silent)
    if len(silent) > len(rest) * CUT_OFF_SHARE:
        return Silence(is_cut_off=True)
    return Silence(zones=lost, members=silent)


def _lost_zones(local_zone: str, watched: Collection[Watched]) -> frozenset[str]:
    evidence: dict[str, set[str]] = {}
    for each in watched:
        evidence.setdefault(each.zone, set()).add(each.name)
    heard = {each.zone for each in watched if not each.is_silent} | {local_zone}
    return frozenset(
        zone
        for zone, names in evidence.items()
        if zone not in heard and len(names) >= LEAST_ZONE_EVIDENCE
    )
