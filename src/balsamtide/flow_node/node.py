"""Trio tasks of a process that forwards raw packets."""

from collections.abc import Callable
from math import inf
from random import Random
from signal import SIGHUP, SIGINT, SIGTERM

from trio import (
    Event,
    Nursery,
    current_time,
    move_on_at,
    open_nursery,
    open_signal_receiver,
    sleep,
)

from balsamtide.fleet.store import FleetStore
from balsamtide.flow_node.events import (
    NODE_STOPPED,
    NODE_STOPPING,
    SETTINGS_RELOADED,
    SETTINGS_UNUSABLE,
)
from balsamtide.flow_node.http_server import HttpServer, ServerResponse
from balsamtide.flow_node.listener import serve_connections
from balsamtide.flow_node.runtime import BatchHandler, FlowRuntime
from balsamtide.flow_node.settings import FlowSettings, FlowSettingsError
from balsamtide.flow_node.settings_source import SettingsSource
from balsamtide.flow_node.store_reader import StoreReader
from balsamtide.telemetry.line_sink import LineSink
from balsamtide.transport.receiving import receive_batch
from balsamtide.transport.udp_socket import UdpSocket

__all__ = ["FlowNode"]

# Poll interval of the settings file.  A change must be applied within two seconds,
# after which a freed address may be reassigned to another service.
SETTINGS_CHECK_PERIOD_S = 0.1
# Interval at which buffered log lines are written.
FLUSH_PERIOD_S = 0.1
# Upper limit of a sleep between two runs of the timers.
MAX_TIMER_SLEEP_S = 0.25
# Part of the stop timeout that is reserved for the exit of the process.
STOP_MARGIN_S = 1.0
# Interval at which a planned stop checks for remaining work.
STOP_CHECK_PERIOD_S = 0.02
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
NOT_FOUND = ServerResponse(404)
READY = ServerResponse(200, b"ready\n")
NOT_READY = ServerResponse(503, b"not ready\n")


class FlowNode:
    """Drives a runtime with trio.

    Parameters
    ----------
    runtime : FlowRuntime
        Sockets and packet handling of the role.
    source : SettingsSource
        Settings file; detects changes and has the function that reads the file.
    store : FleetStore
        The platform's store.
    readiness_path : str
        URL path of the readiness probe.
    random : Random
        Source of the retry jitter.
    stop_requested_at : callable
        Returns when a signal requested a stop before `run` handled signals, else
        infinity.
    """

    def __init__(
        self,
        *,
        runtime: FlowRuntime,
        source: SettingsSource,
        store: FleetStore,
        readiness_path: str,
        random: Random,
        stop_requested_at: Callable[[], float],
    ) -> None:
        self.runtime = runtime
        self.stop_requested_at = stop_requested_at
        self.gossip = runtime.gossip
        self.sink: LineSink = runtime.sink
        self.source = source
        self.readiness_path = readiness_path
        self.stopping = Event()
        # Local time at which a planned stop ends, whatever work remains.
        self.stop_deadline = inf
        self.timer_at = inf
        self.timer_reset = Event()
        self.reader = StoreReader(
            store=store,
            gossip=runtime.gossip,
            execute=runtime.execute,
            on_view=runtime.process_view_change,
            sink=runtime.sink,
            random=random,
            outage_started_at=runtime.outage_started_at,
        )

    async def run(self) -> None:
        """Run until a planned stop has completed."""
        async with open_nursery() as nursery:
            self._start_tasks(nursery)
            await self.stopping.wait()
            stop_started_at = current_time()
            self.sink.event(NODE_STOPPING)
            self.runtime.begin_stop()
            await self._drain()
            lasted_ms = round((current_time() - stop_started_at) * 1000)
            self.sink.event(NODE_STOPPED, lasted_ms=lasted_ms)
            nursery.cancel_scope.cancel()
        self.sink.flush()

    def _start_tasks(self, nursery: Nursery) -> None:
        for socket, handler in self.runtime.socket_handlers():
            nursery.start_soon(self._receive, socket, handler)
        nursery.start_soon(self._run_timers)
        nursery.start_soon(self._serve_readiness)
        if self.runtime.settings.metrics_port:
            nursery.start_soon(self._serve_metrics)
        nursery.start_soon(self.reader.run)
        nursery.start_soon(self._watch_settings)
        nursery.start_soon(self._flush_log)
        nursery.start_soon(self._handle_signals)

    # Packets and timers

    async def _receive(self, socket: UdpSocket, handler: BatchHandler) -> None:
        while True:
            batch = await receive_batch(socket)
            handler(batch, current_time())
            if self.runtime.next_deadline() < self.timer_at:
                self.timer_reset.set()

    async def _run_timers(self) -> None:
        while True:
            latest = current_time() + MAX_TIMER_SLEEP_S
            self.timer_at = min(self.runtime.next_deadline(), latest)
            self.timer_reset = Event()
            with move_on_at(self.timer_at):
                await self.timer_reset.wait()
            self.runtime.tick(current_time())

    # Signals, settings and log

    async def _handle_signals(self) -> None:
        with open_signal_receiver(SIGTERM, SIGINT, SIGHUP) as signals:
            requested_at = self.stop_requested_at()
            if requested_at < inf:
                self._request_stop(requested_at)
            async for number in signals:
                if number == SIGHUP:
                    self.reload()
                else:
                    self._request_stop(current_time())

    async def _flush_log(self) -> None:
        while True:
            await sleep(FLUSH_PERIOD_S)
            self.sink.flush()

    async def _watch_settings(self) -> None:
        while True:
            await sleep(SETTINGS_CHECK_PERIOD_S)
            if self.source.has_changed():
                self.reload()

    def reload(self) -> None:
        """Reload the settings; keep the current ones if the file is not valid."""
        before = self.runtime.settings
        try:
            settings = self.source.read(self.source.path)
        except FlowSettingsError as error:
            self.sink.event(SETTINGS_UNUSABLE, problem=str(error))
            return
        names = FlowSettings.__slots__
        changed = [n for n in names if getattr(settings, n) != getattr(before, n)]
        self.sink.event(SETTINGS_RELOADED, changed=" ".join(changed))
        self.runtime.apply_settings(settings)

    # The planned stop

    def _request_stop(self, requested_at: float) -> None:
        """Begin a planned stop that was requested at a time, possibly before `run`."""
        timeout_s = self.runtime.settings.stop_timeout_s
        self.stop_deadline = min(
            self.stop_deadline, requested_at + timeout_s - STOP_MARGIN_S
        )
        self.stopping.set()

    async def _drain(self) -> None:
        runtime = self.runtime
        while current_time() < self.stop_deadline and runtime.has_work(current_time()):
            await sleep(STOP_CHECK_PERIOD_S)

    # Readiness

    async def _serve_readiness(self) -> None:
        server = HttpServer(self._readiness_response)
        address = self.runtime.settings.readiness
        await serve_connections(server.serve, address, sink=self.sink)

    def _readiness_response(self, path: str) -> ServerResponse:
        if path.partition("?")[0] != self.readiness_path:
            return NOT_FOUND
        return READY if self.runtime.is_ready() else NOT_READY

    # Metrics

    async def _serve_metrics(self) -> None:
        server = HttpServer(self._metrics_response)
        settings = self.runtime.settings
        # Only the instance's own address, since the port is the same for all instances.
        address = settings.host, settings.metrics_port
        await serve_connections(server.serve, address, sink=self.sink)

    def _metrics_response(self, path: str) -> ServerResponse:
        # Imported on the first request, since most processes are never scraped.
        from balsamtide.telemetry.line_metrics import render_lines_metrics

        if path.partition("?")[0] != METRICS_PATH:
            return NOT_FOUND
        return ServerResponse(200, render_lines_metrics(self.sink), METRICS_TYPE)
