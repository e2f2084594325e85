"""One run of the soak from its seed: calm, faults in overlapping series, calm again."""

from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from time import time

from trio import current_time, move_on_after, open_nursery, sleep

from balsamtide.transport.addresses import parse_ipv4
from bench.fault_soak.client import ClientPool, Route
from bench.fault_soak.faults import draw_faults
from bench.fault_soak.fleet import EVACUATION_S, SoakFleet
from bench.fault_soak.promises import Breach, Promise, PromiseLog
from bench.fault_soak.router import Router
from bench.fault_soak.target import SoakTarget
from bench.standins.flow_platform import (
    LoopbackStore,
    configuration_document,
    target_document,
)
from bench.standins.ports import EVERY_HOST, free_port

__all__ = ["SoakOptions", "SoakResult", "SoakRun", "play"]

PORT_NAMES = ("packets", "ready", "inner", "from_target", "to_target")
SERVICES = ("orders", "proofs")
ZONES = ("zone-1", "zone-2")
ADDRESSES = {
    ("198.18.0.1", 8443): "orders",
    ("198.18.0.2", 8443): "proofs",
    ("198.18.0.3", 8443): "orders",
}
CLIENT_HOST = "127.0.9.1"
# A start of all daemons on a busy machine.
START_TIMEOUT_S = 60.0
# Calls a second, and of them those that begin a flow with pauses.
CALLS_PER_S = 25.0
KEPT_SHARE = 0.15
KEPT_REQUESTS = 12
# What the platform allows: the drain time, a lagging reader and a slow machine.
DRAIN_TIMEOUT_S = 3.0
DRAIN_SLACK_S = 2.0
# The platform measures at its own clock, and a packet may be under way.
EVACUATION_SLACK_S = 0.5
# A client may send on a route for so long after it was dropped.
DROP_SLACK_S = 3.0
# Once the faults are over, so much time passes before calls have to be served.
RECOVERY_S = 6.0
CHECK_S = 2.0
MIN_SERVED = 0.95


@dataclass(frozen=True, slots=True, kw_only=True)
class SoakOptions:
    """Size of a run.

    Parameters
    ----------
    seed : int
        Of all faults and choices.
    folder : Path
        Where settings and logs are written.
    faults_s : float
        How long faults are injected.
    balancers, targets : int
        Numbers of instances; the targets are dealt to two services.
    """

    seed: int
    folder: Path
    faults_s: float = 8.0
    balancers: int = 3
    targets: int = 4


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What a run has shown."""

    seed: int
    breaches: tuple[Breach, ...]
    faults: tuple[str, ...]
    calls: int
    served: int


@dataclass(slots=True)
class SoakRun:
    """All parts of one run; the faults act on them.

    Parameters
    ----------
    options : SoakOptions
        Size and seed.
    """

    options: SoakOptions
    random: Random = field(init=False)
    log: PromiseLog = field(init=False)
    ports: Mapping[str, int] = field(init=False)
    store: LoopbackStore = field(init=False)
    fleet: SoakFleet = field(init=False)
    router: Router = field(init=False)
    clients: ClientPool = field(init=False)
    targets: dict[str, SoakTarget] = field(default_factory=dict)
    routes: list[Route] = field(default_factory=list)
    runs: Counter = field(default_factory=Counter)
    version: int = 1
    # Targets that left: no record is written for them any more.
    gone: set[str] = field(default_factory=set)
    # What operator and targets have written; a restored store lacks some of it.
    written: dict[str, dict] = field(default_factory=dict)
    # When the store acknowledged the evacuation of each zone.
    evacuated: dict[str, float] = field(default_factory=dict)
    # Faults that keep processes from learning of evacuations, and the last end of one.
    disturbances: int = 0
    undisturbed_since: float = 0.0

    def __post_init__(self) -> None:
        options = self.options
        self.random = Random(options.seed)
        self.log = PromiseLog(current_time())
        self.ports = {name: free_port(EVERY_HOST) for name in PORT_NAMES}
        self.store = LoopbackStore("127.0.0.1")
        balancers = [f"127.0.1.{n + 1}" for n in range(options.balancers)]
        self.fleet = SoakFleet(
            options.folder, self.ports, self.store, balancers, self.log
        )
        self.router = Router(
            (CLIENT_HOST, self.ports["packets"]),
            balancers=balancers,
            packets_port=self.ports["packets"],
            readiness_port=self.ports["ready"],
            random=self.random,
        )
        self.routes = [
            Route((parse_ipv4(host), port), service)
            for (host, port), service in ADDRESSES.items()
        ]
        for index in range(options.targets):
            service = SERVICES[index % len(SERVICES)]
            # Each service has targets in both zones.
            zone = ZONES[index // len(SERVICES) % len(ZONES)]
            self._make_target(f"127.0.2.{index + 1}", service, zone)
        self.clients = ClientPool(
            parse_ipv4(CLIENT_HOST),
            self.router,
            list(self.targets.values()),
            self.log,
            self.random,
            self.runs,
            self._is_reset_allowed,
        )

    def _make_target(self, host: str, service: str, zone: str) -> None:
        self.targets[host] = SoakTarget(
            host,
            service,
            (host, self.ports["to_target"]),
            (host, self.ports["from_target"]),
            self.log,
            self.random,
            self.runs,
            self.may_serve,
            zone,
            self.is_evacuated,
        )

    # What the operator and the targets write

    def publish(self) -> None:
        """Write a configuration with the routes that are not dropped."""
        self.version += self.random.randint(1, 4)
        services = {
            address: service
            for (address, service), route in zip(
                ADDRESSES.items(), self.routes, strict=True
            )
            if route.dropped_at == float("inf")
        }
        self._put("op/config", configuration_document(services, self.version))

    def write_record(
        self, host: str, *, state: str = "ready", skew_s: float = 0
    ) -> None:
        """Write a target's record; its clock may be wrong by ``skew_s``."""
        target = self.targets[host]
        born_ms = round((time() + skew_s) * 1000)
        record = target_document(
            host,
            self.ports,
            target.service,
            state=state,
            born_ms=born_ms,
            zone=target.zone,
        )
        self._put(f"servers/{host}-{target.incarnation}", record)

    def remove_record(self, host: str) -> None:
        """Remove the record of a target's present start."""
        self._remove(f"servers/{host}-{self.targets[host].incarnation}")

    def evacuate(self, zone: str) -> None:
        """Begin the evacuation of a zone."""
        self._put(f"op/evacuate/{zone}", {})
        self.evacuated[zone] = current_time()

    def end_evacuation(self, zone: str) -> None:
        """End the evacuation of a zone."""
        del self.evacuated[zone]
        self._remove(f"op/evacuate/{zone}")

    def _put(self, key: str, document: dict) -> None:
        self.written[key] = document
        self.store.put(key, document)

    def _remove(self, key: str) -> None:
        self.written.pop(key, None)
        self.store.remove(key)

    def write_again(self, key: str) -> None:
        """Give one key of a restored store what was written last."""
        if key in self.written:
            self.store.put(key, self.written[key])
        else:
            self.store.remove(key)

    @contextmanager
    def disturbance(self) -> Iterator[None]:
        """Hold while a fault keeps processes from learning what the store has."""
        self.disturbances += 1
        yield
        self.disturbances -= 1
        self.undisturbed_since = current_time()

    def is_evacuated(self, zone: str) -> bool:
        """Whether the targets of a zone must get no opening packets now."""
        evacuated_at = self.evacuated.get(zone)
        if evacuated_at is None or self.disturbances:
            return False
        known_at = max(evacuated_at, self.undisturbed_since)
        return current_time() > known_at + EVACUATION_S + EVACUATION_SLACK_S

    def may_serve(self, service: str, address: tuple[int, int]) -> bool:
        """Whether a configuration ever sent flows to an address to a service."""
        return any(r.address == address and r.service == service for r in self.routes)

    def _is_reset_allowed(self, route: Route) -> bool:
        return current_time() > route.dropped_at

    # The run

    async def play(self) -> SoakResult:
        """Play the run and return what it has shown."""
        self.publish()
        try:
            async with open_nursery() as nursery:
                await self.router.run(nursery)
                for host, target in self.targets.items():
                    nursery.start_soon(target.run, nursery)
                    self.write_record(host)
                    await self.fleet.add(
                        nursery, host, zone=target.zone, service=target.service
                    )
                for index, host in enumerate(self.router.balancers):
                    zone = ZONES[index % len(ZONES)]
                    await self.fleet.add(nursery, host, zone=zone)
                nursery.start_soon(self.fleet.watch)
                await self._play_phases()
                nursery.cancel_scope.cancel()
        finally:
            self.fleet.close()
            self.store.close()
        self.clients.check_runs(current_time())
        outcomes = self.clients.outcomes
        return SoakResult(
            self.options.seed,
            tuple(self.log.breaches),
            tuple(self.log.faults),
            len(outcomes),
            sum(outcome.is_served for outcome in outcomes),
        )

    async def _play_phases(self) -> None:
        await self._await_service()
        async with open_nursery() as nursery:
            nursery.start_soon(self._offer_load)
            async with open_nursery() as faults:
                for fault in draw_faults(self):
                    faults.start_soon(fault)
            await sleep(RECOVERY_S)
            checked_at = current_time()
            await sleep(CHECK_S)
            nursery.cancel_scope.cancel()
        self._check_recovery(checked_at)

    async def _await_service(self) -> None:
        """Wait until every route is served."""
        with move_on_after(START_TIMEOUT_S) as scope:
            for route in self.routes:
                done = len(self.clients.outcomes)
                while not any(o.is_served for o in self.clients.outcomes[done:]):
                    await self.clients.call(route, requests=1, pause_s=0.0)
        if scope.cancelled_caught:
            self.log.breach(Promise.RECOVERY, current_time(), "the start")

    async def _offer_load(self) -> None:
        async with open_nursery() as nursery:
            while True:
                await sleep(self.random.expovariate(CALLS_PER_S))
                routes = [r for r in self.routes if r.dropped_at == float("inf")]
                nursery.start_soon(self._call, self.random.choice(routes))

    async def _call(self, route: Route) -> None:
        if self.random.random() < KEPT_SHARE:
            pause_s = self.random.uniform(0.05, 0.8)
            await self.clients.keep_flow(route, requests=KEPT_REQUESTS, pause_s=pause_s)
        else:
            await self.clients.call(route, requests=1, pause_s=0.0)

    def _check_recovery(self, checked_at: float) -> None:
        """Check the calls that began in the last phase and have ended."""
        ended = [o for o in self.clients.outcomes if o.began_at >= checked_at]
        served = sum(outcome.is_served for outcome in ended)
        if not ended or served < MIN_SERVED * len(ended):
            detail = f"{served} of {len(ended)} calls served"
            self.log.breach(Promise.RECOVERY, current_time(), detail)


async def play(options: SoakOptions) -> SoakResult:
    """Play one run."""
    return await SoakRun(options).play()
