"""Sans-I/O packet processing of the balancer."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from balsamtide.fleet.view import FlowRoute, FlowTarget
from balsamtide.fleet.view_gossip import ViewGossip
from balsamtide.flows.confirmation import ConfirmationTimer
from balsamtide.flows.evacuation import ZoneEvacuation
from balsamtide.flows.events import (
    AGENT_SILENT,
    FLOW_PLACED,
)
from balsamtide.flows.flow_cache import CachedFlow
from balsamtide.flows.metrics import FLOWS, PACKETS_REJECTED
from balsamtide.flows.open_flows import OpenFlowProcessor
from balsamtide.flows.packet import (
    FlowPacket,
    FlowPacketError,
    PacketCodec,
)
from balsamtide.flows.placement import PlacementPolicy
from balsamtide.protocol.flow_actions import Action, ToClient
from balsamtide.protocol.flow_frames import (
    Digest,
    Disowned,
    DisownReason,
    Frame,
    Leaving,
    Located,
    Refused,
    Taken,
    service_tag,
)
from balsamtide.protocol.view_frames import PullRequest, ViewPiece
from balsamtide.telemetry.sink import Sink
from balsamtide.transport.addresses import format_ipv4

__all__ = ["FlowBalancer"]

# Agents tried for one SYN; after that the client's retransmission starts over.
MAX_PLACEMENT_ATTEMPTS = 3
# An agent that did not confirm a flow gets no new flows until this time has passed or
# a frame of it arrives, unless no other agent is available.
SUSPECT_S = 1.0
# Limit of the packets deferred right after the start or an outage of the store.
MAX_DEFERRED_PACKETS = 1024
# A client gives up its SYN after 1.4 s; the rest is for the handshake.
DEFERRED_TIMEOUT_S = 1.0
# Period of the removal of expired flows; a small fraction of any idle timeout.
SWEEP_PERIOD_S = 1.0


@dataclass(slots=True)
class PendingFlow:
    """A new flow that its agent has not confirmed yet.

    Parameters
    ----------
    packet : FlowPacket
        The SYN.
    host : int
        Agent that it was sent to.
    tried : tuple of int
        Agents tried before.
    started_at : float
        Local time at which the SYN arrived.
    sent_at : float
        Local time at which it was sent to this agent.
    deadline : float
        Local time at which the agent counts as unresponsive.
    """

    packet: FlowPacket
    host: int
    tried: tuple[int, ...]
    started_at: float
    sent_at: float
    deadline: float


class FlowBalancer(OpenFlowProcessor):
    """Sends packets of clients to the agents beside the targets.

    Parameters
    ----------
    host : int
        IPv4 address of this instance, as a number.
    packets : PacketCodec
        Codec of the platform's packets.
    gossip : ViewGossip
        Replica of routes and targets.
    placement : PlacementPolicy
        Chooses the target of a new flow.
    sink : Sink
        Receives events and metrics.
    evacuation : ZoneEvacuation or None
        As for `FlowProcessor`.
    client_zone : int
        Number of this availability zone in frames, from 1; 0 if it has none.
    """

    def __init__(
        self,
        *,
        host: int,
        packets: PacketCodec,
        gossip: ViewGossip,
        placement: PlacementPolicy,
        sink: Sink,
        evacuation: ZoneEvacuation | None = None,
        client_zone: int = 0,
    ) -> None:
        super().__init__(
            host=host,
            packets=packets,
            gossip=gossip,
            sink=sink,
            evacuation=evacuation,
            client_zone=client_zone,
        )
        self.placement = placement
        self.pending_flows: dict[bytes, PendingFlow] = {}
        self.confirmation = ConfirmationTimer()
        self.suspects: dict[int, float] = {}
        self.deferred: list[tuple[float, bytes]] = []
        self.next_sweep_at = 0.0

    # Packets of clients

    def receive_packet(self, data: bytes, now: float) -> list[Action]:
        """Process a client's packet and return the actions to perform."""
        if self.view.revision < 0:
            return self._defer(data, now)
        try:
            packet = self.packets.decode(data)
        except FlowPacketError:
            self.sink.count(PACKETS_REJECTED, kind="packet")
            return []
        if packet.is_opening:
            return self._handle_syn(packet, now)
        return self._forward_packet(packet, now)

    def _defer(self, data: bytes, now: float) -> list[Action]:
        """Keep a packet to process it again with the next view."""
        if len(self.deferred) < MAX_DEFERRED_PACKETS:
            self.deferred.append((now, data))
        return []

    def process_deferred(self, now: float) -> list[Action]:
        """Process the deferred packets against the current view."""
        self.update_zones(now)
        deferred, self.deferred = self.deferred, []
        actions: list[Action] = []
        for received_at, data in deferred:
            if now < received_at + DEFERRED_TIMEOUT_S:
                actions += self.receive_packet(data, now)
        return actions

    def _handle_syn(self, packet: FlowPacket, now: float) -> list[Action]:
        key = packet.client_key
        known = self.flows.get(key, now, self.idle_timeout_s)
        if known is not None and not self._is_agent_responsive(known, now):
            known = None
        if known is not None and known.client_isn == packet.sequence:
            # The agent confirms retransmissions too, so that its failure is detected.
            self.pending_flows.setdefault(
                key, self._pending_flow(packet, known.host, (), now, now)
            )
            return [self._send_carry(packet, known, must_take=True)]
        # The client uses the port of an earlier flow again.
        self.pending_flows.pop(key, None)
        route = self.view.route(packet.destination)
        if route is None:
            return self._refuse(packet, now, "no-route")
        if known is not None and known.client_isn is None:
            # Its agent knows whether this is a retransmission.
            service = route.service_for(key)
            target = self._target_at(known.host, service, key, now)
            return self._place(packet, route, (), now, now, preferred=target)
        return self._place(packet, route, (), now, now)

    def _target_at(
        self, host: int, service: str, key: bytes, now: float
    ) -> FlowTarget | None:
        """Return an instance's target if it takes a new flow of a service."""
        target = self.view.by_host.get(host)
        if target is None or target.service != service:
            return None
        return target if self._available((target,), now, set(), key) else None

    def _is_agent_responsive(self, flow: CachedFlow, now: float) -> bool:
        """Whether the flow's agent is not suspected of being unresponsive."""
        return now >= self.suspects.get(flow.host, -inf)

    def _place(
        self,
        packet: FlowPacket,
        route: FlowRoute,
        tried: tuple[int, ...],
        started_at: float,
        now: float,
        *,
        preferred: FlowTarget | None = None,
    ) -> list[Action]:
        key = packet.client_key
        service = route.service_for(key)
        candidates = (
            [preferred] if preferred else self._candidates(service, key, tried, now)
        )
        if not candidates:
            return self._defer_or_refuse(packet, service, now)
        target = self.placement.choose(key, candidates, now)
        inputs = self.placement.describe(target, now)
        self.placement.record_placement(target, now)
        flow = CachedFlow(
            target.host, service_tag(service), now, client_isn=packet.sequence
        )
        self.flows.put(key, flow)
        self.pending_flows[key] = self._pending_flow(
            packet, target.host, tried, started_at, now
        )
        self.report(
            FLOW_PLACED,
            key,
            now,
            service=service,
            target=str(target),
            # On a SYN, the number of its earlier transmissions.
            copies=packet.acknowledgement,
            candidates=len(candidates),
            tries=len(tried),
            **inputs,
        )
        return [self._send_carry(packet, flow, elapsed_s=now - started_at)]

    def _pending_flow(
        self,
        packet: FlowPacket,
        host: int,
        tried: tuple[int, ...],
        started_at: float,
        now: float,
    ) -> PendingFlow:
        deadline = now + self.confirmation.timeout_s
        return PendingFlow(packet, host, tried, started_at, now, deadline)

    def _candidates(
        self, service: str, key: bytes, tried: Iterable[int], now: float
    ) -> list[FlowTarget]:
        """Return targets for a new flow, suspected ones only if there is no other.

        Home targets come first, since a flow is found there without a search among all.
        """
        excluded = set(tried)
        homes = self.available_homes(service, key, now, without=excluded)
        responsive = self._responsive(homes, now)
        if responsive:
            return responsive
        targets = self.available_targets(service, now, without=excluded, key=key)
        return self._responsive(targets, now) or targets

    def _responsive(self, targets: list[FlowTarget], now: float) -> list[FlowTarget]:
        if not self.suspects:
            return targets
        return [t for t in targets if now >= self.suspects.get(t.host, now)]

    def _defer_or_refuse(
        self, packet: FlowPacket, service: str, now: float
    ) -> list[Action]:
        """Defer a SYN while targets may come back, otherwise refuse it."""
        if now < self.view.settles_at:
            return self._defer(packet.raw, now)
        return self._refuse(packet, now, self.no_target_reason(service, now))

    def _refuse(self, packet: FlowPacket, now: float, reason: str) -> list[Action]:
        """Reset a new flow, or drop its SYN if the view may be outdated."""
        key = packet.client_key
        if not self.gossip.is_fresh(now):
            self.report_dropped(key, now, f"{reason}, view outdated")
            return []
        self.report_refused(key, now, reason)
        return [ToClient(packet.source[0], self.packets.reset(packet))]

    # Frames of agents

    def receive_frame(self, frame: Frame, source: int, now: float) -> list[Action]:
        """Process a frame of another process and return the actions to perform."""
        self.suspects.pop(source, None)
        match frame:
            case Taken():
                return self._handle_taken(frame, source, now)
            case Located():
                return self._handle_located(frame, source, now)
            case Disowned():
                return self._handle_disowned(frame, source, now)
            case Refused():
                return self._handle_refused(frame, source)
            case Leaving():
                return self.handle_leaving(frame, source, now)
            case Digest() | PullRequest() | ViewPiece():
                return self.handle_gossip(frame, source, now)
        self.sink.count(PACKETS_REJECTED, kind="frame")
        return []

    def _handle_taken(self, frame: Taken, source: int, now: float) -> list[Action]:
        self.placement.record_load(source, frame.load, now)
        pending = self.pending_flows.pop(frame.key, None)
        if pending is not None:
            self.confirmation.record(now - pending.sent_at)
        search = self.searches.get(frame.key)
        # What confirms a SYN says nothing about packets of an earlier flow.
        if search is not None and pending is None:
            return self._finish_found(frame.key, source, now)
        flow = self.flows.get(frame.key, now, self.idle_timeout_s)
        if flow is None:
            # A target's late answer to a search, unless it confirms a SYN.
            return [] if pending else self._finish_found(frame.key, source, now)
        if pending is not None or not flow.is_confirmed:
            flow.host = source
        flow.confirm()
        return []

    def _handle_refused(self, frame: Refused, source: int) -> list[Action]:
        """Remove a refused flow, unless another agent has confirmed it."""
        self.pending_flows.pop(frame.key, None)
        flow = self.flows.flows.get(frame.key)
        if flow is not None and (flow.host == source or not flow.is_confirmed):
            self.flows.drop(frame.key)
        return []

    def _handle_disowned(
        self, frame: Disowned, source: int, now: float
    ) -> list[Action]:
        try:
            packet = self.packets.decode(frame.packet)
        except FlowPacketError:
            self.sink.count(PACKETS_REJECTED, kind="packet")
            return []
        key = packet.client_key
        flow = self.flows.get(key, now, self.idle_timeout_s)
        if packet.is_opening and flow is not None:
            # An agent that was suspended may return a SYN that another has taken.
            is_elsewhere = flow.is_confirmed and flow.host != source
            is_taken = is_elsewhere and key not in self.pending_flows
            if is_taken or flow.is_newer_than(packet):
                return []
        if flow is not None and flow.host == source:
            self.flows.drop(key)
        if packet.is_opening:
            return self._place_disowned_syn(packet, source, now)
        search = self.searches.get(key)
        if frame.reason is DisownReason.RETURNED:
            if search is None:
                return []
            search.record_return(source)
            if not search.was_sent_tentatively or search.tentative_hosts:
                return []
            return self._continue_search(key, now)
        if search is not None:
            search.add_packet(packet.raw)
            return []
        return self._search(packet, now, without=(source,))

    def _place_disowned_syn(
        self, packet: FlowPacket, source: int, now: float
    ) -> list[Action]:
        """Choose another agent for a SYN that an agent disowned."""
        pending = self.pending_flows.pop(packet.client_key, None)
        tried = (*(pending.tried if pending else ()), source)
        started_at = pending.started_at if pending else now
        return self._retry_placement(packet, tried, started_at, now)

    def _retry_placement(
        self,
        packet: FlowPacket,
        tried: tuple[int, ...],
        started_at: float,
        now: float,
    ) -> list[Action]:
        route = self.view.route(packet.destination)
        if route is None:
            return self._refuse(packet, now, "no-route")
        if len(tried) >= MAX_PLACEMENT_ATTEMPTS:
            self.report_dropped(packet.client_key, now, "no more placement attempts")
            return []
        return self._place(packet, route, tried, started_at, now)

    # Timers

    @property
    def deadline(self) -> float:
        """Time of the next call of `tick`."""
        deadlines = [pending.deadline for pending in self.pending_flows.values()]
        deadlines += [search.deadline for search in self.searches.searches.values()]
        return min(deadlines, default=self.next_sweep_at)

    def tick(self, now: float) -> list[Action]:
        """Run the timers that expired and return the actions to perform."""
        actions = self.gossip.tick(now)
        for key in [
            key
            for key, pending in self.pending_flows.items()
            if pending.deadline <= now
        ]:
            actions += self._handle_confirmation_timeout(key, now)
        for key in self.searches.due_keys(now):
            actions += self._end_round(key, now)
        if self.next_sweep_at <= now:
            self.next_sweep_at = now + SWEEP_PERIOD_S
            self.update_zones(now)
            self.flows.expire(now, self.idle_timeout_s)
            self.sink.gauge(FLOWS, len(self.flows))
        return actions

    def _handle_confirmation_timeout(self, key: bytes, now: float) -> list[Action]:
        pending = self.pending_flows.pop(key)
        # Without this sample, the estimate would never rise above the timeout.
        self.confirmation.record(now - pending.sent_at)
        self.suspects[pending.host] = now + SUSPECT_S
        self.report(
            AGENT_SILENT,
            key,
            now,
            target=format_ipv4(pending.host),
            waited_ms=round((now - pending.sent_at) * 1000),
        )
        tried = (*pending.tried, pending.host)
        return self._retry_placement(pending.packet, tried, pending.started_at, now)
