"""Sockets of an agent that forwards raw packets."""

from collections.abc import Sequence

from balsamtide.clock import boot_time
from balsamtide.fleet.view_gossip import ViewGossip
from balsamtide.flow_node.runtime import BatchHandler, BindSocket, FlowRuntime
from balsamtide.flow_node.settings import FlowSettings
from balsamtide.flows.flow_agent import FlowAgent
from balsamtide.protocol.flow_actions import Action, ToClient, ToTarget
from balsamtide.telemetry.line_sink import LineSink
from balsamtide.transport.addresses import format_ipv4
from balsamtide.transport.udp_socket import Received, UdpSocket

__all__ = ["AgentRuntime"]

# Time for which peers send no new flows to an agent that stops, unless it announces its
# return earlier; a restart takes less than 1 s.
ANNOUNCED_ABSENCE_S = 3.0


class AgentRuntime(FlowRuntime):
    """Sockets of an agent.

    Parameters
    ----------
    processor : FlowAgent
        Decides what happens to packets and frames.
    settings, gossip, sink, bind
        As for `FlowRuntime`; ``settings.agent`` must be set.
    """

    processor: FlowAgent

    def __init__(
        self,
        *,
        processor: FlowAgent,
        settings: FlowSettings,
        gossip: ViewGossip,
        sink: LineSink,
        bind: BindSocket = UdpSocket,
    ) -> None:
        super().__init__(settings=settings, gossip=gossip, sink=sink, bind=bind)
        if settings.agent is None:
            raise ValueError("settings.agent must be set")
        self.processor = processor
        self.target_socket = bind(*settings.agent.local_address)
        self.target_address = settings.agent.target_address

    def socket_handlers(self) -> list[tuple[UdpSocket, BatchHandler]]:
        """Return the sockets with the handlers of their datagrams."""
        return [
            (self.target_socket, self._handle_packets),
            (self.inner, self.handle_frames),
        ]

    def _handle_packets(self, batch: list[Received], now: float) -> None:
        for data, _ in batch:
            self.execute(self.processor.receive_from_target(data, now))

    def send_packet(self, action: ToClient | ToTarget) -> None:
        """Send a packet to a client or to the target."""
        if isinstance(action, ToTarget):
            self.target_socket.send(action.packet, self.target_address)
        else:
            address = (format_ipv4(action.host), self.settings.packets[1])
            self.target_socket.send(action.packet, address)

    def on_view_change(self, now: float) -> Sequence[Action]:
        """Decide again about queued flows."""
        return self.processor.view_changed(now)

    def is_ready(self) -> bool:
        """Whether this agent accepts new flows.

        It needs no view for that, since balancers choose the target of a flow.
        """
        return not self.is_stopping

    def begin_stop(self) -> None:
        """Stop accepting new flows, and announce it to the peers."""
        self.is_stopping = self.processor.is_stopping = True
        self.execute(self.processor.announce_leaving(ANNOUNCED_ABSENCE_S, boot_time()))

    def has_work(self, now: float) -> bool:
        """Whether the target has requests in progress."""
        return self.processor.has_requests(now)

    def apply_settings(self, settings: FlowSettings) -> None:
        """Apply the target's service and address, and the seeds."""
        super().apply_settings(settings)
        if settings.agent is not None:
            self.processor.set_service(settings.agent.service)
            self.target_address = settings.agent.target_address
