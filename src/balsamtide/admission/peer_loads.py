"""What the agents of one service know of each other's load."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp
from random import Random

from balsamtide.config.model import SizeClass
from balsamtide.protocol.messages import LoadReport

__all__ = ["PeerLoads"]

FRESH_S = 2.5
CHOICES = 2
DEFAULT_ROUND_TRIP_S = 0.002
ROUND_TRIP_GAIN = 0.1
GRANT_GAIN = 0.3
GRANT_AT_FIRST = 0.5
GRANT_RECOVERY_S = 0.3
LOWEST_GRANT_SHARE = 0.2
LONGEST_PEER_WAIT_S = 0.05
US_PER_S = 1_000_000
COLD_COST_S = 0.01
TAKING = frozenset(("ready", "cold", "full"))
PERMILLE = 1000


@dataclass(slots=True)
class PeerLoad:
    """The last report of one peer.

    Parameters
    ----------
    report : LoadReport
        The report.
    fresh_until : float
        When it is no longer believed, seconds on the local clock.
    grant_share : float
        Recent share of offers that the peer granted.
    replied_at : float
        When ``grant_share`` was updated, seconds on the local clock.
    """

    report: LoadReport
    fresh_until: float
    grant_share: float = GRANT_AT_FIRST
    replied_at: float = 0.0

    def likely_grant(self, now: float) -> float:
        """Return the probability of a grant; it recovers while nobody asks."""
        kept = exp(-(now - self.replied_at) / GRANT_RECOVERY_S)
        return kept * self.grant_share + (1 - kept) * GRANT_AT_FIRST

    def take_reply(self, is_granted: bool, now: float) -> None:
        """Take the reply to an offer."""
        share = self.likely_grant(now)
        self.grant_share = share + GRANT_GAIN * (is_granted - share)
        self.replied_at = now

    def wait_s(self, size: SizeClass) -> float:
        """Return the expected wait of a request of class ``size``, seconds."""
        is_long = size is SizeClass.LONG
        wait = self.report.long_wait_us if is_long else self.report.short_wait_us
        return wait / US_PER_S


class PeerLoads:
    """Load reports of the peers, and the choice of a peer by them.

    Parameters
    ----------
    service : int
        Service number; reports of others are ignored.
    random : Random
        Source of the sampled choices.
    """

    def __init__(self, service: int, random: Random) -> None:
        self.service = service
        self.random = random
        self.zones: dict[int, str] = {}
        self.loads: dict[int, PeerLoad] = {}
        self.round_trips: dict[str, float] = {}

    def configure(self, zones: Mapping[int, str]) -> None:
        """Take the availability zones of the peers by target number."""
        self.zones = dict(zones)
        self.loads = {n: load for n, load in self.loads.items() if n in zones}

    def receive(self, report: LoadReport, now: float) -> bool:
        """Take a report; tell whether the peer has a free slot."""
        if report.service != self.service or report.target not in self.zones:
            return False
        load = self.loads.setdefault(report.target, PeerLoad(report, 0.0))
        load.report = report
        load.fresh_until = now + FRESH_S
        return report.free_slots > 0 and report.state in TAKING

    def forget(self, target: int) -> None:
        """Drop what is known of a peer, for example when it went silent."""
        self.loads.pop(target, None)

    def record_reply(
        self, target: int, is_granted: bool, seconds: float, now: float
    ) -> None:
        """Take a peer's reply to an offer, and the time of the exchange."""
        load = self.loads.get(target)
        zone = self.zones.get(target)
        if load is None or zone is None:
            return
        load.take_reply(is_granted, now)
        known = self.round_trips.get(zone, seconds)
        self.round_trips[zone] = known + ROUND_TRIP_GAIN * (seconds - known)

    def round_trip(self, target: int) -> float:
        """Return the expected time of one exchange with a peer, seconds."""
        zone = self.zones.get(target, "")
        return self.round_trips.get(zone, DEFAULT_ROUND_TRIP_S)

    def choose(
        self,
        size: SizeClass,
        now: float,
        *,
        own_wait_s: float,
        allowed: Mapping[int, int] | None = None,
    ) -> tuple[int, ...]:
        """Return peers that probably have a free slot, best first.

        ``CHOICES`` peers are sampled and ordered by cost.  ``allowed`` restricts them
        to targets with a quota above zero.
        """
        usable = [
            number
            for number, load in self.loads.items()
            if self._is_usable(load, size, own_wait_s, now)
            and (allowed is None or allowed.get(number, 0) > 0)
        ]
        return self._sample(usable, now)

    def choose_less_busy(self, busy_share: float, now: float) -> tuple[int, ...]:
        """Return peers whose slots were less in use than ``busy_share``, best first."""
        usable = [
            number
            for number, load in self.loads.items()
            if load.report.busy_permille < busy_share * PERMILLE
            and self._is_usable(load, SizeClass.SHORT, LONGEST_PEER_WAIT_S, now)
        ]
        return self._sample(usable, now)

    def mean_busy(self, now: float) -> float | None:
        """Return the mean share of slot time in use at fresh peers."""
        shares = [
            load.report.busy_permille / PERMILLE
            for load in self.loads.values()
            if now < load.fresh_until and load.report.state in TAKING
        ]
        return sum(shares) / len(shares) if shares else None

    def _sample(self, usable: list[int], now: float) -> tuple[int, ...]:
        sampled = self.random.sample(usable, min(CHOICES, len(usable)))
        sampled.sort(key=lambda number: self._cost(number, now))
        return tuple(sampled)

    def _is_usable(
        self, load: PeerLoad, size: SizeClass, own_wait_s: float, now: float
    ) -> bool:
        if now >= load.fresh_until or load.report.state not in TAKING:
            return False
        if size is SizeClass.LONG:
            return load.report.long_wait_us == 0
        if load.wait_s(size) >= min(own_wait_s, LONGEST_PEER_WAIT_S):
            return False
        return load.likely_grant(now) >= LOWEST_GRANT_SHARE

    def _cost(self, number: int, now: float) -> float:
        load = self.loads[number]
        cold = COLD_COST_S if load.report.state == "cold" else 0.0
        return cold + self.round_trip(number) / load.likely_grant(now)

    def deny(self, targets: tuple[int, ...], now: float) -> None:
        """Take it that none of ``targets`` granted."""
        for number in targets:
            load = self.loads.get(number)
            if load is not None and load.replied_at < now:
                load.take_reply(False, now)

    def shortest_wait(
        self,
        size: SizeClass,
        now: float,
        allowed: Mapping[int, int] | None = None,
    ) -> float | None:
        """Return the shortest expected wait among fresh peers, None without any."""
        waits = [
            load.wait_s(size)
            for number, load in self.loads.items()
            if now < load.fresh_until
            and load.report.state in TAKING
            and (allowed is None or allowed.get(number, 0) > 0)
        ]
        return min(waits, default=None)

    def count(self, state: str, now: float) -> int:
        """Return how many fresh peers report ``state``."""
        return sum(
            load.report.state == state and now < load.fresh_until
            for load in self.loads.values()
        )
