"""A small event loop in virtual time that drives real admission policies.

Agents and their decisions are the real classes; targets, callers and the ways between
agents are fakes.  Every run is a function of its seed.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from random import Random

from balsamtide.admission import (
    AdmissionIdentity,
    AdmissionPolicy,
    DeadlineAdmission,
    Decision,
    FifoAdmission,
    Refuse,
    Start,
    Transfer,
)
from balsamtide.config.model import Limits, Route, Rules, Service, SizeClass, Target
from balsamtide.protocol.datagram import DatagramCodec, MacKeys
from balsamtide.protocol.messages import LoadReport
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit
from balsamtide.requests.hand_off import (
    HandOffReceiver,
    HandOffSender,
)
from balsamtide.requests.messages import Granted
from balsamtide.requests.model import Outcome, RequestFacts
from balsamtide.telemetry.memory_sink import MemorySink

__all__ = [
    "DEPLOYMENTS",
    "Deployment",
    "FakeTarget",
    "LoadModel",
    "Record",
    "deadline_policy",
    "fifo_policy",
    "percentile",
]

NEVER = float("inf")
CALLER_WAY_S = 0.001
ZONES = 3
HEADER_BYTES = 28
SHORT_ROUTE = "/"
LONG_ROUTE = "/long"
KEYS = MacKeys(current=1, keys={1: b"k" * 32})


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """One service as it is deployed.

    Parameters
    ----------
    name : str
        Name in figures.
    targets, slots : int
        Targets and slots of each.
    short_s : float
        Mean service time of short work, seconds.
    deadline_s : float
        Deadline of short work, seconds.
    way_s : float
        Way between two agents, seconds.
    long_factor : float
        Service time of long work relative to short.
    """

    name: str
    targets: int
    slots: int
    short_s: float = 0.02
    deadline_s: float = 1.0
    way_s: float = 0.001
    long_factor: float = 100.0

    @property
    def capacity(self) -> int:
        """Slots of the service."""
        return self.targets * self.slots

    def scaled(self, factor: int) -> "Deployment":
        """Return the deployment with ``factor`` times the targets."""
        return replace(self, targets=self.targets * factor)

    def service(self, size_class: SizeClass = SizeClass.LEARNED) -> Service:
        """Return the configuration of the service."""
        targets = {
            f"t{n}": Target(
                number=n,
                zone=f"z{n % ZONES}",
                host="127.0.0.1",
                port=1,
                agent_host="127.0.0.1",
                agent_port=n,
                agent_rpc_port=1,
                slots=self.slots,
            )
            for n in range(1, self.targets + 1)
        }
        routes = (Route(prefix=SHORT_ROUTE), Route(prefix=LONG_ROUTE))
        if size_class is not SizeClass.LEARNED:
            routes = (
                Route(prefix=SHORT_ROUTE, size_class=SizeClass.SHORT),
                Route(prefix=LONG_ROUTE, size_class=SizeClass.LONG),
            )
        rules = Rules(routes=routes, limits=Limits())
        return Service(number=1, targets=targets, rules=rules)


TIMETABLE = Deployment(name="timetable", targets=7, slots=1)
EXPORT = Deployment(name="export", targets=3, slots=1)
ORDER_DESK = Deployment(
    name="order desk", targets=7, slots=3, short_s=0.05, deadline_s=2.0, way_s=0.0005
)
ARTWORK = Deployment(
    name="artwork", targets=3, slots=3, short_s=0.05, deadline_s=2.0, way_s=0.0005
)
DEPLOYMENTS = (TIMETABLE, EXPORT, ORDER_DESK, ARTWORK)


@dataclass(slots=True)
class Record:
    """One request and how it ended.

    Parameters
    ----------
    facts : RequestFacts
        The request as it arrived.
    demand_s : float
        Service time at full speed, seconds.
    target : int
        Target that ran it, 0 if none.
    finished : float
        When the answer or refusal left the agent.
    outcome : Outcome or None
        How it ended.
    runs : int
        How often a target ran it.
    transfers : int
        How often it was offered to peers.
    """

    facts: RequestFacts
    demand_s: float
    target: int = 0
    finished: float = NEVER
    outcome: Outcome | None = None
    runs: int = 0
    transfers: int = 0

    @property
    def is_useful(self) -> bool:
        """Whether its answer came in time and whole."""
        if self.outcome is None or self.outcome.verdict is not Verdict.RAN:
            return False
        is_good = self.outcome.status < 500 and self.outcome.is_complete
        return is_good and self.finished <= self.facts.deadline

    @property
    def is_refused(self) -> bool:
        """Whether it was refused as not run."""
        return self.outcome is not None and self.outcome.verdict is Verdict.NOT_RUN

    @property
    def latency_s(self) -> float:
        """Time from the caller and back, seconds."""
        return self.finished - self.facts.arrived + 2 * CALLER_WAY_S


@dataclass(slots=True)
class FakeTarget:
    """A target that runs requests, well or badly.

    Parameters
    ----------
    number : int
        Target number.
    slowdown : float
        Factor on service times.
    is_failing : bool
        Answers status 500 at once.
    is_silent : bool
        Accepts and never answers.
    is_shedding : bool
        Refuses all requests as not run.
    is_down : bool
        Refuses connections.
    busy_s : float
        Slot time used, seconds.
    """

    number: int
    slowdown: float = 1.0
    is_failing: bool = False
    is_silent: bool = False
    is_shedding: bool = False
    is_down: bool = False
    busy_s: float = 0.0
    running: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Race:
    """Offers of one request at several peers.

    Parameters
    ----------
    agent : int
        The sender.
    request_id : str
        The request.
    open : set of int
        Peers that have not replied.
    is_won : bool
        Whether a grant was used.
    """

    agent: int
    request_id: str
    open: set[int]
    is_won: bool = False


PolicyFactory = Callable[[Service, int, float, Random], AdmissionPolicy]


def deadline_policy(
    service: Service, target: int, now: float, random: Random
) -> AdmissionPolicy:
    """Return the product's policy."""
    identity = AdmissionIdentity(
        instance=f"agent-{target}", incarnation=1, target=target, tenure=target
    )
    return DeadlineAdmission(
        identity, service, now=now, random=random, sink=MemorySink()
    )


def fifo_policy(
    service: Service, target: int, now: float, random: Random
) -> AdmissionPolicy:
    """Return the baseline."""
    own = next(t for t in service.targets.values() if t.number == target)
    return FifoAdmission(own.slots)


class LoadModel:
    """Agents of one service with their targets, callers and ways.

    Parameters
    ----------
    deployment : Deployment
        The service.
    policy : callable
        Makes the policy of one agent.
    seed : int
        Seed of all randomness.
    """

    def __init__(
        self, deployment: Deployment, policy: PolicyFactory, seed: int
    ) -> None:
        self.deployment = deployment
        self.random = Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.service = deployment.service()
        self.make_policy = policy
        numbers = range(1, deployment.targets + 1)
        self.policies = {n: self._policy(n) for n in numbers}
        self.targets = {n: FakeTarget(n) for n in numbers}
        self.ticks: dict[int, float] = {}
        self.records: dict[str, Record] = {}
        self.report_bytes = 0
        self.offers = 0
        self.codec = DatagramCodec(KEYS)
        self.weights = {n: 1.0 for n in numbers}
        self.on_end: Callable[[Record], None] = lambda record: None
        self.dead: set[int] = set()
        self.waiting: dict[tuple[int, str], Callable[[], None]] = {}

    def _policy(self, number: int) -> AdmissionPolicy:
        random = Random(self.random.getrandbits(32))
        return self.make_policy(self.service, number, self.now, random)

    # The event loop

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Call ``call`` at ``time``."""
        self.count += 1
        heappush(self.events, (time, self.count, call))

    def run(self, until: float) -> None:
        """Run all events before ``until``."""
        while self.events and self.events[0][0] < until:
            self.now, _, call = heappop(self.events)
            call()
        self.now = until

    def _later(self, call: Callable[[], None]) -> None:
        way = self.deployment.way_s * self.random.uniform(1.0, 1.2)
        self.at(self.now + way, call)

    # Callers

    def offer_load(
        self, load: Callable[[float], float], until: float, *, long_share: float = 0.0
    ) -> None:
        """Let requests arrive with ``load(now)`` times the capacity."""
        mean = self.deployment.short_s * (
            1 + long_share * (self.deployment.long_factor - 1)
        )
        most = self.deployment.capacity / mean

        def arrive() -> None:
            if self.now >= until:
                return
            rate = most * max(1e-6, load(self.now))
            self.at(self.now + self.random.expovariate(rate), arrive)
            self._arrive(self.random.random() < long_share)

        self.at(self.now, arrive)

    def _arrive(self, is_long: bool) -> None:
        numbers = list(self.weights)
        agent = self.random.choices(numbers, list(self.weights.values()))[0]
        while agent in self.dead:
            agent = self.random.choice(numbers)
        demand = self.deployment.short_s * self.random.lognormvariate(-0.08, 0.4)
        deadline = self.deployment.deadline_s
        if is_long:
            demand *= self.deployment.long_factor
            deadline *= 60
        self.submit(agent, demand, deadline, LONG_ROUTE if is_long else SHORT_ROUTE)

    def submit(self, agent: int, demand: float, deadline: float, route: str) -> None:
        """Let one request arrive at an agent."""
        facts = RequestFacts(
            request_id=f"r{len(self.records)}",
            service="s",
            route=route,
            method="POST",
            is_idempotent=False,
            key=None,
            attempt=1,
            caller=f"c{self.random.randrange(2000 * self.deployment.targets)}",
            arrived=self.now,
            deadline=self.now + deadline,
        )
        self.records[facts.request_id] = Record(facts, demand)
        self.apply(agent, self.policies[agent].arrive(facts, self.now))

    # Agents

    def apply(self, agent: int, decisions: Sequence[Decision]) -> None:
        """Carry out what a policy decided."""
        for decision in decisions:
            match decision:
                case Start(request_id):
                    self._start(agent, agent, request_id)
                case Transfer(request_id, targets):
                    self.records[request_id].transfers += 1
                    self._offer(agent, request_id, targets)
                case Refuse(request_id, refusal):
                    self._end(
                        request_id,
                        Outcome(verdict=refusal.verdict, status=refusal.status),
                    )
        self._wake(agent)
        self._report(agent)
        self._schedule_tick(agent)

    def _wake(self, agent: int) -> None:
        policy = self.policies[agent]
        if isinstance(policy, DeadlineAdmission):
            for request_id in policy.pop_granted():
                call = self.waiting.pop((agent, request_id), None)
                if call is not None:
                    call()

    def _schedule_tick(self, agent: int) -> None:
        due = max(self.policies[agent].deadline, self.now + 0.001)
        if due >= self.ticks.get(agent, NEVER):
            return
        self.ticks[agent] = due

        def tick() -> None:
            if self.ticks.get(agent) != due or agent in self.dead:
                return
            del self.ticks[agent]
            self.apply(agent, self.policies[agent].tick(self.now))

        if due < NEVER:
            self.at(due, tick)

    def _report(self, agent: int) -> None:
        policy = self.policies[agent]
        if not isinstance(policy, DeadlineAdmission):
            return
        for send in policy.due_reports(self.now):
            report = send.message
            assert isinstance(report, LoadReport)
            self.report_bytes += HEADER_BYTES + len(self.codec.encode(report))
            peer = send.destination.port
            self._later(lambda peer=peer, report=report: self._load(peer, report))

    def _load(self, agent: int, report: LoadReport) -> None:
        policy = self.policies[agent]
        if isinstance(policy, DeadlineAdmission) and agent not in self.dead:
            self.apply(agent, policy.receive(report, self.now))

    # Hand-off

    def _offer(self, agent: int, request_id: str, targets: Sequence[int]) -> None:
        race = Race(agent, request_id, set(targets))
        for peer in targets:
            self._offer_one(race, peer)

    def _offer_one(self, race: "Race", peer: int) -> None:
        sender = HandOffSender(self.records[race.request_id].facts, self.now)
        offer = sender.offer(self.now)
        self.offers += 1

        def receive() -> None:
            if peer in self.dead:
                return
            receiver = HandOffReceiver(offer, self.now)
            policy = self.policies[peer]
            facts = receiver.facts
            if policy.offer(facts, receiver.grant_deadline, self.now):
                self._granted(race, peer, sender, receiver)
            elif isinstance(policy, DeadlineAdmission) and policy.queue_offer(
                facts, receiver.wait_deadline, self.now
            ):
                call = partial(self._granted, race, peer, sender, receiver)
                self.waiting[peer, race.request_id] = call
            else:
                self._later(lambda: self._denied(race, peer, sender))
            self._schedule_tick(peer)

        self._later(receive)
        self.at(sender.offer_reply_deadline, lambda: self._denied(race, peer, sender))

    def _granted(
        self, race: "Race", peer: int, sender: HandOffSender, receiver: HandOffReceiver
    ) -> None:
        grant = receiver.issue_grant(self.now)
        self._later(lambda: self._use(race, peer, sender, receiver, grant))

    def _denied(self, race: "Race", peer: int, sender: HandOffSender) -> None:
        if race.is_won or peer not in race.open or race.agent in self.dead:
            return
        race.open.discard(peer)
        self._reply(race.agent, peer, False, self.now - sender.sent_at)
        if not race.open:
            policy = self.policies[race.agent]
            self.apply(race.agent, policy.transfer_failed(race.request_id, self.now))

    def _use(
        self,
        race: "Race",
        peer: int,
        sender: HandOffSender,
        receiver: HandOffReceiver,
        grant: Granted,
    ) -> None:
        if race.is_won or peer not in race.open or race.agent in self.dead:
            self._later(lambda: self._withdraw(peer, race.request_id))
            return
        self._reply(race.agent, peer, True, self.now - sender.sent_at)
        sender.accept_grant(grant)
        if not sender.use_grant(self.now):
            self._denied(race, peer, sender)
            return
        race.is_won = True
        self._later(lambda: self._use_grant(race.agent, peer, receiver))
        for other in race.open - {peer}:
            self._later(partial(self._withdraw, other, race.request_id))

    def _withdraw(self, peer: int, request_id: str) -> None:
        self.waiting.pop((peer, request_id), None)
        if peer not in self.dead:
            self.apply(peer, self.policies[peer].cancel(request_id, self.now))

    def _reply(self, agent: int, peer: int, is_granted: bool, sent_at: float) -> None:
        policy = self.policies[agent]
        if isinstance(policy, DeadlineAdmission):
            seconds = self.now - sent_at
            policy.peers.record_reply(peer, is_granted, seconds, self.now)

    def _use_grant(self, agent: int, peer: int, receiver: HandOffReceiver) -> None:
        request_id = receiver.facts.request_id
        is_alive = peer not in self.dead
        is_used = is_alive and receiver.use_grant(self.now)
        if is_used and self.policies[peer].use_grant(request_id, self.now):
            self._start(agent, peer, request_id)
            return
        exit_ = Exit.GRANT_EXPIRED if is_alive else Exit.PEER_LOST_AFTER_RUN_MESSAGE
        self._later(lambda: self._back(agent, request_id, exit_.outcome()))

    def _back(self, agent: int, request_id: str, outcome: Outcome) -> None:
        if agent in self.dead:
            return
        if outcome.verdict is Verdict.NOT_RUN:
            self.apply(
                agent, self.policies[agent].transfer_failed(request_id, self.now)
            )
            return
        self._end(request_id, outcome)
        self.apply(agent, self.policies[agent].finish(request_id, outcome, self.now))

    # Targets

    def _start(self, agent: int, runner: int, request_id: str) -> None:
        target = self.targets[runner]
        record = self.records[request_id]
        if target.is_down:
            self._finish_later(agent, runner, request_id, 0.0, Exit.CONNECT_REFUSED, 0)
            return
        if target.is_shedding:
            self._finish_later(agent, runner, request_id, 0.001, Exit.TARGET_SHED, 503)
            return
        record.runs += 1
        record.target = runner
        if target.is_failing:
            self._finish_later(agent, runner, request_id, 0.001, Exit.ANSWERED, 500)
            return
        time_s = record.demand_s * target.slowdown
        left = record.facts.deadline - self.now
        if target.is_silent or time_s > left:
            target.busy_s += left
            self._finish_later(agent, runner, request_id, left, Exit.TARGET_TIMEOUT, 0)
            return
        target.busy_s += time_s
        self._finish_later(agent, runner, request_id, time_s, Exit.ANSWERED, 200)

    def _finish_later(
        self,
        agent: int,
        runner: int,
        request_id: str,
        time_s: float,
        exit_: Exit,
        status: int,
    ) -> None:
        policy = self.policies[runner]
        outcome = exit_.outcome(status=status or None, service_time_s=time_s)

        def finish() -> None:
            if self.policies[runner] is not policy or runner in self.dead:
                lost = Exit.PEER_LOST_AFTER_RUN_MESSAGE.outcome()
                self._later(lambda: self._back(agent, request_id, lost))
                return
            if agent == runner:
                self._end(request_id, outcome)
            else:
                self._later(lambda: self._back(agent, request_id, outcome))
            self.apply(runner, policy.finish(request_id, outcome, self.now))

        self.at(self.now + time_s, finish)

    def _end(self, request_id: str, outcome: Outcome) -> None:
        record = self.records[request_id]
        record.outcome = outcome
        record.finished = self.now
        self.on_end(record)

    # Faults

    def drain(self, agent: int) -> None:
        """Let an agent finish what it has; callers and peers go elsewhere."""
        self.weights[agent] = 0.0
        policy = self.policies[agent]
        if isinstance(policy, DeadlineAdmission):
            policy.drain()

    def kill(self, agent: int) -> None:
        """Let an agent die with its target."""
        self.dead.add(agent)
        for record in self.records.values():
            if record.target == agent and record.outcome is None:
                record.finished = self.now
                record.outcome = Exit.PEER_LOST_AFTER_RUN_MESSAGE.outcome()

    def restart(self, agent: int) -> None:
        """Let a dead agent and target come back, cold."""
        self.dead.discard(agent)
        self.weights[agent] = 1.0
        self.ticks.pop(agent, None)
        self.policies[agent] = self._policy(agent)
        self.apply(agent, ())

    # Figures

    def arrived(self, start: float, end: float, route: str = "") -> list[Record]:
        """Return the requests that arrived from ``start`` to ``end``."""
        return [
            record
            for record in self.records.values()
            if start <= record.facts.arrived < end
            and (not route or record.facts.route == route)
        ]

    def imbalance(self, before: dict[int, float]) -> float:
        """Return busiest over mean slot time since ``before``."""
        used = [t.busy_s - before[n] for n, t in self.targets.items()]
        return max(used) * len(used) / sum(used)

    def busy(self) -> dict[int, float]:
        """Return the slot time used so far by target."""
        return {n: target.busy_s for n, target in self.targets.items()}


def percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile, infinite without values."""
    if not values:
        return NEVER
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]
