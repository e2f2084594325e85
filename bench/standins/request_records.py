"""Seeded request records of a service, calm or with one injected fault.

Seven agents in three availability zones keep their own logs for twenty minutes.  A
fault acts in the last two minutes.  Their summaries pass through MessagePack, as
between processes, and are merged.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import count
from random import Random

from msgspec.msgpack import decode, encode

from balsamtide.protocol.verdict import Verdict
from balsamtide.telemetry.diagnosis import CauseKind, Scope, ScopeKind
from balsamtide.telemetry.records import RequestRecord
from balsamtide.telemetry.request_log import RequestLog
from balsamtide.telemetry.stages import Stage
from balsamtide.telemetry.summary import Summary, merge

__all__ = [
    "FAULTS",
    "SERVICE",
    "Draft",
    "Fault",
    "Traffic",
    "make_fault",
    "merge_logs",
    "record_traffic",
    "summarise",
]

MINUTES = 20
FAULT_MINUTES = 2
MINUTE_S = 60.0
SERVICE = "timetable"
ZONES = ("east-a", "east-b", "east-c")
TARGETS = tuple(f"timetable-{number}" for number in range(1, 8))
ROUTES = ("/day", "/marks", "/export")
EXPORT = "/export"
TARGET_MEDIANS_S = {"/day": 0.008, "/marks": 0.015, EXPORT: 4.0}
TARGET_SIGMAS = {"/day": 0.4, "/marks": 0.4, EXPORT: 0.8}
VERSION = 7
ID_STEP = 0x9E3779B97F4A7C15


def zone_of(target: str) -> str:
    """Return the availability zone of a target."""
    return ZONES[(int(target.rsplit("-", 1)[1]) - 1) % len(ZONES)]


@dataclass(slots=True)
class Draft:
    """A request in the making."""

    route: str
    target: str
    stages: dict[Stage, float] = field(default_factory=dict)
    version: int = VERSION
    balancer_version: int = VERSION
    attempts: tuple[str, ...] = ()

    @property
    def zone(self) -> str:
        """Availability zone of the target."""
        return zone_of(self.target)

    def add(self, stage: Stage, seconds: float) -> None:
        """Add time to a stage."""
        self.stages[stage] = self.stages.get(stage, 0.0) + seconds


class Fault(ABC):
    """Something that slows requests down.

    Parameters
    ----------
    random : Random
        Source of chance.
    strength : float
        Scales how often or how much requests are slowed down.
    """

    kind: CauseKind

    def __init__(self, random: Random, strength: float) -> None:
        self.random = random
        self.strength = strength
        self.scope = Scope(ScopeKind.SERVICE)

    @abstractmethod
    def change(self, draft: Draft) -> None:
        """Change a request that ends while the fault acts."""

    def happens(self, probability: float) -> bool:
        """Tell whether something of this probability happens."""
        return self.random.random() < probability

    def wait(self, mean_s: float, least_s: float = 0.0) -> float:
        """Return an exponentially distributed time, seconds."""
        return least_s + self.random.expovariate(1 / mean_s)

    def choose_target(self) -> str:
        """Confine the fault to one target."""
        name = self.random.choice(TARGETS)
        self.scope = Scope(ScopeKind.TARGET, (name,))
        return name

    def choose_zone(self) -> str:
        """Confine the fault to one availability zone."""
        name = self.random.choice(ZONES)
        self.scope = Scope(ScopeKind.ZONE, (name,))
        return name


class SlowTarget(Fault):
    """One target takes three times as long, and a queue forms before it."""

    kind = CauseKind.SLOW_TARGET

    def __init__(self, random: Random, strength: float) -> None:
        super().__init__(random, strength)
        self.target = self.choose_target()

    def change(self, draft: Draft) -> None:
        """Slow down the target."""
        if draft.target == self.target:
            draft.stages[Stage.TARGET] *= 1 + 2 * self.strength
            if self.happens(0.5 * self.strength):
                draft.add(Stage.QUEUED_SHORT, self.wait(0.02))


class LossyPath(Fault):
    """A path to one zone or from all targets loses datagrams."""

    kind = CauseKind.LOSSY_PATH

    def __init__(self, random: Random, strength: float) -> None:
        super().__init__(random, strength)
        self.zone = self.choose_zone() if self.happens(0.5) else ""

    def change(self, draft: Draft) -> None:
        """Stall some answers by loss."""
        if self.zone in ("", draft.zone) and self.happens(0.15 * self.strength):
            draft.add(Stage.LOSS_STALL, self.wait(0.25, 0.1))
            draft.add(Stage.RETURN_PATH, self.wait(0.01))


class FarZone(Fault):
    """The links to one zone take 15 ms longer each way."""

    kind = CauseKind.FAR_ZONE

    def __init__(self, random: Random, strength: float) -> None:
        super().__init__(random, strength)
        self.zone = self.choose_zone()

    def change(self, draft: Draft) -> None:
        """Lengthen both ways."""
        if draft.zone == self.zone:
            draft.add(Stage.INNER_PATH, 0.015 * self.strength)
            draft.add(Stage.RETURN_PATH, 0.015 * self.strength)


class LongQueue(Fault):
    """Short requests wait behind exports, and others behind them."""

    kind = CauseKind.LONG_QUEUE

    def change(self, draft: Draft) -> None:
        """Queue some of the short requests."""
        if draft.route != EXPORT and self.happens(0.2 * self.strength):
            draft.add(Stage.QUEUED_LONG, self.wait(1.5))
        elif self.happens(0.3 * self.strength):
            draft.add(Stage.QUEUED_SHORT, self.wait(0.8))


class ColdStart(Fault):
    """One target has just started."""

    kind = CauseKind.COLD_START

    def __init__(self, random: Random, strength: float) -> None:
        super().__init__(random, strength)
        self.target = self.choose_target()

    def change(self, draft: Draft) -> None:
        """Wait for the target to warm up."""
        if draft.target == self.target:
            draft.stages[Stage.TARGET] *= 1 + 0.5 * self.strength
            if self.happens(0.4 * self.strength):
                draft.add(Stage.QUEUED_COLD, self.wait(0.8))


class StaleBalancer(Fault):
    """A fifth of the flows came through balancers with the version before."""

    kind = CauseKind.STALE_VERSION

    def __init__(self, random: Random, strength: float) -> None:
        super().__init__(random, strength)
        self.scope = Scope(ScopeKind.BALANCER_VERSION, (str(VERSION - 1),))

    def change(self, draft: Draft) -> None:
        """Steer flows on that a stale balancer sent to the wrong target."""
        if self.happens(0.2 * self.strength):
            draft.balancer_version = VERSION - 1
            draft.add(Stage.STEERED, self.wait(0.02, 0.005))
            draft.add(Stage.HANDSHAKE, self.wait(0.01))


class StaleAgent(Fault):
    """The agents of one target hold the version before."""

    kind = CauseKind.STALE_VERSION

    def __init__(self, random: Random, strength: float) -> None:
        super().__init__(random, strength)
        self.targets = tuple(random.sample(TARGETS, 2))
        self.scope = Scope(ScopeKind.VERSION, (str(VERSION - 1),))

    def change(self, draft: Draft) -> None:
        """Hand requests over to targets that are leaving."""
        if draft.target in self.targets:
            draft.version = VERSION - 1
            if self.happens(0.5 * self.strength):
                draft.add(Stage.HAND_OFF, self.wait(0.2))


class SilentConnection(Fault):
    """Connections to the targets go silent; requests are tried again."""

    kind = CauseKind.SILENT_CONNECTION

    def change(self, draft: Draft) -> None:
        """Wait for the silence to be noticed."""
        if self.happens(0.03 * self.strength):
            draft.add(Stage.TARGET, 3.0)
            draft.attempts = (
                f"{draft.target} may-have-run target-timeout",
                f"{draft.target} ran ",
            )


class SlowCaller(Fault):
    """Some callers read their answers slowly."""

    kind = CauseKind.SLOW_CALLER

    def change(self, draft: Draft) -> None:
        """Stall some answers by the caller."""
        if self.happens(0.05 * self.strength):
            draft.add(Stage.CALLER_STALL, self.wait(2.0, 0.5))


FAULTS: dict[str, type[Fault]] = {
    "slow target": SlowTarget,
    "lossy path": LossyPath,
    "zone far away": FarZone,
    "queue behind exports": LongQueue,
    "cold start": ColdStart,
    "stale balancer": StaleBalancer,
    "stale agent": StaleAgent,
    "silent connection": SilentConnection,
    "caller reads slowly": SlowCaller,
}


def make_fault(name: str, seed: int, *, strength: float = 1.0) -> Fault:
    """Return the fault called ``name``, drawn by ``seed``."""
    return FAULTS[name](Random(f"{name} {seed}"), strength)


class Traffic:
    """Calm traffic whose rate, mix and bursts vary from minute to minute.

    Parameters
    ----------
    seed : int
        Seed of all chance.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.base_rate = self.random.uniform(300, 600)
        self.zone_path_s = {zone: self.random.uniform(3e-4, 1.5e-3) for zone in ZONES}
        self.speed = {target: self.random.uniform(0.8, 1.3) for target in TARGETS}

    def minute(self) -> Iterator[Draft]:
        """Yield the requests of one minute."""
        rate = self.base_rate * self.random.uniform(0.5, 2.0)
        exports = self.random.uniform(0.02, 0.1)
        burst = self.random.uniform(0.02, 0.25)
        for _ in range(int(rate)):
            yield self._draft(exports=exports, burst=burst)

    def _draft(self, *, exports: float, burst: float) -> Draft:
        draft = Draft(self._route(exports), self.random.choice(TARGETS))
        self._add_paths(draft)
        self._add_target(draft)
        self._add_sometimes(draft, Stage.QUEUED_SHORT, burst, 0.006)
        self._add_sometimes(draft, Stage.QUEUED_LONG, 0.01, 0.1)
        self._add_sometimes(draft, Stage.HANDSHAKE, 0.1, 0.004)
        self._add_sometimes(draft, Stage.STEERED, 0.01, 0.001)
        self._add_sometimes(draft, Stage.HAND_OFF, 0.05, 0.002)
        self._add_sometimes(draft, Stage.CALLER_STALL, 0.005, 0.5)
        self._add_sometimes(draft, Stage.LOSS_STALL, 0.005, 0.2)
        if self.random.random() < 0.002:
            draft.attempts = (f"{draft.target} not-run queue-full",)
        return draft

    def _route(self, exports: float) -> str:
        chance = self.random.random()
        if chance < exports:
            return EXPORT
        return "/marks" if chance > 0.75 else "/day"

    def _add_paths(self, draft: Draft) -> None:
        spread = self.random.lognormvariate
        draft.add(Stage.CALLER_PATH, 0.001 * spread(0, 0.3))
        draft.add(Stage.BALANCER, 0.00005 * spread(0, 0.5))
        draft.add(Stage.INNER_PATH, self.zone_path_s[draft.zone] * spread(0, 0.3))
        draft.add(Stage.RETURN_PATH, 0.0012 * spread(0, 0.3))

    def _add_target(self, draft: Draft) -> None:
        median_s = TARGET_MEDIANS_S[draft.route] * self.speed[draft.target]
        sigma = TARGET_SIGMAS[draft.route]
        draft.add(Stage.TARGET, median_s * self.random.lognormvariate(0, sigma))

    def _add_sometimes(
        self, draft: Draft, stage: Stage, probability: float, mean_s: float
    ) -> None:
        if self.random.random() < probability:
            draft.add(stage, self.random.expovariate(1 / mean_s))


def record_traffic(seed: int, fault: Fault | None = None) -> dict[str, RequestLog]:
    """Return the logs of all agents after twenty minutes, by instance."""
    now = 0.0
    logs = {name: RequestLog(instance=name, clock=lambda: now) for name in TARGETS}
    numbers = count(1)
    traffic = Traffic(seed)
    for minute in range(MINUTES):
        now = minute * MINUTE_S
        is_faulty = minute >= MINUTES - FAULT_MINUTES
        for draft in traffic.minute():
            if fault is not None and is_faulty:
                fault.change(draft)
            logs[draft.target].add(_finish(draft, next(numbers)))
    return logs


def summarise(seed: int, fault: Fault | None = None) -> Summary:
    """Return the merged summary of all agents after twenty minutes."""
    return merge_logs(record_traffic(seed, fault))


def merge_logs(logs: Mapping[str, RequestLog]) -> Summary:
    """Return the merged summary of all agents, passed through MessagePack."""
    summaries = [encode(log.summary(SERVICE)) for log in logs.values()]
    return merge([decode(octets, type=Summary) for octets in summaries])


def _finish(draft: Draft, number: int) -> RequestRecord:
    return RequestRecord(
        request_id=f"{number * ID_STEP % 2**64:016x}",
        service=SERVICE,
        route=draft.route,
        target=draft.target,
        zone=draft.zone,
        version=draft.version,
        balancer_version=draft.balancer_version,
        verdict=Verdict.RAN,
        status=200,
        stages=draft.stages,
        attempts=draft.attempts,
    )
