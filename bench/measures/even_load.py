"""Evenness of load when balancers know the loads of targets only from old reports.

A model in virtual time of the decision alone: targets with one slot, three quarters of
the requests on long flows that stay at their target, waves of demand in one zone after
the other, and some targets that are slow for a while.
"""

from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, fields
from heapq import heappop, heappush
from itertools import count
from random import Random
from statistics import fmean, pstdev
from sys import argv

from balsamtide.fleet.target import FlowTarget, TargetState
from balsamtide.fleet.target_ring import HOME_COUNT as HOMES
from balsamtide.fleet.target_ring import MAX_WITHOUT_RING
from balsamtide.flows.load_table import (
    SUM_PERIOD_S,
    LoadMeter,
    LoadTable,
    TargetLoad,
)
from balsamtide.flows.placement import LeastLoadedPlacement
from balsamtide.flows.shared_load_peers import SharedLoadPeer
from balsamtide.flows.shared_load_placement import SharedLoadPlacement
from balsamtide.flows.spillover import RandomPeer, SpilloverContext
from balsamtide.protocol.flow_frames import LoadReport
from balsamtide.telemetry.memory_sink import MemorySink
from bench.figures import Figure

__all__ = ["POLICIES", "Model", "Outcome", "Policy", "figures", "report_ages"]

ZONES = ("a", "b", "c")
BALANCERS = 19
# Mean of all requests, those that take longer included.
WORK_S = 0.026
SIGMA = 0.5
TAIL_ONE_IN = 33
TAIL_FACTOR = 7.0
LOAD = 0.6
# Share of the requests on long flows, and the requests and the lifetime of these flows.
LONG_SHARE = 0.75
LONG_RATE_PER_S = 2.5
LONG_LIFE_S = 10.0
WAVE = 0.55
WAVE_S = 4.0
ZONE_DELAY_S = 0.0035
LOCAL_DELAY_S = 0.0002
OBJECTIVE_S = 0.35
# Requests at a target, one of them running, from which it rejects another one.
REJECTS_AT = 9
# Queued flows and requests from which an agent refuses a new flow.
MAX_DEMAND = 60
MAX_HOPS = 2
# Cost of another zone in load per slot, for the policies that have no own rule.
OTHER_ZONE_COST = 0.2
BOUND_FACTOR = 1.25
HOT_FACTOR = 1.4
SLOWNESS = 5.0
SLOW_ONE_IN = 12
SLOW_FROM_S, SLOW_TO_S = 6.0, 12.0
BEGIN_S, END_S = 3.0, 18.0
SAMPLE_S = 0.05


# Work in seconds, time at which the client sent it, and the client's zone.
Job = tuple[float, float, int]


@dataclass(slots=True)
class ModelTarget:
    """A target, its queue and the load that its agent reports."""

    target: FlowTarget
    meter: LoadMeter
    slowness: float = 1.0
    demand: int = 0
    long_rate: float = 0.0
    queue: deque[Job] = field(default_factory=deque)


@dataclass(slots=True)
class Outcome:
    """Figures of one run.

    Parameters
    ----------
    spread : float
        Standard deviation of the load over targets, in means of 0.5 s.
    swing : float
        Standard deviation of a target's load over time, in means of 0.5 s.
    forwards : float
        Forwards per new flow.
    wait_p99_s : float
        99th percentile of the time until a request starts, in seconds.
    in_objective : float
        Share of the requests that are answered within the objective.
    crossing : float
        Share of the requests that are served in another zone than their client's.
    """

    spread: float
    swing: float
    forwards: float
    wait_p99_s: float
    in_objective: float
    crossing: float


def zone_of(balancer: int) -> str:
    """Return the zone of a balancer."""
    return ZONES[balancer % len(ZONES)]


class Policy:
    """Chooses targets at balancers and peers at agents, by default at random."""

    def __init__(self, model: "Model") -> None:
        self.model = model
        self.random = model.random

    def choose(self, balancer: int, homes: Sequence[FlowTarget]) -> FlowTarget:
        """Return the target for a new flow."""
        return self.random.choice(homes)

    def peer(
        self, source: FlowTarget, demand: int, peers: Sequence[FlowTarget]
    ) -> FlowTarget | None:
        """Return the target to forward a flow to, None to keep it."""
        return self.random.choice(peers)

    def taken(self, balancer: int, host: int, load: float) -> None:
        """Record the load of the frame that confirms a flow."""

    def zone_cost(self, balancer: int, target: FlowTarget) -> float:
        """Return the cost of another zone in load per slot."""
        return OTHER_ZONE_COST if target.zone != zone_of(balancer) else 0.0


class Today(Policy):
    """Loads of frames that are forgotten within 50 ms, and peers at random."""

    def __init__(self, model: "Model") -> None:
        super().__init__(model)
        self.placements = [
            LeastLoadedPlacement(zone=zone_of(balancer), random=self.random)
            for balancer in range(BALANCERS)
        ]

    def choose(self, balancer: int, homes: Sequence[FlowTarget]) -> FlowTarget:
        """Return the choice of `LeastLoadedPlacement`."""
        placement = self.placements[balancer]
        target = placement.choose(b"", homes, self.model.now)
        placement.record_placement(target, self.model.now)
        return target

    def taken(self, balancer: int, host: int, load: float) -> None:
        """Record the load of the frame."""
        self.placements[balancer].record_load(host, load, self.model.now)


class LeastReported(Policy):
    """The least reported load among ``sample`` of the candidates."""

    sample = HOMES

    def choose(self, balancer: int, homes: Sequence[FlowTarget]) -> FlowTarget:
        """Return the candidate with the least reported load."""
        some = self.random.sample(homes, min(self.sample, len(homes)))
        return min(
            some,
            key=lambda target: (
                self.model.reports[target.host].mean + self.zone_cost(balancer, target)
            ),
        )


class TwoChoices(LeastReported):
    """The less loaded of two random candidates."""

    sample = 2


class BoundedHashing(Policy):
    """The first candidate whose reported load is below a multiple of the mean."""

    def choose(self, balancer: int, homes: Sequence[FlowTarget]) -> FlowTarget:
        """Return the first one, those of the own zone first."""
        bound = BOUND_FACTOR * self.model.mean_report
        ordered = sorted(homes, key=lambda target: self.zone_cost(balancer, target))
        for target in ordered:
            if self.model.reports[target.host].mean <= bound:
                return target
        return ordered[0]


class HotCold(Policy):
    """Any candidate that is not hot, those of the own zone first."""

    def choose(self, balancer: int, homes: Sequence[FlowTarget]) -> FlowTarget:
        """Return a random cold candidate."""
        hot = HOT_FACTOR * self.model.mean_report
        reports = self.model.reports
        cold = [t for t in homes if reports[t.host].mean < hot] or list(homes)
        near = [target for target in cold if target.zone == zone_of(balancer)]
        return self.random.choice(near or cold)


class PerfectKnowledge(Policy):
    """The present demand of each candidate, at no cost."""

    def choose(self, balancer: int, homes: Sequence[FlowTarget]) -> FlowTarget:
        """Return the candidate with the least demand."""
        return min(homes, key=lambda target: self._cost(balancer, target))

    def _cost(self, balancer: int, target: FlowTarget) -> tuple[float, float]:
        demand = self.model.targets[target.host].demand
        return demand + self.zone_cost(balancer, target), self.random.random()

    def peer(
        self, source: FlowTarget, demand: int, peers: Sequence[FlowTarget]
    ) -> FlowTarget | None:
        """Return the peer with the least demand if that is less than here."""
        targets = self.model.targets
        best = min(peers, key=lambda target: targets[target.host].demand)
        return best if targets[best.host].demand < demand else None


class LongRunKnowledge(PerfectKnowledge):
    """The work that long flows give each target, which no process knows."""

    def choose(self, balancer: int, homes: Sequence[FlowTarget]) -> FlowTarget:
        """Return the target with the least lasting work."""
        return min(homes, key=lambda target: self._cost(balancer, target))

    def _cost(self, balancer: int, target: FlowTarget) -> tuple[float, float]:
        known = self.model.targets[target.host]
        cost = known.long_rate * known.slowness * WORK_S + 0.3 * known.demand
        return cost + self.zone_cost(balancer, target), self.random.random()


class Interpreted(Policy):
    """The product's decisions, at balancers and agents."""

    def __init__(self, model: "Model") -> None:
        super().__init__(model)
        by_host = {target.host: target for target in model.all}
        # All agents share one table and know the same, which is the worst case.
        self.tables = [
            LoadTable(targets=lambda: by_host, now=0.0) for _ in range(BALANCERS + 1)
        ]
        self.placements = [
            SharedLoadPlacement(
                zone=zone_of(balancer),
                table=self.tables[balancer],
                service_size=lambda _: MAX_WITHOUT_RING + 1,
                small_services=LeastLoadedPlacement(zone="", random=self.random),
                random=self.random,
                sink=MemorySink(),
            )
            for balancer in range(BALANCERS)
        ]
        self.peers = SharedLoadPeer(
            table=self.tables[-1],
            service_size=lambda _: MAX_WITHOUT_RING + 1,
            small_services=RandomPeer(random=self.random),
            random=self.random,
            zone_delay_s=ZONE_DELAY_S,
        )

    def _update(self, table: LoadTable) -> None:
        now = self.model.now
        if now < table.summed_at + SUM_PERIOD_S:
            return
        reports = [
            LoadReport(host, report.mean, now - report.mean_at)
            for host, report in enumerate(self.model.reports)
        ]
        table.receive(reports, now)

    def choose(self, balancer: int, homes: Sequence[FlowTarget]) -> FlowTarget:
        """Return the product's choice."""
        now = self.model.now
        self._update(self.tables[balancer])
        placement = self.placements[balancer]
        target = placement.choose(b"", homes, now)
        placement.record_placement(target, now)
        return target

    def taken(self, balancer: int, host: int, load: float) -> None:
        """Record the load of the frame."""
        self.placements[balancer].record_load(host, load, self.model.now)

    def peer(
        self, source: FlowTarget, demand: int, peers: Sequence[FlowTarget]
    ) -> FlowTarget | None:
        """Return the product's choice."""
        self._update(self.tables[-1])
        context = SpilloverContext(
            host=source.host,
            demand=demand,
            capacity=1,
            service_time_s=WORK_S,
            peers=[peer.host for peer in peers],
            now=self.model.now,
        )
        host = self.peers.choose(context)
        return None if host is None else self.model.all[host]


@dataclass(slots=True)
class Flow:
    """A new flow on its way to a target."""

    homes: Sequence[FlowTarget]
    balancer: int
    zone: int
    work_s: float
    # Requests per second, and the end of the flow.
    long: tuple[float, float] | None
    began_at: float
    visited: list[FlowTarget] = field(default_factory=list)
    best: FlowTarget | None = None
    best_demand: int = 0


def _delay_s(zone: str, other: str) -> float:
    return LOCAL_DELAY_S if zone == other else ZONE_DELAY_S


class PeersByLoad(Interpreted):
    """Today's placement with the product's choice of peers."""

    def __init__(self, model: "Model") -> None:
        super().__init__(model)
        self.today = Today(model)

    def choose(self, balancer: int, homes: Sequence[FlowTarget]) -> FlowTarget:
        """Return today's choice."""
        return self.today.choose(balancer, homes)

    def taken(self, balancer: int, host: int, load: float) -> None:
        """Record the load of the frame."""
        self.today.taken(balancer, host, load)


class PlacementByLoad(Interpreted):
    """The product's placement with peers at random."""

    def peer(
        self, source: FlowTarget, demand: int, peers: Sequence[FlowTarget]
    ) -> FlowTarget | None:
        """Return a random peer."""
        return self.random.choice(peers)


class Model:
    """Plays one load through one policy.

    Parameters
    ----------
    size : int
        Number of targets.
    age_s : float
        Period of the reports of each target, which is also their highest age.  0: the
        present demand, each 50 ms.
    make_policy : callable
        Makes the policy from the model.
    seed : int
        Seed of the load and of the decisions.
    slow : bool
        Whether some targets are slow for a while.
    """

    def __init__(
        self,
        size: int,
        age_s: float,
        make_policy: Callable[["Model"], Policy],
        seed: int,
        *,
        slow: bool = True,
    ) -> None:
        self.size = size
        self.age_s = age_s
        self.random = Random(seed)
        # Apart, so that the policies get the same kind of load.
        self.load_random = Random(seed + 1000)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()
        self.all = [
            FlowTarget(
                name=f"i-{host}",
                service="orders",
                host=host,
                port=80,
                zone=ZONES[host % len(ZONES)],
                capacity=1,
                state=TargetState.READY,
            )
            for host in range(size)
        ]
        self.targets = [ModelTarget(target, LoadMeter(0.0)) for target in self.all]
        self.reports = [TargetLoad(mean_at=0.0) for _ in range(size)]
        self.mean_report = 0.0
        self.policy = make_policy(self)
        self.waits: list[float] = []
        self.good = self.requests = self.crossings = 0
        self.placed = self.forwards = 0
        self.samples: list[list[int]] = []
        rate = LOAD * size / WORK_S / (1 + WAVE / len(ZONES))
        self.single_rate = rate * (1 - LONG_SHARE)
        self.long_flow_rate = rate * LONG_SHARE / LONG_RATE_PER_S / LONG_LIFE_S
        self._schedule(slow)

    def _schedule(self, slow: bool) -> None:
        for _ in range(int(self.long_flow_rate * LONG_LIFE_S)):
            self._at(self.load_random.random(), self._open_long)
        for call in (self._next_single, self._next_long, self._sample):
            self._at(0.0, call)
        for host in range(self.size if self.age_s else 0):
            begin = self.random.uniform(0, self.age_s)
            self._at(begin, lambda host=host: self._publish(host))
        for target in self.targets[: max(1, self.size // SLOW_ONE_IN) * slow]:
            for time, slowness in ((SLOW_FROM_S, SLOWNESS), (SLOW_TO_S, 1.0)):
                self._at(time, lambda t=target, s=slowness: setattr(t, "slowness", s))

    def _at(self, time: float, call: Callable[[], None]) -> None:
        heappush(self.events, (time, next(self.numbers), call))

    def _after(self, delay_s: float, call: Callable[[], None]) -> None:
        self._at(self.now + delay_s, call)

    def run(self) -> Outcome:
        """Play the load and return the figures."""
        while self.events[0][0] < END_S:
            self.now, _, call = heappop(self.events)
            call()
        return self.outcome()

    # Reports

    def _publish(self, host: int) -> None:
        target, report = self.targets[host], self.reports[host]
        target.meter.update(target.demand, self.now)
        report.mean, report.mean_at = target.meter.mean, self.now
        self._after(self.age_s, lambda: self._publish(host))

    def _sample(self) -> None:
        if not self.age_s:
            for target, report in zip(self.targets, self.reports, strict=True):
                report.mean, report.mean_at = float(target.demand), self.now
        self.mean_report = fmean(report.mean for report in self.reports)
        if self.now >= BEGIN_S:
            self.samples.append([target.demand for target in self.targets])
        self._after(SAMPLE_S, self._sample)

    # Load

    def _wave(self, zone: int) -> float:
        return 1 + WAVE * (int(self.now / WAVE_S) % len(ZONES) == zone)

    def _work(self) -> float:
        random = self.load_random
        mean = WORK_S / (1 + (TAIL_FACTOR - 1) / TAIL_ONE_IN)
        work = random.lognormvariate(-(SIGMA**2) / 2, SIGMA) * mean
        return work * (TAIL_FACTOR if random.random() < 1 / TAIL_ONE_IN else 1)

    def _next_single(self) -> None:
        self._open(None)
        waves = fmean(map(self._wave, range(len(ZONES))))
        gap_s = self.load_random.expovariate(self.single_rate * waves)
        self._after(gap_s, self._next_single)

    def _next_long(self) -> None:
        self._open_long()
        gap_s = self.load_random.expovariate(self.long_flow_rate)
        self._after(gap_s, self._next_long)

    def _open_long(self) -> None:
        random = self.load_random
        rate = LONG_RATE_PER_S * random.lognormvariate(-(SIGMA**2) / 2, SIGMA)
        self._open((rate, self.now + random.expovariate(1 / LONG_LIFE_S)))

    def _open(self, long: tuple[float, float] | None) -> None:
        random = self.load_random
        waves = [self._wave(zone) for zone in range(len(ZONES))]
        zone = random.choices(range(len(ZONES)), waves)[0]
        balancer = random.choice(range(zone, BALANCERS, len(ZONES)))
        homes = self.all
        if self.size > MAX_WITHOUT_RING:
            homes = [self.all[i] for i in random.sample(range(self.size), HOMES)]
        flow = Flow(homes, balancer, zone, self._work(), long, self.now)
        target = self.policy.choose(balancer, homes)
        self.placed += self.now >= BEGIN_S
        delay_s = _delay_s(ZONES[zone], target.zone)
        self._after(delay_s, lambda: self._arrive(target, flow))

    # Agents

    def _forward(self, flow: "Flow", source: FlowTarget, to: FlowTarget) -> None:
        self.forwards += self.now >= BEGIN_S
        delay_s = _delay_s(source.zone, to.zone)
        self._after(delay_s, lambda: self._arrive(to, flow))

    def _arrive(self, target: FlowTarget, flow: "Flow") -> None:
        here = self.targets[target.host]
        if here.demand and target not in flow.visited:
            if flow.best is None or here.demand < flow.best_demand:
                flow.best, flow.best_demand = target, here.demand
            flow.visited.append(target)
            peers = [home for home in flow.homes if home not in flow.visited]
            if peers and len(flow.visited) <= MAX_HOPS:
                peer = self.policy.peer(target, here.demand, peers)
                if peer is not None:
                    self._forward(flow, target, peer)
                    return
            if flow.best is not target:
                self._forward(flow, target, flow.best)
                return
        self._submit(here, flow.zone, flow.work_s, flow.began_at, MAX_DEMAND)
        load = float(here.demand)
        self._after(
            _delay_s(ZONES[flow.zone], target.zone),
            lambda: self.policy.taken(flow.balancer, target.host, load),
        )
        if flow.long is not None:
            rate, end = flow.long
            here.long_rate += rate
            self._at(max(end, self.now), lambda: self._end_long(here, rate))
            self._request_again(here, flow)

    def _end_long(self, target: ModelTarget, rate: float) -> None:
        target.long_rate -= rate

    def _request_again(self, target: ModelTarget, flow: "Flow") -> None:
        assert flow.long is not None
        rate, end = flow.long

        def send() -> None:
            if self.now < end:
                began_at, work_s = self.now, self._work()
                self._after(
                    _delay_s(ZONES[flow.zone], target.target.zone),
                    lambda: self._submit(
                        target, flow.zone, work_s, began_at, REJECTS_AT
                    ),
                )
                self._request_again(target, flow)

        gap_s = self.load_random.expovariate(rate * self._wave(flow.zone))
        self._after(gap_s, send)

    # Targets

    def _submit(
        self,
        target: ModelTarget,
        zone: int,
        work_s: float,
        began_at: float,
        limit: int,
    ) -> None:
        if began_at >= BEGIN_S:
            self.requests += 1
            self.crossings += target.target.zone != ZONES[zone]
        if target.demand >= limit:
            return
        target.demand += 1
        target.meter.update(target.demand, self.now)
        job = work_s, began_at, zone
        if target.demand == 1:
            self._start(target, job)
        else:
            target.queue.append(job)

    def _start(self, target: ModelTarget, job: Job) -> None:
        work_s, began_at, _ = job
        if began_at >= BEGIN_S:
            self.waits.append(self.now - began_at)
        self._after(work_s * target.slowness, lambda: self._end(target, job))

    def _end(self, target: ModelTarget, job: Job) -> None:
        _, began_at, zone = job
        took_s = self.now - began_at + _delay_s(ZONES[zone], target.target.zone)
        self.good += began_at >= BEGIN_S and took_s <= OBJECTIVE_S
        target.demand -= 1
        target.meter.update(target.demand, self.now)
        if target.queue:
            self._start(target, target.queue.popleft())

    def outcome(self) -> Outcome:
        """Return the figures so far."""
        per = int(0.5 / SAMPLE_S)
        windows = [
            [fmean(s[n] for s in self.samples[i : i + per]) for n in range(self.size)]
            for i in range(0, len(self.samples) - per, per)
        ]
        spread = fmean(pstdev(w) for w in windows)
        swing = fmean(pstdev(w[n] for w in windows) for n in range(self.size))
        waits = sorted(self.waits)
        return Outcome(
            spread,
            swing,
            self.forwards / max(1, self.placed),
            waits[int(0.99 * len(waits))],
            self.good / self.requests,
            self.crossings / self.requests,
        )


POLICIES: dict[str, Callable[[Model], Policy]] = {
    "today": Today,
    "two choices": TwoChoices,
    "least reported": LeastReported,
    "bounded hashing": BoundedHashing,
    "hot and cold": HotCold,
    "peers by load": PeersByLoad,
    "placement by load": PlacementByLoad,
    "interpreted": Interpreted,
    "perfect knowledge": PerfectKnowledge,
    "long-run knowledge": LongRunKnowledge,
}
# Policies that read no reports.
WITHOUT_REPORTS = ("today", "perfect knowledge", "long-run knowledge")
SIZES = (10, 70, 200, 1000)
AGES_S = (0.0, 0.5, 2.0)
SEEDS = (1, 2, 3)
# Sizes from here on are measured with one seed; the figures are means of many targets.
ONE_SEED_FROM = 1000
DIGEST_PERIOD_S = 0.25


def mean_outcome(name: str, size: int, age_s: float, seeds: Sequence[int]) -> Outcome:
    """Return the mean figures of a policy over some seeds."""
    runs = [Model(size, age_s, POLICIES[name], seed).run() for seed in seeds]
    names = [known.name for known in fields(Outcome)]
    return Outcome(**{n: fmean(getattr(run, n) for run in runs) for n in names})


def report_ages(
    targets: int, *, seed: int = 1, end_s: float = 10.0
) -> tuple[float, float]:
    """Return the mean age of the reports at a balancer, and the share of known targets.

    Each process sends its loads to one random peer per period, as in `ViewGossip`.
    """
    random = Random(seed)
    model_targets = Model(targets, 0.0, Policy, seed).all
    by_host = {target.host: target for target in model_targets}
    tables = [
        LoadTable(targets=lambda: by_host, host=n if n < targets else None, now=0.0)
        for n in range(targets + BALANCERS)
    ]
    sends = [(random.uniform(0, DIGEST_PERIOD_S), n) for n in range(len(tables))]
    now = 0.0
    while now < end_s:
        now, sender = heappop(sends)
        tables[random.randrange(len(tables))].receive(tables[sender].outgoing(now), now)
        heappush(sends, (now + DIGEST_PERIOD_S * random.uniform(0.8, 1.2), sender))
    for table in tables[targets:]:
        table.sum_up(now)
    balancers = tables[targets:]
    return (
        fmean(table.mean_age_s for table in balancers),
        fmean(table.reported for table in balancers) / targets,
    )


def figures() -> Iterator[Figure]:
    """Compare the product with today's policy at 70 targets, ages up to 1 s."""
    today = mean_outcome("today", 70, 0.0, SEEDS)
    product = mean_outcome("interpreted", 70, 1.0, SEEDS)
    for name, unit, factor in (
        ("spread", "requests/slot", 1),
        ("swing", "requests/slot", 1),
        ("forwards", "per flow", 1),
        ("wait_p99_s", "ms", 1000),
        ("in_objective", "%", 100),
        ("crossing", "%", 100),
    ):
        yield Figure(
            name=f"even load, 70 targets: {name}",
            figure=factor * getattr(product, name),
            unit=unit,
            baseline=factor * getattr(today, name),
        )


def print_tables(sizes: Sequence[int]) -> None:
    """Print the table of all policies, one line each."""
    print(
        "| Targets | Policy | Age | Spread | Swing | Forwards | Wait p99 "
        "| In objective | Other zone |"
    )
    for size in sizes:
        seeds = SEEDS if size < ONE_SEED_FROM else SEEDS[:1]
        for name in POLICIES:
            for age_s in (None,) if name in WITHOUT_REPORTS else AGES_S:
                out = mean_outcome(name, size, age_s or 0.0, seeds)
                age = "-" if age_s is None else f"{age_s} s"
                print(
                    f"| {size} | {name} | {age} | {out.spread:.2f} | {out.swing:.2f} "
                    f"| {out.forwards:.2f} | {out.wait_p99_s * 1000:.0f} ms "
                    f"| {out.in_objective:.2%} | {out.crossing:.1%} |",
                    flush=True,
                )


if __name__ == "__main__":
    print_tables([int(size) for size in argv[1:]] or SIZES)
