"""Base of the packet processing of balancer and agent."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any

from balsamtide.fleet.view import FleetView, FlowTarget
from balsamtide.fleet.view_gossip import ViewGossip
from balsamtide.flows.evacuation import ZoneEvacuation
from balsamtide.flows.events import (
    FLOW_DROPPED,
    FLOW_REFUSED,
    INSTANCE_LEAVING,
    ZONE_EVACUATED,
    ZONE_RETURNS,
)
from balsamtide.flows.metrics import FLOW_DECISIONS, ZONES_EVACUATED
from balsamtide.flows.packet import PacketCodec, format_key
from balsamtide.protocol.flow_actions import Action, SendFrame
from balsamtide.protocol.flow_frames import Digest, Frame, Leaving, MarkedLeaving
from balsamtide.protocol.view_frames import PullRequest, ViewPiece
from balsamtide.telemetry.event import Event
from balsamtide.telemetry.sink import Sink
from balsamtide.transport.addresses import format_ipv4

__all__ = ["FlowProcessor"]


class FlowProcessor(ABC):
    """Base of balancer and agent: holds the view and logs decisions about flows.

    Parameters
    ----------
    host : int
        IPv4 address of this instance, as a number.
    packets : PacketCodec
        Codec of the platform's packets.
    gossip : ViewGossip
        Replica of routes and targets.
    sink : Sink
        Receives events and metrics.
    evacuation : ZoneEvacuation or None
        Share of new flows for evacuated zones; None if evacuations take full effect as
        soon as they are known.
    """

    def __init__(
        self,
        *,
        host: int,
        packets: PacketCodec,
        gossip: ViewGossip,
        sink: Sink,
        evacuation: ZoneEvacuation | None = None,
    ) -> None:
        self.host = host
        self.packets = packets
        self.gossip = gossip
        self.sink = sink
        self.evacuation = evacuation or ZoneEvacuation()
        # Local time until which a host takes no new flows, by host.
        self.no_new_flows_until: dict[int, float] = {}

    # Implemented by balancer and agent

    @abstractmethod
    def receive_frame(self, frame: Frame, source: int, now: float) -> list[Action]:
        """Process a frame of another process and return the actions to perform."""

    @property
    @abstractmethod
    def deadline(self) -> float:
        """Time of the next call of `tick`."""

    @abstractmethod
    def tick(self, now: float) -> list[Action]:
        """Run the timers that expired and return the actions to perform."""

    # The view

    @property
    def view(self) -> FleetView:
        """Routes and targets as known to this process."""
        return self.gossip.view

    @property
    def idle_timeout_s(self) -> float:
        """Time without packets after which a flow may be removed, in seconds."""
        return self.view.configuration.idle_timeout_s

    def handle_leaving(self, frame: Leaving, source: int, now: float) -> list[Action]:
        """Record that another process takes no new flows, or takes them again."""
        if frame.lasts_s > 0:
            self.no_new_flows_until[source] = now + frame.lasts_s
        elif self.no_new_flows_until.pop(source, now) <= now:
            return []
        self.sink.event(
            INSTANCE_LEAVING, peer=format_ipv4(source), lasts_ms=frame.lasts_s * 1000
        )
        return []

    def handle_gossip(
        self, frame: Digest | PullRequest | ViewPiece, source: int, now: float
    ) -> list[Action]:
        """Process a frame of the gossip; tell a peer that is marked as leaving."""
        actions = self.gossip.receive(frame, source, now)
        if isinstance(frame, Digest) and now < self.no_new_flows_until.get(source, now):
            actions.append(SendFrame(source, MarkedLeaving()))
        return actions

    def update_zones(self, now: float) -> None:
        """Record the evacuated zones of the view, and report changes."""
        confirmed_at = self.gossip.confirmed_at
        changes = self.evacuation.update(self.view, now, confirmed_at=confirmed_at)
        for change in changes:
            event = ZONE_EVACUATED if change.is_evacuated else ZONE_RETURNS
            age_s = self.gossip.age(now)
            self.sink.event(
                event,
                zone=change.zone,
                version=self.view.configuration.version,
                revision=self.view.revision,
                age_ms=round(age_s * 1000) if age_s < 1e6 else None,
            )
            self.sink.gauge(ZONES_EVACUATED, len(self.view.evacuated_zones))

    def has_closed_zones(self, now: float) -> bool:
        """Whether new flows of any zone's targets are limited by an evacuation."""
        if self.view.evacuated_zones is not self.evacuation.zones:
            self.update_zones(now)
        return bool(self.evacuation.phases)

    def available_targets(
        self,
        service: str,
        now: float,
        *,
        without: Iterable[int] = (),
        key: bytes | None = None,
    ) -> list[FlowTarget]:
        """Return the targets of a service that take new flows now.

        Unlike `FleetView.eligible`, leave out instances that announced a stop, and
        zones that are evacuated.  A zone that takes a share of the new flows is left
        out for other flows than its share, unless there is no other target.
        """
        excluded = set(without)
        targets = self._available(
            self.view.by_service.get(service, ()), now, excluded, key
        )
        if targets or key is None or not self.evacuation.phases:
            return targets
        return self.available_targets(service, now, without=excluded)

    def available_homes(
        self, service: str, key: bytes, now: float, *, without: Iterable[int] = ()
    ) -> list[FlowTarget]:
        """Return the home targets of a flow that take new flows now."""
        return self._available(self.view.homes(service, key), now, set(without), key)

    def _available(
        self,
        targets: Iterable[FlowTarget],
        now: float,
        excluded: set[int],
        key: bytes | None,
    ) -> list[FlowTarget]:
        available = [
            target
            for target in targets
            if target.host not in excluded
            and now >= self.no_new_flows_until.get(target.host, now)
            and self.view.is_eligible(target, now)
        ]
        if not self.has_closed_zones(now):
            return available
        admits, view = self.evacuation.admits, self.view
        return [target for target in available if admits(target, key, view, now)]

    def no_target_reason(self, service: str, now: float) -> str:
        """Return why no target of a service takes a new flow."""
        if not self.has_closed_zones(now):
            return "no-target"
        eligible = self.view.eligible(service, now)
        admits, view = self.evacuation.admits, self.view
        is_evacuated = eligible and not any(
            admits(target, None, view, now) for target in eligible
        )
        return "evacuated" if is_evacuated else "no-target"

    def announce_leaving(self, lasts_s: float, now: float) -> list[Action]:
        """Return frames that announce that this process takes no new flows.

        Parameters
        ----------
        lasts_s : float
            Longest duration in seconds; 0 announces that it takes new flows again.
        now : float
            Local time in seconds.
        """
        frame = Leaving(lasts_s)
        return [SendFrame(host, frame) for host in self.gossip.known_hosts(now)]

    def report(self, event: Event, key: bytes, now: float, **fields: Any) -> None:
        """Log and count a decision about a flow, with version and age of the view."""
        # The age is infinite before the first confirmation.
        age_s = self.gossip.age(now)
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
