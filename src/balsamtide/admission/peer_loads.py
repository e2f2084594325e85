"""What the agents of one service know of each other's load."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from balsamtide.config.model import SizeClass
from balsamtide.protocol.messages import LoadReport

__all__ = ["PeerLoads"]

FRESH_S = 2.5
DENIED_S = 0.02
CHOICES = 3
DEFAULT_ROUND_TRIP_S = 0.001
ROUND_TRIP_GAIN = 0.1
US_PER_S = 1_000_000


@dataclass(slots=True)
class PeerLoad:
    """The last report of one peer.

    Parameters
    ----------
    report : LoadReport
        The report.
    fresh_until : float
        When it is no longer believed, seconds on the local clock.
    free : int
        Free slots less the requests sent there since.
    avoid_until : float
        Until when no request is offered after a denial.
    """

    report: LoadReport
    fresh_until: float
    free: int
    avoid_until: float = 0.0

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
        load = PeerLoad(report, now + FRESH_S, report.free_slots)
        self.loads[report.target] = load
        return self._takes_work(load, now)

    def forget(self, target: int) -> None:
        """Drop what is known of a peer, for example when it went silent."""
        self.loads.pop(target, None)

    def record_round_trip(self, target: int, seconds: float) -> None:
        """Take the measured time of one exchange with a peer."""
        zone = self.zones.get(target)
        if zone is None:
            return
        known = self.round_trips.get(zone, seconds)
        self.round_trips[zone] = known + ROUND_TRIP_GAIN * (seconds - known)

    def round_trip(self, target: int) -> float:
        """Return the expected time of one exchange with a peer, seconds."""
        zone = self.zones.get(target, "")
        return self.round_trips.get(zone, DEFAULT_ROUND_TRIP_S)

    def choose(
        self, size: SizeClass, now: float, allowed: Mapping[int, int] | None = None
    ) -> tuple[int, ...]:
        """Return peers with a free slot for work of class ``size``, best first.

        ``CHOICES`` peers are sampled and ordered by expected wait plus the cost of
        the way.  ``allowed`` restricts them to targets with a quota above zero.
        """
        free = [
            number
            for number, load in self.loads.items()
            if self._takes_work(load, now)
            and (allowed is None or allowed.get(number, 0) > 0)
            and (size is SizeClass.SHORT or load.report.long_wait_us == 0)
        ]
        sampled = self.random.sample(free, min(CHOICES, len(free)))
        sampled.sort(key=lambda number: self._cost(number, size))
        if sampled:
            self.loads[sampled[0]].free -= 1
        return tuple(sampled)

    def _takes_work(self, load: PeerLoad, now: float) -> bool:
        return (
            load.free > 0
            and now < load.fresh_until
            and now >= load.avoid_until
            and load.report.state in ("ready", "cold")
        )

    def _cost(self, number: int, size: SizeClass) -> tuple[float, int]:
        load = self.loads[number]
        cold_first = 1.0 if load.report.state == "cold" else 0.0
        return (
            cold_first + load.wait_s(size) + self.round_trip(number),
            -load.free,
        )

    def deny(self, targets: tuple[int, ...], now: float) -> None:
        """Offer nothing to ``targets`` for a moment."""
        for number in targets:
            load = self.loads.get(number)
            if load is not None:
                load.avoid_until = now + DENIED_S

    def shortest_wait(
        self, size: SizeClass, now: float, allowed: Mapping[int, int]
    ) -> float | None:
        """Return the shortest expected wait among fresh peers, None without any."""
        waits = [
            load.wait_s(size)
            for number, load in self.loads.items()
            if now < load.fresh_until and allowed.get(number, 0) > 0
        ]
        return min(waits, default=None)

    def count(self, state: str, now: float) -> int:
        """Return how many fresh peers report ``state``."""
        return sum(
            load.report.state == state and now < load.fresh_until
            for load in self.loads.values()
        )
