"""Sockets of an agent that carries raw packets."""

from collections.abc import Sequence
from time import monotonic

from balsamtide.fleet.sharing import ViewSharing
from balsamtide.flow_node.runtime import BatchHandler, FlowRuntime
from balsamtide.flow_node.settings import FlowSettings
from balsamtide.flows.flow_agent import FlowAgent
from balsamtide.protocol.flow_actions import Action, ToClient, ToTarget
from balsamtide.telemetry.line_sink import LineSink
from balsamtide.transport.addresses import format_ipv4
from balsamtide.transport.udp_socket import Received, UdpSocket

__all__ = ["AgentRuntime"]

# Longest absence that peers assume; a restart takes well under a second.
ABSENCE_S = 3.0


class AgentRuntime(FlowRuntime):
    """Sockets of an agent.

    Parameters
    ----------
    plane : FlowAgent
        Its decisions.
    settings, sharing, sink
        As for `FlowRuntime`; the settings are those of an agent.
    """

    plane: FlowAgent

    def __init__(
        self,
        *,
        plane: FlowAgent,
        settings: FlowSettings,
        sharing: ViewSharing,
        sink: LineSink,
    ) -> None:
        super().__init__(settings=settings, sharing=sharing, sink=sink)
        if settings.agent is None:
            raise ValueError("the settings are not those of an agent")
        self.plane = plane
        self.target_socket = UdpSocket(*settings.agent.from_target)
        self.to_target = settings.agent.to_target

    def receivers(self) -> list[tuple[UdpSocket, BatchHandler]]:
        """Return the sockets with what takes their datagrams."""
        return [
            (self.target_socket, self._take_packets),
            (self.inner, self.take_frames),
        ]

    def _take_packets(self, batch: list[Received], now: float) -> None:
        for data, _ in batch:
            self.act(self.plane.receive_from_target(data, now))

    def send_packet(self, action: ToClient | ToTarget) -> None:
        """Send a packet to a client or to the target."""
        if isinstance(action, ToTarget):
            self.target_socket.send(action.packet, self.to_target)
        else:
            address = (format_ipv4(action.host), self.settings.packets[1])
            self.target_socket.send(action.packet, address)

    def view_arrived(self, now: float, *, is_first: bool) -> Sequence[Action]:
        """Tell the others at the start that the target takes flows again."""
        if is_first:
            return self.plane.announce_leaving(0.0, now)
        return self.plane.view_changed(now)

    def is_ready(self) -> bool:
        """Whether the target's packets are carried from here."""
        return not self.is_stopping

    def begin_stop(self) -> None:
        """Take no new flows, and tell the others."""
        self.is_stopping = self.plane.is_stopping = True
        self.act(self.plane.announce_leaving(ABSENCE_S, monotonic()))

    def has_work(self, now: float) -> bool:
        """Whether the target has requests in progress."""
        return self.plane.load(now) > 0

    def apply_settings(self, settings: FlowSettings) -> None:
        """Take the target's service and address, and the seeds."""
        super().apply_settings(settings)
        if settings.agent is not None:
            self.plane.set_service(settings.agent.service)
            self.to_target = settings.agent.to_target
