"""Diagnosis of silent partners: failed members, a zone failure, or isolation."""

from collections.abc import Collection
from dataclasses import dataclass

__all__ = ["Diagnosis", "PeerLiveness", "diagnose_silence"]

# Above this share of silent partners or zones the observer considers itself cut off.
CUT_OFF_SHARE = 0.5
# Minimum number of silent instances for a zone to count as failed.
MIN_SILENT_PER_ZONE = 2


@dataclass(frozen=True, slots=True)
class PeerLiveness:
    """Liveness of a partner or probed instance as seen by the observer.

    An entry named after a zone and not silent states that the zone was heard.

    Parameters
    ----------
    name, zone : str
        Instance or zone name, and availability zone.
    is_silent : bool
        Whether its lease has expired.
    """

    name: str
    zone: str
    is_silent: bool


@dataclass(frozen=True, slots=True)
class Diagnosis:
    """Conclusion of one observer about its silent partners.

    Parameters
    ----------
    is_cut_off : bool
        Whether the observer itself is isolated; it then makes no claim.
    zones : frozenset of str
        Remote zones from which no instance was heard.
    members : frozenset of str
        Silent partners outside these zones.
    """

    is_cut_off: bool = False
    zones: frozenset[str] = frozenset()
    members: frozenset[str] = frozenset()


def diagnose_silence(
    local_zone: str,
    partners: Collection[PeerLiveness],
    probed: Collection[PeerLiveness] = (),
) -> Diagnosis:
    """Derive the cause of the silence of some partners.

    Parameters
    ----------
    local_zone : str
        Availability zone of the observer.
    partners : collection of PeerLiveness
        Members of the group that the observer monitors.
    probed : collection of PeerLiveness
        Further instances of zones that may have failed, probed for confirmation, and
        an entry for each zone that was heard.
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
