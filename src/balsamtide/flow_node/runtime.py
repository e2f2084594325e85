"""Non-blocking sockets, actions and timers of a process that forwards raw packets.

`StartupLoop` and `FlowNode` call the runtime when a socket is readable or a deadline
has passed.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from math import inf

from balsamtide.clock import boot_time
from balsamtide.fleet.view import FleetView
from balsamtide.fleet.view_gossip import ViewGossip
from balsamtide.flow_node.events import PULL_FAILED, STORE_RESTORED, VIEW_CHANGED
from balsamtide.flow_node.metrics import VIEW_AGE, VIEW_ERAS, VIEW_PULLS
from balsamtide.flow_node.settings import FlowSettings
from balsamtide.flows.metrics import PACKETS_REJECTED
from balsamtide.flows.processor import FlowProcessor
from balsamtide.protocol.errors import DecodeError
from balsamtide.protocol.flow_actions import (
    Action,
    PullEnded,
    SendFrame,
    ToClient,
    ToTarget,
)
from balsamtide.protocol.flow_frames import decode_frame
from balsamtide.telemetry.line_sink import LineSink
from balsamtide.transport.addresses import format_ipv4, parse_ipv4
from balsamtide.transport.udp_socket import Received, UdpSocket

__all__ = ["BatchHandler", "BindSocket", "FlowRuntime"]

BatchHandler = Callable[[list[Received], float], None]
# Returns a socket that is bound to an IP address and port.
BindSocket = Callable[[str, int], UdpSocket]


class FlowRuntime(ABC):
    """Base class of the runtimes of balancers and agents.

    Parameters
    ----------
    settings : FlowSettings
        Initial settings.
    gossip : ViewGossip
        Holds and shares the view of the fleet.
    sink : LineSink
        Log and metrics.
    bind : callable
        Binds the sockets.
    """

    processor: FlowProcessor

    def __init__(
        self,
        *,
        settings: FlowSettings,
        gossip: ViewGossip,
        sink: LineSink,
        bind: BindSocket = UdpSocket,
    ) -> None:
        self.settings = settings
        self.gossip = gossip
        self.sink = sink
        self.inner = bind(*settings.inner)
        self.is_stopping = False
        self.has_view = False
        # Start of the store's outage if the startup loop could not read it, else
        # infinite; handed over to the store reader.
        self.outage_started_at = inf

    # Role-specific methods

    @abstractmethod
    def socket_handlers(self) -> list[tuple[UdpSocket, BatchHandler]]:
        """Return the sockets with the handlers of their datagrams."""

    @abstractmethod
    def send_packet(self, action: ToClient | ToTarget) -> None:
        """Send a packet to a client or a target."""

    @abstractmethod
    def on_view_change(self, now: float) -> Sequence[Action]:
        """Return the actions that follow from a changed view."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Whether this process accepts new work."""

    @abstractmethod
    def begin_stop(self) -> None:
        """Start a planned stop."""

    @abstractmethod
    def has_work(self, now: float) -> bool:
        """Whether a planned stop has to wait for remaining work."""

    def apply_settings(self, settings: FlowSettings) -> None:
        """Apply changed settings; bound addresses change only with a restart."""
        self.settings = settings
        self.gossip.set_seeds(parse_ipv4(seed) for seed in settings.seeds)

    # Actions

    def execute(self, actions: Sequence[Action]) -> None:
        """Execute actions."""
        for action in actions:
            match action:
                case SendFrame():
                    self._send_frame(action)
                case PullEnded():
                    self._report_pull(action)
                case _:
                    self.send_packet(action)

    def _send_frame(self, action: SendFrame) -> None:
        address = (format_ipv4(action.host), self.settings.inner[1])
        self.inner.send(action.frame.encode(), address)

    def _report_pull(self, action: PullEnded) -> None:
        outcome = "failed" if action.problem else "taken"
        self.sink.count(VIEW_PULLS, outcome=outcome)
        if action.problem:
            peer = format_ipv4(action.host)
            self.sink.event(PULL_FAILED, peer=peer, reason=action.problem)

    # Frames

    def handle_frames(self, batch: list[Received], now: float) -> None:
        """Handle datagrams of other processes."""
        for data, (host, _) in batch:
            try:
                frame = decode_frame(data)
            except DecodeError as error:
                self.sink.count(PACKETS_REJECTED, kind=error.fault.value)
                continue
            source = parse_ipv4(host)
            before = self.gossip.view
            self.execute(self.processor.receive_frame(frame, source, now))
            if self.gossip.view is not before:
                self.process_view_change(before, host)

    # Timers

    def next_deadline(self) -> float:
        """Return the time at which `tick` is due.

        The processor's `tick` also sends the digests of the gossip.
        """
        return min(self.processor.deadline, self.gossip.deadline)

    def tick(self, now: float) -> None:
        """Run expired timers."""
        # Queued datagrams may have arrived before the deadline, so read them first.
        for socket, handler in self.socket_handlers():
            batch = socket.receive_queued()
            if batch:
                handler(batch, now)
        self.sink.gauge(VIEW_AGE, self.gossip.age(now))
        before = self.gossip.view
        self.execute(self.processor.tick(now))
        if self.gossip.view is not before:
            self.process_view_change(before, "grace-period")

    # View changes

    def process_view_change(self, before: FleetView, source: str) -> None:
        """Report a changed view and execute the actions that follow from it."""
        view = self.gossip.view
        now = boot_time()
        if view.era != before.era and before.revision >= 0:
            self._report_restored(before, source)
        # The tag covers the configuration version, the targets and the evacuations.
        if view.content_tag != before.content_tag:
            self.sink.event(
                VIEW_CHANGED,
                version=view.configuration.version,
                revision=view.revision,
                era=view.era,
                evacuated=" ".join(sorted(view.evacuated_zones)),
                source=source,
                age_ms=round(self.gossip.age(now) * 1000),
                targets=" ".join(_changed_targets(before, view)),
                routes=len(view.configuration.routes),
            )
        if view.revision >= 0 and view.content_tag != before.content_tag:
            self.has_view = True
            self.execute(self.on_view_change(now))

    def _report_restored(self, before: FleetView, source: str) -> None:
        """Report a view of another era, and what is kept of the one before."""
        view, kept = self.gossip.view, self.gossip.carry_over
        self.sink.count(VIEW_ERAS)
        self.sink.event(
            STORE_RESTORED,
            era=view.era,
            revision=view.revision,
            version=view.configuration.version,
            era_before=before.era,
            revision_before=before.revision,
            source=source,
            kept_targets=" ".join(map(str, kept.targets.values())) if kept else "",
            kept_zones=" ".join(sorted(kept.evacuated_zones)) if kept else "",
        )


def _changed_targets(before: FleetView, after: FleetView) -> list[str]:
    changed = [
        f"{target}={target.state.value}"
        for name, target in after.targets.items()
        if name not in before.targets or before.targets[name].state != target.state
    ]
    gone = [t for name, t in before.targets.items() if name not in after.targets]
    return changed + [f"{target}=gone" for target in gone]
