"""Open flows at a balancer: forwarding, and search for unknown flows."""

from collections.abc import Iterable

from balsamtide.fleet.view_gossip import ViewGossip
from balsamtide.flows.evacuation import ZoneEvacuation
from balsamtide.flows.events import FLOW_FOUND, FLOW_LOST, FLOW_SEARCHED
from balsamtide.flows.flow_cache import CachedFlow, FlowCache
from balsamtide.flows.metrics import PACKETS
from balsamtide.flows.packet import FlowPacket, PacketCodec, format_key
from balsamtide.flows.processor import FlowProcessor
from balsamtide.flows.search import (
    GUESS_VALID_S,
    FlowSearch,
    SearchStage,
    SearchTable,
)
from balsamtide.protocol.flow_actions import Action, SendFrame, ToClient
from balsamtide.protocol.flow_frames import (
    Carry,
    Locate,
    Located,
    Ownership,
    service_tag,
)
from balsamtide.telemetry.sink import Sink
from balsamtide.transport.addresses import format_ipv4

__all__ = ["OpenFlowProcessor"]


class OpenFlowProcessor(FlowProcessor):
    """Forwards packets of open flows and searches for the agents of unknown flows.

    The parameters are those of `FlowProcessor`.
    """

    def __init__(
        self,
        *,
        host: int,
        packets: PacketCodec,
        gossip: ViewGossip,
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
        )
        self.client_zone = client_zone
        self.flows = FlowCache()
        self.searches = SearchTable()

    def _send_carry(
        self,
        packet: FlowPacket,
        flow: CachedFlow,
        *,
        elapsed_s: float = 0.0,
        must_take: bool = False,
        is_tentative: bool = False,
    ) -> Action:
        self.sink.count(PACKETS, direction="to-agent")
        frame = Carry(
            origin=self.host,
            service=flow.service_tag,
            version=self.view.configuration.version,
            packet=packet.raw,
            elapsed_s=elapsed_s,
            must_take=must_take,
            is_tentative=is_tentative,
            client_zone=self.client_zone,
        )
        return SendFrame(flow.host, frame)

    def _forward_packet(self, packet: FlowPacket, now: float) -> list[Action]:
        """Forward a packet of an open flow, searching for its agent if unknown."""
        key = packet.client_key
        flow = self.flows.get(key, now, self.idle_timeout_s)
        if flow is not None:
            return [self._send_carry(packet, flow)]
        search = self.searches.get(key)
        if search is not None:
            search.add_packet(packet.raw)
            return []
        return self._search(packet, now, without=())

    # Search for unknown flows

    def _search(
        self, packet: FlowPacket, now: float, *, without: Iterable[int]
    ) -> list[Action]:
        key = packet.client_key
        if not self.searches.may_start(now):
            self.report_dropped(key, now, "too many searches")
            return []
        search = self.searches.start(packet, now)
        search.asked.update(without)
        hosts = self._stage_hosts(search.stage, packet) - search.asked
        if not hosts:
            return self._continue_search(key, now)
        is_later = search.stage is not SearchStage.HOMES
        if is_later and not self._may_continue(hosts, packet, now):
            search.is_incomplete = True
            return self._finish_not_found(key, now)
        return self._query_agents(key, hosts, packet.acknowledgement, now)

    def _may_continue(self, hosts: set[int], packet: FlowPacket, now: float) -> bool:
        has_data = packet.length > 0
        return self.searches.may_continue(len(hosts), now, has_data=has_data)

    def _stage_hosts(self, stage: SearchStage, packet: FlowPacket) -> set[int]:
        """Return the agents to ask in a stage, without a route all of them."""
        route = self.view.route(packet.destination)
        if route is None or stage is SearchStage.FLEET:
            return set(self.view.by_host)
        service = route.service_for(packet.client_key)
        if stage is SearchStage.HOMES:
            targets = self.view.homes(service, packet.client_key)
        elif stage is SearchStage.NEIGHBORS:
            targets = self.view.neighbors(service, packet.client_key)
        else:
            targets = self.view.by_service.get(service, ())
        return {target.host for target in targets}

    def _query_agents(
        self, key: bytes, hosts: set[int], acknowledgement: int, now: float
    ) -> list[Action]:
        search = self.searches.searches[key]
        asked = search.start_round(hosts, now)
        self.report(FLOW_SEARCHED, key, now, asked=len(asked))
        frame = Locate(key, acknowledgement)
        return [SendFrame(host, frame) for host in sorted(asked)]

    def _end_round(self, key: bytes, now: float) -> list[Action]:
        search = self.searches.searches[key]
        if search.was_sent_tentatively:
            return self._end_tentative_delivery(key, now)
        packet = self.packets.decode(search.packets[0])
        if not search.uncertain:
            return self._continue_search(key, now)
        if len(search.uncertain) == 1 and self._has_everyone_answered(search):
            # All other agents answered that they do not have the flow.
            return self._finish_guessed(key, search.uncertain[0], now)
        self.sink.event(FLOW_FOUND, flow=format_key(key), outcome="uncertain")
        return [
            self._send_tentatively(packet, host, now)
            for host in search.start_tentative_delivery(now)
        ]

    def _send_tentatively(self, packet: FlowPacket, host: int, now: float) -> Action:
        # The entry only names host and service; it is not cached.
        flow = CachedFlow(host, self._service_tag(host), now)
        return self._send_carry(packet, flow, is_tentative=True)

    def _has_everyone_answered(self, search: FlowSearch) -> bool:
        return search.is_complete and search.asked.issuperset(self.view.by_host)

    def _continue_search(self, key: bytes, now: float) -> list[Action]:
        """Ask the agents of the next stage, or end the search without a result."""
        search = self.searches.searches[key]
        packet = self.packets.decode(search.packets[0])
        for stage in SearchStage:
            if stage <= search.stage:
                continue
            hosts = self._stage_hosts(stage, packet) - search.asked
            if not hosts:
                continue
            if not self._may_continue(hosts, packet, now):
                search.is_incomplete = True
                break
            search.start_stage(stage)
            return self._query_agents(key, hosts, packet.acknowledgement, now)
        return self._finish_not_found(key, now)

    def _end_tentative_delivery(self, key: bytes, now: float) -> list[Action]:
        """End a delivery whose packet some targets neither answered nor returned."""
        search = self.searches.searches[key]
        if len(search.tentative_hosts) == 1 and self._has_everyone_answered(search):
            # All other agents denied the flow, or their targets returned the packet.
            return self._finish_guessed(key, next(iter(search.tentative_hosts)), now)
        search.is_incomplete = True
        return self._continue_search(key, now)

    def _finish_not_found(self, key: bytes, now: float) -> list[Action]:
        """Reset a flow that certainly no target has, otherwise drop its packet."""
        search = self.searches.end_denied(key)
        if search is None:
            return []
        packet = self.packets.decode(search.packets[0])
        self.sink.event(FLOW_FOUND, flow=format_key(key), outcome="unknown")
        # Right after an outage of the store, not every target is listed.
        is_settled = self.gossip.is_settled(now) and self.gossip.is_fresh(now)
        is_denied = bool(search.asked) and search.is_complete
        if not is_settled or not is_denied or not packet.length:
            self.report_dropped(key, now, "flow not found")
            return []
        self.report(FLOW_LOST, key, now)
        return [ToClient(packet.source[0], self.packets.reset(packet))]

    def _service_tag(self, host: int) -> int:
        target = self.view.by_host.get(host)
        return service_tag(target.service) if target else 0

    def _handle_located(self, frame: Located, source: int, now: float) -> list[Action]:
        search = self.searches.get(frame.key)
        if frame.ownership is Ownership.OWNS:
            known = self.flows.flows.get(frame.key)
            if search is None and known is not None and known.is_confirmed:
                return []
            return self._finish_found(frame.key, source, now)
        if search is None or source not in search.unanswered:
            # Late, or answers an earlier search.
            return []
        search.record_answer(source, frame.ownership)
        if not search.was_sent_tentatively:
            return [] if search.unanswered else self._end_round(frame.key, now)
        if frame.ownership is Ownership.NO:
            return []
        search.tentative_hosts.add(source)
        packet = self.packets.decode(search.packets[0])
        return [self._send_tentatively(packet, source, now)]

    def _finish_found(self, key: bytes, host: int, now: float) -> list[Action]:
        """End a search, or replace its result, since an agent has the flow."""
        flow = CachedFlow(host, self._service_tag(host), now)
        flow.confirm()
        return self._finish_search(key, flow, format_ipv4(host))

    def _finish_guessed(self, key: bytes, host: int, now: float) -> list[Action]:
        """End a search after everyone but one agent denied the flow."""
        flow = CachedFlow(host, self._service_tag(host), now)
        flow.valid_until = now + GUESS_VALID_S
        return self._finish_search(key, flow, f"guess {format_ipv4(host)}")

    def _finish_search(
        self, key: bytes, flow: CachedFlow, outcome: str
    ) -> list[Action]:
        known = self.flows.flows.get(key)
        if known is None or known.client_isn is None:
            # Otherwise a SYN has replaced the flow since the search began.
            self.flows.put(key, flow)
        self.sink.event(FLOW_FOUND, flow=format_key(key), outcome=outcome)
        search = self.searches.end(key)
        if search is None:
            return []
        is_first_sent = search.was_sent_to(flow.host)
        unsent = search.packets[1:] if is_first_sent else search.packets
        packets = [self.packets.decode(raw) for raw in unsent]
        return [self._send_carry(packet, flow) for packet in packets]
