"""Sockets of a balancer that forwards raw packets."""

from collections.abc import Sequence
from math import inf

from balsamtide.clock import boot_time
from balsamtide.fleet.view_gossip import ViewGossip
from balsamtide.flow_node.runtime import BatchHandler, BindSocket, FlowRuntime
from balsamtide.flow_node.settings import FlowSettings
from balsamtide.flows.flow_balancer import FlowBalancer
from balsamtide.protocol.flow_actions import Action, ToClient, ToTarget
from balsamtide.telemetry.line_sink import LineSink
from balsamtide.transport.addresses import format_ipv4
from balsamtide.transport.udp_socket import Received, UdpSocket

__all__ = ["BalancerRuntime"]

# Routers probe readiness twice a second and stop sending after two failures; packets
# stay in flight for a few milliseconds more.
ROUTER_REMOVAL_S = 1.3
# Routers no longer send to a balancer that received no packet for this long.
INGRESS_IDLE_S = 0.5


class BalancerRuntime(FlowRuntime):
    """Sockets of a balancer.

    Parameters
    ----------
    processor : FlowBalancer
        Decides what happens to packets and frames.
    settings, gossip, sink, bind
        As for `FlowRuntime`.
    """

    processor: FlowBalancer

    def __init__(
        self,
        *,
        processor: FlowBalancer,
        settings: FlowSettings,
        gossip: ViewGossip,
        sink: LineSink,
        bind: BindSocket = UdpSocket,
    ) -> None:
        super().__init__(settings=settings, gossip=gossip, sink=sink, bind=bind)
        self.processor = processor
        self.ingress = bind(*settings.packets)
        self.stop_started_at = inf
        self.last_packet_at = 0.0

    def socket_handlers(self) -> list[tuple[UdpSocket, BatchHandler]]:
        """Return the sockets with the handlers of their datagrams."""
        return [(self.ingress, self._handle_packets), (self.inner, self.handle_frames)]

    def _handle_packets(self, batch: list[Received], now: float) -> None:
        self.last_packet_at = now
        for data, _ in batch:
            self.execute(self.processor.receive_packet(data, now))

    def send_packet(self, action: ToClient | ToTarget) -> None:
        """Send a reset to a client; a balancer sends no packets to targets."""
        if isinstance(action, ToClient):
            address = (format_ipv4(action.host), self.settings.packets[1])
            self.ingress.send(action.packet, address)

    def on_view_change(self, now: float) -> Sequence[Action]:
        """Handle the packets that were held until a view could place them."""
        return self.processor.process_deferred(now)

    def is_ready(self) -> bool:
        """Whether routers may send packets here."""
        return self.has_view and not self.is_stopping

    def begin_stop(self) -> None:
        """Report not ready; forwarding goes on until the routers stop sending."""
        self.is_stopping = True
        self.stop_started_at = boot_time()

    def has_work(self, now: float) -> bool:
        """Whether the routers may still send packets here."""
        return now < max(
            self.stop_started_at + ROUTER_REMOVAL_S,
            self.last_packet_at + INGRESS_IDLE_S,
        )
