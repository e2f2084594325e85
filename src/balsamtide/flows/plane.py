"""What the decisions of balancer and agent have in common."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any

from balsamtide.fleet.sharing import ViewSharing
from balsamtide.fleet.view import FleetView, FlowTarget
from balsamtide.flows.events import FLOW_DROPPED, FLOW_REFUSED, INSTANCE_LEAVING
from balsamtide.flows.metrics import FLOW_DECISIONS
from balsamtide.flows.packet import PacketCodec, format_key
from balsamtide.protocol.flow_actions import Action, SendFrame
from balsamtide.protocol.flow_frames import Frame, Leaving
from balsamtide.telemetry.event import Event
from balsamtide.telemetry.sink import Sink
from balsamtide.transport.addresses import format_ipv4

__all__ = ["FlowPlane"]


class FlowPlane(ABC):
    """Beliefs about the fleet, and the lines that explain decisions.

    Parameters
    ----------
    host : int
        This instance.
    packets : PacketCodec
        The platform's packets.
    sharing : ViewSharing
        The view of routes and targets.
    sink : Sink
        Where decisions are reported.
    """

    def __init__(
        self, *, host: int, packets: PacketCodec, sharing: ViewSharing, sink: Sink
    ) -> None:
        self.host = host
        self.packets = packets
        self.sharing = sharing
        self.sink = sink
        self.leaving: dict[int, float] = {}

    # What the roles add

    @abstractmethod
    def receive_frame(self, frame: Frame, source: int, now: float) -> list[Action]:
        """Take a frame of another process."""

    @property
    @abstractmethod
    def deadline(self) -> float:
        """When `tick` has something to do."""

    @abstractmethod
    def tick(self, now: float) -> list[Action]:
        """Do what is due."""

    # The view

    @property
    def view(self) -> FleetView:
        """Routes and targets as known here."""
        return self.sharing.view

    def take_leaving(self, frame: Leaving, source: int, now: float) -> list[Action]:
        """Note that another process takes no new flows, or takes them again."""
        self.leaving[source] = now + frame.lasts_s
        self.sink.event(
            INSTANCE_LEAVING, peer=format_ipv4(source), lasts_ms=frame.lasts_s * 1000
        )
        return []

    def open_targets(
        self, service: str, now: float, *, without: Iterable[int] = ()
    ) -> list[FlowTarget]:
        """Return the targets of a service that take new flows now."""
        excluded = set(without)
        return [
            target
            for target in self.view.eligible(service, now)
            if target.host not in excluded and now >= self.leaving.get(target.host, now)
        ]

    def announce_leaving(self, lasts_s: float, now: float) -> list[Action]:
        """Tell all known processes whether this one takes new flows."""
        frame = Leaving(lasts_s)
        return [SendFrame(host, frame) for host in self.sharing.known_hosts(now)]

    def report(self, event: Event, key: bytes, now: float, **fields: Any) -> None:
        """Log a decision about a flow with the age and version of its inputs."""
        age_s = self.sharing.age(now)
        self.sink.event(
            event,
            flow=format_key(key),
            version=self.view.configuration.version,
            revision=self.view.revision,
            age_ms=round(age_s * 1000) if age_s < 1e6 else None,
            **fields,
        )
        self.sink.count(FLOW_DECISIONS, outcome=event.name)

    def report_refused(self, key: bytes, now: float, reason: str) -> None:
        """Log that a new flow was reset."""
        self.report(FLOW_REFUSED, key, now, reason=reason)

    def report_dropped(self, key: bytes, now: float, reason: str) -> None:
        """Log that a packet was dropped."""
        self.report(FLOW_DROPPED, key, now, reason=reason)
