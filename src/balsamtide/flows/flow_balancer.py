"""Decisions of a balancer that carries raw packets, without I/O."""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from balsamtide.fleet.sharing import ViewSharing
from balsamtide.fleet.view import FlowRoute, FlowTarget
from balsamtide.flows.confirmation import ConfirmationTimer
from balsamtide.flows.events import (
    AGENT_SILENT,
    FLOW_PLACED,
)
from balsamtide.flows.flow_cache import CachedFlow
from balsamtide.flows.metrics import FLOWS, PACKETS_REJECTED
from balsamtide.flows.open_flows import OpenFlows
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
from balsamtide.telemetry.sink import Sink
from balsamtide.transport.addresses import format_ipv4

__all__ = ["FlowBalancer"]

# Placements of one opening packet before it is left to its copies.
MAX_PLACEMENTS = 3
# An agent that did not confirm gets no new flows for so long, or until it speaks.
SUSPECT_S = 1.0
# Packets kept right after the start or an outage of the store; a client's opening
# packet is of use for 1.4 s at most.
MAX_EARLY_PACKETS = 1024
EARLY_TIMEOUT_S = 1.0
# Seconds between two looks for forgotten flows, a small part of any idle timeout.
SWEEP_PERIOD_S = 1.0


@dataclass(slots=True)
class Opening:
    """A new flow whose agent did not confirm yet.

    Parameters
    ----------
    packet : FlowPacket
        The opening packet.
    host : int
        Agent that it was sent to.
    tried : tuple of int
        Agents before.
    started_at : float
        When the packet came.
    sent_at : float
        When it was sent to this agent.
    deadline : float
        When the agent counts as silent.
    """

    packet: FlowPacket
    host: int
    tried: tuple[int, ...]
    started_at: float
    sent_at: float
    deadline: float


class FlowBalancer(OpenFlows):
    """Sends clients' packets to the agents beside the targets.

    Parameters
    ----------
    host : int
        This instance.
    packets : PacketCodec
        The platform's packets.
    sharing : ViewSharing
        The view of routes and targets.
    placement : PlacementPolicy
        Chooses targets for new flows.
    sink : Sink
        Where decisions are reported.
    """

    def __init__(
        self,
        *,
        host: int,
        packets: PacketCodec,
        sharing: ViewSharing,
        placement: PlacementPolicy,
        sink: Sink,
    ) -> None:
        super().__init__(host=host, packets=packets, sharing=sharing, sink=sink)
        self.placement = placement
        self.openings: dict[bytes, Opening] = {}
        self.confirmation = ConfirmationTimer()
        self.suspects: dict[int, float] = {}
        self.early: list[tuple[float, bytes]] = []
        self.sweep_at = 0.0

    # Packets of clients

    def receive_packet(self, data: bytes, now: float) -> list[Action]:
        """Take a client's packet."""
        if self.view.revision < 0:
            return self._keep_early(data, now)
        try:
            packet = self.packets.decode(data)
        except FlowPacketError:
            self.sink.count(PACKETS_REJECTED, kind="packet")
            return []
        if packet.is_opening:
            return self._open(packet, now)
        return self._carry_on(packet, now)

    def _keep_early(self, data: bytes, now: float) -> list[Action]:
        """Keep a packet until there is a view that helps."""
        if len(self.early) < MAX_EARLY_PACKETS:
            self.early.append((now, data))
        return []

    def take_early(self, now: float) -> list[Action]:
        """Handle the packets that came before a view that helps."""
        early, self.early = self.early, []
        actions: list[Action] = []
        for came_at, data in early:
            if now < came_at + EARLY_TIMEOUT_S:
                actions += self.receive_packet(data, now)
        return actions

    def _open(self, packet: FlowPacket, now: float) -> list[Action]:
        key = packet.client_key
        known = self.flows.get(key, now, self.view.configuration.idle_timeout_s)
        if known is not None and self._keeps_host(known, now):
            # The agent confirms copies as well, so that its loss is noticed.
            self.openings.setdefault(
                key, self._opening(packet, known.host, (), now, now)
            )
            return [self._carry(packet, known, must_take=True)]
        route = self.view.route(packet.destination)
        if route is None:
            return self._refuse(packet, now, "no-route")
        return self._place(packet, route, (), now, now)

    def _keeps_host(self, flow: CachedFlow, now: float) -> bool:
        """Whether a copy of an opening packet goes where the first one went."""
        return now >= self.suspects.get(flow.host, -inf)

    def _place(
        self,
        packet: FlowPacket,
        route: FlowRoute,
        tried: tuple[int, ...],
        started_at: float,
        now: float,
    ) -> list[Action]:
        key = packet.client_key
        service = route.service_for(key)
        candidates = self._candidates(service, tried, now)
        if not candidates:
            return self._wait_or_refuse(packet, now)
        target = self.placement.choose(key, candidates, now)
        self.placement.note_placed(target, now)
        flow = CachedFlow(
            target.host,
            service_tag(service),
            now + self.view.configuration.idle_timeout_s,
        )
        self.flows.put(key, flow)
        self.openings[key] = self._opening(packet, target.host, tried, started_at, now)
        self.report(
            FLOW_PLACED,
            key,
            now,
            service=service,
            target=str(target),
            copies=packet.acknowledgement,
            candidates=len(candidates),
            tries=len(tried),
        )
        return [self._carry(packet, flow, elapsed_s=now - started_at)]

    def _opening(
        self,
        packet: FlowPacket,
        host: int,
        tried: tuple[int, ...],
        started_at: float,
        now: float,
    ) -> Opening:
        deadline = now + self.confirmation.timeout_s
        return Opening(packet, host, tried, started_at, now, deadline)

    def _candidates(
        self, service: str, tried: Iterable[int], now: float
    ) -> list[FlowTarget]:
        """Return targets for a new flow, suspects only where there is no other."""
        targets = self.open_targets(service, now, without=tried)
        trusted = [t for t in targets if now >= self.suspects.get(t.host, now)]
        return trusted or targets

    def _wait_or_refuse(self, packet: FlowPacket, now: float) -> list[Action]:
        """Keep an opening while targets may come back, else refuse it."""
        if now < self.view.settles_at:
            return self._keep_early(packet.raw, now)
        return self._refuse(packet, now, "no-target")

    def _refuse(self, packet: FlowPacket, now: float, reason: str) -> list[Action]:
        """Reset a new flow, or drop its packet where the view may be old."""
        key = packet.client_key
        if not self.sharing.is_fresh(now):
            self.report_dropped(key, now, f"{reason}, the view is old")
            return []
        self.report_refused(key, now, reason)
        return [ToClient(packet.source[0], self.packets.reset(packet))]

    # Frames of agents

    def receive_frame(self, frame: Frame, source: int, now: float) -> list[Action]:
        """Take a frame of another process."""
        self.suspects.pop(source, None)
        match frame:
            case Taken():
                return self._take_taken(frame, source, now)
            case Located():
                return self._take_located(frame, source, now)
            case Disowned():
                return self._take_disowned(frame, source, now)
            case Refused():
                return self._take_refused(frame, source)
            case Leaving():
                return self.take_leaving(frame, source, now)
            case Digest():
                return self.sharing.receive(frame, source, now)
        self.sink.count(PACKETS_REJECTED, kind="frame")
        return []

    def _take_taken(self, frame: Taken, source: int, now: float) -> list[Action]:
        self.placement.note_load(source, frame.load, now)
        opening = self.openings.pop(frame.key, None)
        if opening is not None:
            self.confirmation.note(now - opening.sent_at)
        search = self.searches.get(frame.key)
        if search is not None:
            return self._found(frame.key, source, now, is_sent=search.is_offered)
        flow = self.flows.get(frame.key, now, self.view.configuration.idle_timeout_s)
        if flow is None:
            return []
        if opening is not None or not flow.is_confirmed:
            flow.host = source
        flow.is_confirmed = True
        return []

    def _take_refused(self, frame: Refused, source: int) -> list[Action]:
        """Forget a flow, unless another agent has it and refused a copy."""
        self.openings.pop(frame.key, None)
        flow = self.flows.flows.get(frame.key)
        if flow is not None and (flow.host == source or not flow.is_confirmed):
            self.flows.drop(frame.key)
        return []

    def _take_disowned(self, frame: Disowned, source: int, now: float) -> list[Action]:
        try:
            packet = self.packets.decode(frame.packet)
        except FlowPacketError:
            self.sink.count(PACKETS_REJECTED, kind="packet")
            return []
        key = packet.client_key
        flow = self.flows.get(key, now, self.view.configuration.idle_timeout_s)
        if flow is not None and flow.host == source:
            self.flows.drop(key)
        if packet.is_opening:
            return self._replace_opening(packet, source, now)
        search = self.searches.get(key)
        if frame.reason is DisownReason.RETURNED:
            if search is None or not search.is_offered:
                return []
            search.offered.discard(source)
            return [] if search.offered else self._not_found(key, now)
        if search is not None:
            search.hold(packet.raw)
            return []
        return self._search(packet, now, without=(source,))

    def _replace_opening(
        self, packet: FlowPacket, source: int, now: float
    ) -> list[Action]:
        """Place an opening packet again that an agent handed back."""
        opening = self.openings.pop(packet.client_key, None)
        tried = (*(opening.tried if opening else ()), source)
        started_at = opening.started_at if opening else now
        return self._place_again(packet, tried, started_at, now)

    def _place_again(
        self,
        packet: FlowPacket,
        tried: tuple[int, ...],
        started_at: float,
        now: float,
    ) -> list[Action]:
        route = self.view.route(packet.destination)
        if route is None:
            return self._refuse(packet, now, "no-route")
        if len(tried) >= MAX_PLACEMENTS:
            self.report_dropped(packet.client_key, now, "tried too often")
            return []
        return self._place(packet, route, tried, started_at, now)

    # Time

    @property
    def deadline(self) -> float:
        """When `tick` has something to do."""
        deadlines = [opening.deadline for opening in self.openings.values()]
        deadlines += [s.deadline for s in self.searches.searches.values()]
        return min(deadlines, default=self.sweep_at)

    def tick(self, now: float) -> list[Action]:
        """Do what is due."""
        actions = self.sharing.tick(now)
        for key in [k for k, o in self.openings.items() if o.deadline <= now]:
            actions += self._opening_overdue(key, now)
        for key in self.searches.due(now):
            actions += self._end_round(key, now)
        if self.sweep_at <= now:
            self.sweep_at = now + SWEEP_PERIOD_S
            self.flows.expire(now)
            self.sink.gauge(FLOWS, len(self.flows))
        return actions

    def _opening_overdue(self, key: bytes, now: float) -> list[Action]:
        opening = self.openings.pop(key)
        # The time so far counts, else slow confirmations would never be seen.
        self.confirmation.note(now - opening.sent_at)
        self.suspects[opening.host] = now + SUSPECT_S
        self.report(
            AGENT_SILENT,
            key,
            now,
            target=format_ipv4(opening.host),
            waited_ms=round((now - opening.sent_at) * 1000),
        )
        tried = (*opening.tried, opening.host)
        return self._place_again(opening.packet, tried, opening.started_at, now)
