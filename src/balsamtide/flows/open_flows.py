"""Open flows at a balancer: which agent has them, and the search for those unknown."""

from collections.abc import Iterable

from balsamtide.fleet.sharing import ViewSharing
from balsamtide.fleet.view import FlowRoute
from balsamtide.flows.events import FLOW_FOUND, FLOW_LOST, FLOW_SEARCHED
from balsamtide.flows.flow_cache import CachedFlow, FlowCache
from balsamtide.flows.metrics import PACKETS
from balsamtide.flows.packet import FlowPacket, PacketCodec, format_key
from balsamtide.flows.plane import FlowPlane
from balsamtide.flows.search import SearchBook
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

__all__ = ["OpenFlows"]


class OpenFlows(FlowPlane):
    """Carries packets of open flows to their agents, and asks for agents.

    The parameters are those of `FlowPlane`.
    """

    def __init__(
        self, *, host: int, packets: PacketCodec, sharing: ViewSharing, sink: Sink
    ) -> None:
        super().__init__(host=host, packets=packets, sharing=sharing, sink=sink)
        self.flows = FlowCache()
        self.searches = SearchBook()

    def _carry(
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
            service=flow.service,
            version=self.view.configuration.version,
            packet=packet.raw,
            elapsed_s=elapsed_s,
            must_take=must_take,
            is_tentative=is_tentative,
        )
        return SendFrame(flow.host, frame)

    def _carry_on(self, packet: FlowPacket, now: float) -> list[Action]:
        """Send a packet of an open flow on."""
        key = packet.client_key
        flow = self.flows.get(key, now, self.view.configuration.idle_timeout_s)
        if flow is not None:
            return [self._carry(packet, flow)]
        search = self.searches.get(key)
        if search is not None:
            search.hold(packet.raw)
            return []
        return self._search(packet, now, without=())

    # Search for open flows

    def _search(
        self, packet: FlowPacket, now: float, *, without: Iterable[int]
    ) -> list[Action]:
        key = packet.client_key
        if not self.searches.may_begin(now):
            self.report_dropped(key, now, "too many searches")
            return []
        search = self.searches.begin(key, packet.raw, now)
        search.asked.update(without)
        route = self.view.route(packet.destination)
        hosts = self._hosts_of(route, key) or self._all_hosts()
        return self._ask(key, hosts, packet.acknowledgement, now)

    def _hosts_of(self, route: FlowRoute | None, key: bytes) -> set[int]:
        if route is None:
            return set()
        targets = self.view.by_service.get(route.service_for(key), ())
        return {target.host for target in targets}

    def _all_hosts(self) -> set[int]:
        return {target.host for target in self.view.targets.values()}

    def _ask(
        self, key: bytes, hosts: set[int], acknowledgement: int, now: float
    ) -> list[Action]:
        search = self.searches.searches[key]
        asked = search.ask(hosts, now)
        self.report(FLOW_SEARCHED, key, now, asked=len(asked))
        frame = Locate(key, acknowledgement)
        return [SendFrame(host, frame) for host in sorted(asked)]

    def _end_round(self, key: bytes, now: float) -> list[Action]:
        search = self.searches.searches[key]
        if search.is_offered:
            return self._end_offer(key, now)
        packet = self.packets.decode(search.packets[0])
        search.is_silent = search.is_silent or bool(search.unanswered)
        if not search.is_last_round:
            search.is_last_round = True
            rest = self._all_hosts() - search.asked
            if rest:
                return self._ask(key, rest, packet.acknowledgement, now)
        if not search.uncertain:
            return self._not_found(key, now)
        if len(search.uncertain) == 1 and not search.is_silent:
            # All others deny it.
            return self._found(key, search.uncertain[0], now)
        self.sink.event(FLOW_FOUND, flow=format_key(key), outcome="uncertain")
        return [
            self._carry(
                packet, CachedFlow(host, self._tag_of(host), now), is_tentative=True
            )
            for host in search.offer(now)
        ]

    def _end_offer(self, key: bytes, now: float) -> list[Action]:
        """End a search whose packets some targets took without an answer."""
        search = self.searches.searches[key]
        if len(search.offered) == 1:
            # All other targets returned them.
            return self._found(key, next(iter(search.offered)), now, is_sent=True)
        search.is_silent = True
        return self._not_found(key, now)

    def _not_found(self, key: bytes, now: float) -> list[Action]:
        """Reset a flow that every agent and target says it does not hold."""
        search = self.searches.end(key)
        if search is None:
            return []
        packet = self.packets.decode(search.packets[0])
        self.sink.event(FLOW_FOUND, flow=format_key(key), outcome="unknown")
        # Right after an outage of the store not every target is listed.
        is_settled = self.sharing.is_settled(now) and self.sharing.is_fresh(now)
        is_denied = bool(search.asked) and not search.is_silent
        if not is_settled or not is_denied or not packet.length:
            self.report_dropped(key, now, "no agent knows the flow")
            return []
        self.report(FLOW_LOST, key, now)
        return [ToClient(packet.source[0], self.packets.reset(packet))]

    def _tag_of(self, host: int) -> int:
        target = self.view.by_host.get(host)
        return service_tag(target.service) if target else 0

    def _take_located(self, frame: Located, source: int, now: float) -> list[Action]:
        search = self.searches.get(frame.key)
        if search is None or search.is_offered:
            return []
        if frame.ownership is Ownership.OWNS:
            return self._found(frame.key, source, now)
        search.take(source, frame.ownership)
        return [] if search.unanswered else self._end_round(frame.key, now)

    def _found(
        self, key: bytes, host: int, now: float, *, is_sent: bool = False
    ) -> list[Action]:
        search = self.searches.end(key)
        flow = CachedFlow(
            host,
            self._tag_of(host),
            now + self.view.configuration.idle_timeout_s,
            is_confirmed=True,
        )
        self.flows.put(key, flow)
        if search is None:
            return []
        self.sink.event(FLOW_FOUND, flow=format_key(key), outcome=format_ipv4(host))
        waiting = search.packets[1:] if is_sent else search.packets
        packets = [self.packets.decode(raw) for raw in waiting]
        return [self._carry(packet, flow) for packet in packets]
