"""Share of new flows that go to the targets of evacuated availability zones.

Load pattern: the targets of a zone stop taking new flows while the other zones are
busy, and later return, possibly cold.  The share of flows that may go there falls
quickly but not at once, so that the other zones' queues adapt, and returns slowly.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from zlib import crc32

from balsamtide.fleet.target import FlowTarget
from balsamtide.fleet.view import FleetView

__all__ = ["ZoneChange", "ZoneEvacuation"]

# Part of the evacuation timeout in which the share falls to 0.  The rest is for the
# way of the evacuation from the store to this process.
FALL_RATIO = 0.2
# Part of the timeout after which the share is 0, counted from the latest time at which
# the zone was known not to be evacuated.  A process that was suspended or cut off
# learns of an evacuation so late that a fall from then on would exceed the timeout.
LATEST_RATIO = 0.8
# Time in which the share returns to 1 for services whose targets need no warm-up:
# several objectives, so that loads are reported before the next step.
RETURN_S = 2.0
# Odd multiplier of Fibonacci hashing.  The home targets of a flow follow from the same
# checksum, so that an unscrambled one would remove flows from a part of the ring.
HASH_MULTIPLIER = 0x9E3779B1
HASH_MODULUS = 1 << 32


@dataclass(frozen=True, slots=True)
class ZoneChange:
    """Begin or end of an evacuation.

    Parameters
    ----------
    zone : str
        Availability zone.
    is_evacuated : bool
        Whether the evacuation began.
    """

    zone: str
    is_evacuated: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ZonePhase:
    """Transition of the share of one zone, or its end at 0.

    Parameters
    ----------
    is_evacuated : bool
        Whether the share falls, otherwise it returns.
    began_at : float
        Local time of the beginning.
    shares : mapping of str to float
        Share at the beginning by service.
    """

    is_evacuated: bool
    began_at: float
    shares: Mapping[str, float]


def _flow_position(key: bytes) -> float:
    """Return a number from 0 to 1, equal in all processes; high ones leave first."""
    return crc32(key) * HASH_MULTIPLIER % HASH_MODULUS / HASH_MODULUS


class ZoneEvacuation:
    """Evacuations as this process knows them.

    Parameters
    ----------
    timeout_s : float or None
        Time within which an evacuation takes effect in all processes, None if
        evacuations take full effect as soon as they are known.
    zone : str
        Availability zone of this process, for an agent whose target is not listed.
    """

    def __init__(self, *, timeout_s: float | None = None, zone: str = "") -> None:
        self.timeout_s = timeout_s
        self.zone = zone
        # Zones of the latest view, None before the first one.
        self.zones: frozenset[str] | None = None
        # Local time at which those zones were confirmed as the evacuated ones.
        self.confirmed_at = -inf
        # Zones whose share is below 1.
        self.phases: dict[str, ZonePhase] = {}

    def update(
        self, view: FleetView, now: float, *, confirmed_at: float
    ) -> list[ZoneChange]:
        """Record the zones of a view; return what has changed.

        Zones that are evacuated in the first view have no share from the beginning.

        Parameters
        ----------
        view : FleetView
            The view in force.
        now : float
            Local time in seconds.
        confirmed_at : float
            Local time at which a reader confirmed that view as the newest.
        """
        if view.revision < 0:
            return []
        before, self.zones = self.zones, view.evacuated_zones
        known_at, self.confirmed_at = self.confirmed_at, confirmed_at
        self._remove_returned(view, now)
        if before == self.zones:
            return []
        fall_at = self._fall_starts_at(known_at, now) if before is not None else -inf
        changes = [ZoneChange(zone, True) for zone in self.zones - (before or set())]
        changes += [ZoneChange(zone, False) for zone in (before or set()) - self.zones]
        for change in changes:
            shares = {
                service: self.share(change.zone, service, view, now)
                for service in view.configuration.services
            }
            self.phases[change.zone] = ZonePhase(
                is_evacuated=change.is_evacuated,
                began_at=fall_at if change.is_evacuated else now,
                shares=shares,
            )
        return sorted(changes, key=_changed_zone)

    def _fall_starts_at(self, known_at: float, now: float) -> float:
        """Return when the fall of a share starts, in the past if it must end earlier.

        Parameters
        ----------
        known_at : float
            Latest local time at which the zone was known not to be evacuated.
        now : float
            Local time in seconds.
        """
        timeout_s = self.timeout_s or 0.0
        return min(now, known_at + (LATEST_RATIO - FALL_RATIO) * timeout_s)

    def _remove_returned(self, view: FleetView, now: float) -> None:
        for zone, phase in list(self.phases.items()):
            if phase.is_evacuated:
                continue
            warm_ups = view.configuration.warm_ups.values()
            lasts_s = max([RETURN_S, *(warm_up.lasts_s for warm_up in warm_ups)])
            if now >= phase.began_at + lasts_s:
                del self.phases[zone]

    def share(self, zone: str, service: str, view: FleetView, now: float) -> float:
        """Return the share of the service's new flows that may go to a zone."""
        phase = self.phases.get(zone)
        if phase is None:
            return 1.0
        elapsed_s = now - phase.began_at
        if phase.is_evacuated:
            lasts_s = FALL_RATIO * (self.timeout_s or 0.0)
            if elapsed_s >= lasts_s:
                return 0.0
            return max(0.0, phase.shares.get(service, 1.0) - elapsed_s / lasts_s)
        warm_up = view.configuration.warm_ups.get(service)
        lasts_s = warm_up.lasts_s if warm_up else RETURN_S
        if elapsed_s >= lasts_s:
            return 1.0
        return min(1.0, phase.shares.get(service, 0.0) + elapsed_s / lasts_s)

    def admits(
        self, target: FlowTarget, key: bytes | None, view: FleetView, now: float
    ) -> bool:
        """Whether a new flow may go to a target's zone.

        Parameters
        ----------
        target : FlowTarget
            The target.
        key : bytes or None
            Key of the flow, None to ask whether any flow may go there.
        view : FleetView
            The view in force.
        now : float
            Local time in seconds.
        """
        share = self.share(target.zone, target.service, view, now)
        if key is None or share in (0.0, 1.0):
            return share > 0.0
        return _flow_position(key) < share


def _changed_zone(change: ZoneChange) -> str:
    return change.zone
