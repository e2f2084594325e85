"""What silence of some partners means: failed members, a lost zone, or isolation."""

from collections.abc import Collection
from dataclasses import dataclass

__all__ = ["Diagnosis", "PeerLiveness", "diagnose_silence"]

# Above this share of silent partners, the observer takes itself to be cut off.
CUT_OFF_SHARE = 0.5
# Instances of a zone that have to be silent before the zone counts as lost.
MIN_SILENT_PER_ZONE = 2


@dataclass(frozen=True, slots=True)
class PeerLiveness:
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
class Diagnosis:
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


def diagnose_silence(
    local_zone: str,
    partners: Collection[PeerLiveness],
    probed: Collection[PeerLiveness] = (),
) -> Diagnosis:
    """Judge what the silence of partners means.

    Parameters
    ----------
    local_zone : str
        Availability zone of the observer.
    partners : collection of PeerLiveness
        Members of the group that the observer watches.
    probed : collection of PeerLiveness
        Further instances of zones that may be lost, asked for that reason.
    """
    if not any(partner.is_silent for partner in partners):
        return Diagnosis()
    if all(partner.is_silent for partner in partners):
        return Diagnosis(is_cut_off=True)
    lost_zones = _lost_zones(local_zone, [*partners, *probed])
    remote_zones = {partner.zone for partner in partners} - {local_zone}
    if remote_zones and len(lost_zones) > len(remote_zones) * CUT_OFF_SHARE:
        return Diagnosis(is_cut_off=True)
    rest = [partner for partner in partners if partner.zone not in lost_zones]
    silent = frozenset(partner.name for partner in rest if partner.is_silent)
    if len(silent) > len(rest) * CUT_OFF_SHARE:
        return Diagnosis(is_cut_off=True)
    return Diagnosis(zones=lost_zones, members=silent)


def _lost_zones(local_zone: str, observed: Collection[PeerLiveness]) -> frozenset[str]:
    names_by_zone: dict[str, set[str]] = {}
    for each in observed:
        names_by_zone.setdefault(each.zone, set()).add(each.name)
    heard = {each.zone for each in observed if not each.is_silent} | {local_zone}
    return frozenset(
        zone
        for zone, names in names_by_zone.items()
        if zone not in heard and len(names) >= MIN_SILENT_PER_ZONE
    )
