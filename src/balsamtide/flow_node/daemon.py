"""Lifecycle of a process that forwards raw packets, from start to planned stop."""

import gc
import sys
from collections.abc import Callable
from random import Random, SystemRandom
from time import process_time, sleep
from typing import TYPE_CHECKING

from balsamtide.clock import boot_time
from balsamtide.fleet.view_gossip import ViewGossip
from balsamtide.flow_node.binding import SocketBinder, StopRequestedError
from balsamtide.flow_node.events import (
    DOCUMENT_REJECTED,
    NODE_STARTED,
    NODE_STOPPED,
    STORE_ERA_UNKNOWN,
)
from balsamtide.flow_node.http import BaseHttpClient
from balsamtide.flow_node.metrics import DOCUMENTS_REJECTED, STORE_ERAS_UNKNOWN
from balsamtide.flow_node.runtime import FlowRuntime
from balsamtide.flow_node.settings import (
    FlowSettings,
    FlowSettingsError,
    WarmUpLimit,
)
from balsamtide.flow_node.settings_source import SettingsSource
from balsamtide.flow_node.startup_client import StartupClient
from balsamtide.flow_node.startup_loop import StartupLoop
from balsamtide.platform.packets import WirePackets
from balsamtide.platform.settings import READINESS_PATH, read_settings, settings_path
from balsamtide.platform.store import PlatformStore, StoreEra
from balsamtide.telemetry.line_sink import LineSink
from balsamtide.transport.addresses import parse_ipv4

if TYPE_CHECKING:
    from balsamtide.flows.load_table import LoadTable
    from balsamtide.flows.warm_up import WarmUpLimiter

__all__ = [
    "EXIT_SETTINGS",
    "FlowDaemon",
    "make_load_table",
    "read_first_settings",
    "run_daemon",
]

EXIT_SETTINGS = 2
# Longest time that the store may hold a watch; a dead connection is detected when a
# watch exceeds it by `STORE_TIMEOUT_S`.
WATCH_S = 0.7
# Timeout of a request, in addition to the time for which the store may hold it; several
# times the duration of the slowest normal response.
STORE_TIMEOUT_S = 0.5
# A settings file that is not valid may be just being written; it is read again for this
# long after the start.
SETTINGS_RETRY_S = 1.0
SETTINGS_RETRY_PERIOD_S = 0.05


class FlowDaemon:
    """Runs one process from its start to its planned stop.

    Parameters
    ----------
    settings : FlowSettings
        Initial settings.
    source : SettingsSource
        Settings file; detects changes and has the function that reads the file.
    stop_requested_at : callable
        Returns when a signal requested a planned stop during startup, else infinity.
    """

    def __init__(
        self,
        settings: FlowSettings,
        source: SettingsSource,
        *,
        stop_requested_at: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.source = source
        self.random = SystemRandom()
        self.sink = LineSink(instance=settings.instance)
        self.stop_requested_at = stop_requested_at
        self.era = StoreEra(self._report_unknown_era)
        self.has_reported_era = False
        self.binder = SocketBinder(self.sink, stop_requested_at=stop_requested_at)

    def run(self) -> None:
        """Run until a planned stop has completed."""
        # Imports create little garbage, so collections would only cost time.
        gc.disable()
        try:
            runtime = self._make_runtime()
        except StopRequestedError:
            self.sink.event(NODE_STOPPED, lasted_ms=0)
            self.sink.flush()
            return
        self._report_start()
        client = StartupClient(self.settings.store)
        store = self._make_store(client)
        loop = StartupLoop(
            runtime, client=client, store=store, timeout_s=STORE_TIMEOUT_S
        )
        loop.run(import_libraries=_import_libraries)
        gc.enable()
        # Exempt the imported modules from later collections.
        gc.freeze()
        self._run_node(runtime)

    def _report_start(self) -> None:
        agent = self.settings.agent
        self.sink.event(
            NODE_STARTED,
            role=self.settings.role.value,
            zone=self.settings.zone,
            service=agent.service if agent else "",
            start_ms=round(process_time() * 1000),
        )
        self.sink.flush()

    def _make_runtime(self) -> FlowRuntime:
        settings = self.settings
        gossip = ViewGossip(
            host=parse_ipv4(settings.host),
            seeds=[parse_ipv4(seed) for seed in settings.seeds],
            random=self.random,
            now=boot_time(),
        )
        loads = make_load_table(settings, gossip, now=boot_time())
        gossip.loads = loads
        if settings.agent is None:
            return self._make_balancer(gossip, loads)
        return self._make_agent(gossip, settings.agent.service, loads)

    # Each role imports only its own modules, which saves time and memory.

    def _make_balancer(
        self, gossip: ViewGossip, loads: "LoadTable | None"
    ) -> FlowRuntime:
        from balsamtide.flow_node.balancer_runtime import BalancerRuntime
        from balsamtide.flows.evacuation import ZoneEvacuation
        from balsamtide.flows.flow_balancer import FlowBalancer
        from balsamtide.flows.placement import LeastLoadedPlacement, PlacementPolicy

        settings, sink = self.settings, self.sink
        placement: PlacementPolicy = LeastLoadedPlacement(
            zone=settings.zone, random=self.random
        )
        if loads is not None:
            from balsamtide.flows.shared_load_placement import SharedLoadPlacement

            placement = SharedLoadPlacement(
                zone=settings.zone,
                table=loads,
                service_size=lambda name: gossip.view.size(name),
                small_services=placement,
                random=Random(self.random.getrandbits(64)),
                sink=sink,
            )
        zones = settings.zones
        balancer = FlowBalancer(
            host=gossip.host,
            packets=WirePackets(),
            gossip=gossip,
            placement=placement,
            sink=sink,
            evacuation=ZoneEvacuation(
                timeout_s=settings.evacuation_timeout_s, zone=settings.zone
            ),
            client_zone=(
                zones.index(settings.zone) + 1 if settings.zone in zones else 0
            ),
        )
        return BalancerRuntime(
            processor=balancer,
            settings=settings,
            gossip=gossip,
            sink=sink,
            bind=self.binder.bind,
        )

    def _make_agent(
        self, gossip: ViewGossip, service: str, loads: "LoadTable | None"
    ) -> FlowRuntime:
        from balsamtide.flow_node.agent_runtime import AgentRuntime
        from balsamtide.flows.evacuation import ZoneEvacuation
        from balsamtide.flows.fair_share import FairShareOrder
        from balsamtide.flows.flow_agent import FlowAgent
        from balsamtide.flows.flow_queue import ObjectiveOrder
        from balsamtide.flows.rebalancing import MoveShareOfNewTargets
        from balsamtide.flows.spillover import LoadSpillover, PeerChoice, RandomPeer

        settings, sink = self.settings, self.sink
        peers: PeerChoice = RandomPeer(random=self.random)
        if loads is not None:
            from balsamtide.flows.shared_load_peers import SharedLoadPeer

            peers = SharedLoadPeer(
                table=loads,
                service_size=lambda name: gossip.view.size(name),
                small_services=peers,
                random=Random(self.random.getrandbits(64)),
            )
        agent = FlowAgent(
            host=gossip.host,
            service=service,
            packets=WirePackets(),
            gossip=gossip,
            spillover=LoadSpillover(random=self.random, peers=peers),
            rebalancing=MoveShareOfNewTargets(random=self.random),
            order=ObjectiveOrder(),
            sink=sink,
            flow_lifetime_s=settings.flow_lifetime_s,
            now=boot_time(),
            evacuation=ZoneEvacuation(
                timeout_s=settings.evacuation_timeout_s, zone=settings.zone
            ),
            limiter=_make_limiter(settings.warm_up_limit),
            loads=loads,
            fair_share=FairShareOrder(sink=sink, zones=settings.zones),
        )
        return AgentRuntime(
            processor=agent,
            settings=settings,
            gossip=gossip,
            sink=sink,
            bind=self.binder.bind,
        )

    def _make_store(self, client: BaseHttpClient) -> PlatformStore:
        return PlatformStore(
            client, watch_s=WATCH_S, on_reject=self._log_rejected, era=self.era
        )

    def _report_unknown_era(self, reason: str) -> None:
        self.sink.count(STORE_ERAS_UNKNOWN)
        if not self.has_reported_era:
            self.has_reported_era = True
            self.sink.event(STORE_ERA_UNKNOWN, reason=reason)

    def _log_rejected(self, key: str, reason: str) -> None:
        self.sink.count(DOCUMENTS_REJECTED)
        self.sink.event(DOCUMENT_REJECTED, key=key, reason=reason)

    def _run_node(self, runtime: FlowRuntime) -> None:
        from trio import run

        from balsamtide.flow_node.http_client import HttpClient
        from balsamtide.flow_node.node import FlowNode
        from balsamtide.transport.boot_time_clock import BootTimeClock

        client = HttpClient(self.settings.store, timeout_s=STORE_TIMEOUT_S)
        node = FlowNode(
            runtime=runtime,
            source=self.source,
            store=self._make_store(client),
            readiness_path=READINESS_PATH,
            random=self.random,
            stop_requested_at=self.stop_requested_at,
        )
        run(node.run, clock=BootTimeClock())


def _make_limiter(limit: WarmUpLimit | None) -> "WarmUpLimiter | None":
    from balsamtide.flows.warm_up import WarmUpLimiter

    if limit is None:
        return None
    return WarmUpLimiter(factor=limit.factor, margin=limit.margin, now=boot_time())


def make_load_table(
    settings: FlowSettings, gossip: ViewGossip, *, now: float
) -> "LoadTable | None":
    """Return the loads to share with peers, None in a deployment with one zone."""
    if len(settings.zones) < 2:
        return None
    from balsamtide.flows.load_table import LoadTable

    return LoadTable(
        targets=lambda: gossip.view.by_host,
        host=None if settings.agent is None else gossip.host,
        now=now,
    )


def _import_libraries() -> None:
    """Import the modules that `FlowDaemon` needs after the startup loop, and trio."""
    import balsamtide.flow_node.http_client
    import balsamtide.flow_node.node  # noqa: F401


def read_first_settings(source: SettingsSource) -> FlowSettings:
    """Read the settings, again for a while if they are not valid.

    Raises
    ------
    FlowSettingsError
        If they are not valid at the end of that time.
    """
    give_up_at = boot_time() + SETTINGS_RETRY_S
    while True:
        try:
            return source.read(source.path)
        except FlowSettingsError:
            if boot_time() >= give_up_at:
                raise
        sleep(SETTINGS_RETRY_PERIOD_S)


def run_daemon(stop_requested_at: Callable[[], float]) -> int:
    """Run a daemon with the platform's settings file.

    Parameters
    ----------
    stop_requested_at : callable
        Returns when a signal requested a planned stop, infinity if none did.

    Returns
    -------
    int
        0 after a planned stop, 2 if the settings are not valid.
    """
    source = SettingsSource(settings_path(), read_settings)
    try:
        settings = read_first_settings(source)
    except FlowSettingsError as error:
        for problem in error.problems:
            print(f"settings: {problem}", file=sys.stderr)
        return EXIT_SETTINGS
    FlowDaemon(settings, source, stop_requested_at=stop_requested_at).run()
    return 0
