"""Load of the peers of one service, and peer selection by load."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp
from random import Random

from balsamtide.config.model import SizeClass
from balsamtide.protocol.messages import LoadReport

__all__ = ["PeerLoads"]

REPORT_TTL_S = 2.5
SAMPLED_PEERS = 2
DEFAULT_ROUND_TRIP_S = 0.002
ROUND_TRIP_GAIN = 0.1
GRANT_GAIN = 0.3
INITIAL_GRANT_RATE = 0.5
GRANT_RECOVERY_S = 0.3
MIN_GRANT_PROBABILITY = 0.2
MAX_PEER_WAIT_S = 0.05
US_PER_S = 1_000_000
COLD_COST_S = 0.01
ACCEPTING_STATES = frozenset(("ready", "cold", "full"))
PERMILLE = 1000


@dataclass(slots=True)
class PeerLoad:
    """Last load report and grant statistics of one peer.

    Parameters
    ----------
    report : LoadReport
        Last report received.
    expires_at : float
        When the report becomes stale, seconds on the local clock.
    grant_rate : float
        Exponentially weighted share of offers that the peer granted.
    updated_at : float
        When ``grant_rate`` was updated, seconds on the local clock.
    """

    report: LoadReport
    expires_at: float
    grant_rate: float = INITIAL_GRANT_RATE
    updated_at: float = 0.0

    def grant_probability(self, now: float) -> float:
        """Return the grant rate, which decays to its initial value without replies."""
        decay = exp(-(now - self.updated_at) / GRANT_RECOVERY_S)
        return decay * self.grant_rate + (1 - decay) * INITIAL_GRANT_RATE

    def record_reply(self, is_granted: bool, now: float) -> None:
        """Update the grant rate with the reply to an offer."""
        probability = self.grant_probability(now)
        self.grant_rate = probability + GRANT_GAIN * (is_granted - probability)
        self.updated_at = now

    def wait_s(self, size: SizeClass) -> float:
        """Return the expected wait of a request of class ``size``, seconds."""
        is_long = size is SizeClass.LONG
        wait = self.report.long_wait_us if is_long else self.report.short_wait_us
        return wait / US_PER_S


class PeerLoads:
    """Selects peers by their load reports.

    Parameters
    ----------
    service : int
        Service number; reports of other services are ignored.
    random : Random
        Random source for peer sampling.
    """

    def __init__(self, service: int, random: Random) -> None:
        self.service = service
        self.random = random
        self.zones: dict[int, str] = {}
        self.loads: dict[int, PeerLoad] = {}
        self.round_trips: dict[str, float] = {}

    def configure(self, zones: Mapping[int, str]) -> None:
        """Set the availability zones of the peers by target number."""
        self.zones = dict(zones)
        self.loads = {n: load for n, load in self.loads.items() if n in zones}

    def receive(self, report: LoadReport, now: float) -> bool:
        """Store a report; return whether the peer accepts work in a free slot."""
        if report.service != self.service or report.target not in self.zones:
            return False
        load = self.loads.setdefault(report.target, PeerLoad(report, 0.0))
        load.report = report
        load.expires_at = now + REPORT_TTL_S
        return report.free_slots > 0 and report.state in ACCEPTING_STATES

    def forget(self, target: int) -> None:
        """Drop the load of a peer, for example when it stops reporting."""
        self.loads.pop(target, None)

    def record_reply(
        self, target: int, is_granted: bool, seconds: float, now: float
    ) -> None:
        """Record a peer's reply to an offer and its round trip in seconds."""
        load = self.loads.get(target)
        zone = self.zones.get(target)
        if load is None or zone is None:
            return
        load.record_reply(is_granted, now)
        known = self.round_trips.get(zone, seconds)
        self.round_trips[zone] = known + ROUND_TRIP_GAIN * (seconds - known)

    def round_trip_s(self, target: int) -> float:
        """Return the expected round trip to a peer, seconds."""
        zone = self.zones.get(target, "")
        return self.round_trips.get(zone, DEFAULT_ROUND_TRIP_S)

    def choose(
        self,
        size: SizeClass,
        now: float,
        *,
        local_wait_s: float,
        quotas: Mapping[int, int] | None = None,
    ) -> tuple[int, ...]:
        """Return peers that probably have a free slot, best first.

        ``SAMPLED_PEERS`` peers are sampled and ordered by cost.  ``quotas`` restricts
        them to targets with a quota above zero.
        """
        usable = [
            number
            for number, load in self.loads.items()
            if self._is_usable(load, size, local_wait_s, now)
            and (quotas is None or quotas.get(number, 0) > 0)
        ]
        return self._sample(usable, now)

    def choose_less_busy(self, busy_share: float, now: float) -> tuple[int, ...]:
        """Return peers whose slot usage is below ``busy_share``, best first."""
        usable = [
            number
            for number, load in self.loads.items()
            if load.report.busy_permille < busy_share * PERMILLE
            and self._is_usable(load, SizeClass.SHORT, MAX_PEER_WAIT_S, now)
        ]
        return self._sample(usable, now)

    def mean_busy_share(self, now: float) -> float | None:
        """Return the mean slot usage of peers with fresh reports, None without any."""
        shares = [
            load.report.busy_permille / PERMILLE
            for load in self.loads.values()
            if now < load.expires_at and load.report.state in ACCEPTING_STATES
        ]
        return sum(shares) / len(shares) if shares else None

    def _sample(self, usable: list[int], now: float) -> tuple[int, ...]:
        sampled = self.random.sample(usable, min(SAMPLED_PEERS, len(usable)))
        sampled.sort(key=lambda number: self._cost(number, now))
        return tuple(sampled)

    def _is_usable(
        self, load: PeerLoad, size: SizeClass, local_wait_s: float, now: float
    ) -> bool:
        if now >= load.expires_at or load.report.state not in ACCEPTING_STATES:
            return False
        if size is SizeClass.LONG:
            return load.report.long_wait_us == 0
        if load.wait_s(size) >= min(local_wait_s, MAX_PEER_WAIT_S):
            return False
        return load.grant_probability(now) >= MIN_GRANT_PROBABILITY

    def _cost(self, number: int, now: float) -> float:
        load = self.loads[number]
        cold = COLD_COST_S if load.report.state == "cold" else 0.0
        return cold + self.round_trip_s(number) / load.grant_probability(now)

    def record_denials(self, targets: tuple[int, ...], now: float) -> None:
        """Record a denial by each of ``targets`` that has not replied at ``now``."""
        for number in targets:
            load = self.loads.get(number)
            if load is not None and load.updated_at < now:
                load.record_reply(False, now)

    def shortest_wait(
        self,
        size: SizeClass,
        now: float,
        quotas: Mapping[int, int] | None = None,
    ) -> float | None:
        """Return the shortest expected wait at a peer with a fresh report, or None."""
        waits = [
            load.wait_s(size)
            for number, load in self.loads.items()
            if now < load.expires_at
            and load.report.state in ACCEPTING_STATES
            and (quotas is None or quotas.get(number, 0) > 0)
        ]
        return min(waits, default=None)

    def count(self, state: str, now: float) -> int:
        """Return how many peers report ``state``, stale reports excluded."""
        return sum(
            load.report.state == state and now < load.expires_at
            for load in self.loads.values()
        )
