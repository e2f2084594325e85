"""Sockets of a balancer that carries raw packets."""

from collections.abc import Sequence
from math import inf
from time import monotonic

from balsamtide.fleet.sharing import ViewSharing
from balsamtide.flow_node.runtime import BatchHandler, FlowRuntime
from balsamtide.flow_node.settings import FlowSettings
from balsamtide.flows.flow_balancer import FlowBalancer
from balsamtide.protocol.flow_actions import Action, ToClient, ToTarget
from balsamtide.telemetry.line_sink import LineSink
from balsamtide.transport.addresses import format_ipv4
from balsamtide.transport.udp_socket import Received, UdpSocket

__all__ = ["BalancerRuntime"]

# The routers ask twice a second and leave after two misses; packets are on their way
# for some milliseconds more.
LEAVE_S = 1.3
# A balancer that got no packet for so long is out of the rotation.
QUIET_S = 0.5


class BalancerRuntime(FlowRuntime):
    """Sockets of a balancer.

    Parameters
    ----------
    plane : FlowBalancer
        Its decisions.
    settings, sharing, sink
        As for `FlowRuntime`.
    """

    plane: FlowBalancer

    def __init__(
        self,
        *,
        plane: FlowBalancer,
        settings: FlowSettings,
        sharing: ViewSharing,
        sink: LineSink,
    ) -> None:
        super().__init__(settings=settings, sharing=sharing, sink=sink)
        self.plane = plane
        self.ingress = UdpSocket(*settings.packets)
        self.stop_at = inf
        self.packet_at = 0.0

    def receivers(self) -> list[tuple[UdpSocket, BatchHandler]]:
        """Return the sockets with what takes their datagrams."""
        return [(self.ingress, self._take_packets), (self.inner, self.take_frames)]

    def _take_packets(self, batch: list[Received], now: float) -> None:
        self.packet_at = now
        for data, _ in batch:
            self.act(self.plane.receive_packet(data, now))

    def send_packet(self, action: ToClient | ToTarget) -> None:
        """Send a reset to a client."""
        if isinstance(action, ToClient):
            address = (format_ipv4(action.host), self.settings.packets[1])
            self.ingress.send(action.packet, address)

    def view_arrived(self, now: float, *, is_first: bool) -> Sequence[Action]:
        """Handle the packets that came before a view that helps."""
        return self.plane.take_early(now)

    def is_ready(self) -> bool:
        """Whether packets of clients are carried from here."""
        return self.has_view and not self.is_stopping

    def begin_stop(self) -> None:
        """Let the routers know; packets are carried until they send no more."""
        self.is_stopping = True
        self.stop_at = monotonic()

    def has_work(self, now: float) -> bool:
        """Whether the routers may still send packets here."""
        return now < max(self.stop_at + LEAVE_S, self.packet_at + QUIET_S)
