"""New flows at an agent: delivery, queueing, forwarding and refusal."""

from dataclasses import replace
from math import inf
from typing import Any

from balsamtide.flows.agent_state import AgentState, ForwardedFlow, PendingHandshake
from balsamtide.flows.events import (
    FLOW_CLASS_DECIDED,
    FLOW_DISOWNED,
    FLOW_PASSED_ON,
    FLOW_TAKEN,
    FLOW_WAITS,
)
from balsamtide.flows.fair_share import ClassDecision
from balsamtide.flows.flow_queue import FlowClass, QueuedFlow
from balsamtide.flows.local_flows import LocalFlow
from balsamtide.flows.metrics import HOPS, OPENINGS_WITHHELD
from balsamtide.flows.packet import FlowPacket
from balsamtide.flows.spillover import (
    Accept,
    ForwardTo,
    Refuse,
    SpilloverContext,
)
from balsamtide.protocol.flow_actions import Action, SendFrame, ToClient
from balsamtide.protocol.flow_frames import (
    MAX_VISITED,
    Carry,
    Disowned,
    DisownReason,
    Refused,
    Taken,
    service_tag,
)
from balsamtide.transport.addresses import format_ipv4

__all__ = ["NewFlowProcessor"]

# An unresponsive target gets one new flow per period as a probe.
PROBE_PERIOD_S = 0.5
# How long packets of a forwarded flow are forwarded as well: covers its handshake.
FORWARDED_VALID_S = 2.0
# Timeout and latency objective of requests with an unknown route, several times a usual
# answer.
DEFAULT_TIMEOUT_S = 1.0
# Latest delivery after a client's first SYN.  The client gives up after 1.4 s; the
# rest is for the handshake.
MAX_SYN_AGE_S = 1.3
# Network time of the handshake and the request.
HANDSHAKE_TIME_S = 0.005
# Fraction of the request timeout after which starting the request is useless, so that a
# queued flow is refused.  Above MAX_WAIT_RATIO, the limit of the estimate on arrival.
MAX_START_RATIO = 0.9
# Check of the queue while no packets arrive.
QUEUE_CHECK_PERIOD_S = 0.02
# Reasons that are counted, since they keep all SYNs from an available target.
WITHHELD_REASONS = ("evacuated", "suspended")


class NewFlowProcessor(AgentState):
    """Delivers, queues, forwards or refuses new flows."""

    def _handle_syn(self, packet: FlowPacket, carry: Carry, now: float) -> list[Action]:
        if self.view.revision < 0 and self._needs_view():
            self.sink.count(OPENINGS_WITHHELD, reason="no-view")
            return self._disown(packet, carry, DisownReason.NOT_HERE, now)
        key = packet.client_key
        flow = self._known_flow(key, now)
        was_delivered = False
        if flow is not None and flow.is_syn_retransmission(packet.sequence):
            withheld = self._withheld_reason(now) or self._cold_reason(now)
            if not withheld:
                return self._handle_retransmission(packet, carry, flow, now)
            self.sink.count(OPENINGS_WITHHELD, reason=withheld)
            if flow.is_open or flow.target_isn is not None:
                # The target has the flow and may have sent the SYN-ACK.
                return [SendFrame(carry.origin, Taken(key, self.load(now)))]
            was_delivered = True
            self.flows.drop(key)
            self.pending_handshakes.pop(key, None)
        queued = self.queue.get(key)
        if queued is not None and queued.packet.sequence != packet.sequence:
            # The client uses the port of the queued flow again.
            self.queue.drop(key)
            queued = None
        if carry.service != self.service_tag:
            return self._disown(packet, carry, DisownReason.OTHER_SERVICE, now)
        if queued is not None:
            # A retransmission of a queued SYN.  It is confirmed as well, so that the
            # balancer tries no other agent.
            return [SendFrame(carry.origin, Taken(key, self.load(now)))]
        was_sent_back = carry.must_take and self.host in carry.visited
        forwarded = None if was_sent_back else self.forwarded.get(key)
        if (
            forwarded is not None
            and now < forwarded.expires_at
            and forwarded.client_isn == packet.sequence
            # Otherwise that agent has sent it on, and does not have the flow.
            and forwarded.host not in carry.visited
        ):
            # Without this host among the visited ones, an agent that has become
            # unavailable could return the packet, and both would pass it on in turn.
            again = replace(carry, visited=self._visited(carry), must_take=True)
            return [SendFrame(forwarded.host, again)]
        rerouted = self._reroute_stale_service(packet, carry, now)
        if rerouted is not None:
            return rerouted
        unavailable = self._unavailable_reason(now)
        if unavailable:
            if unavailable in WITHHELD_REASONS:
                self.sink.count(OPENINGS_WITHHELD, reason=unavailable)
            return self._forward_to_peer(packet, carry, unavailable, now)
        if carry.must_take:
            actions = self._deliver_or_queue(packet, carry, "told to", now)
        else:
            actions = self._spill_over(packet, carry, now)
        queued = self.queue.get(key)
        if was_delivered and queued is not None:
            queued.was_delivered = True
        return actions

    def _handle_retransmission(
        self, packet: FlowPacket, carry: Carry, flow: LocalFlow, now: float
    ) -> list[Action]:
        """Handle a retransmitted SYN of a flow in the table."""
        taken = SendFrame(carry.origin, Taken(packet.client_key, self.load(now)))
        unavailable = self._unavailable_reason(now)
        if flow.is_open and (flow.client_isn is not None or unavailable):
            # The client has the SYN-ACK; the retransmission was delayed.
            return [taken]
        if flow.target_isn is None and unavailable:
            # The flow would only be opened by this SYN.
            return self._forward_to_peer(packet, carry, unavailable, now)
        flow.last_balancer = carry.origin
        return [self._send_syn(packet.raw, now), taken]

    def _reroute_stale_service(
        self, packet: FlowPacket, carry: Carry, now: float
    ) -> list[Action] | None:
        """Reroute a SYN that a balancer routed by an older configuration."""
        if self.view.configuration.version <= carry.version:
            return None
        route = self.view.route(packet.destination)
        if route is None:
            return self._refuse(packet, carry, now, "no-route")
        service = route.service_for(packet.client_key)
        if service == self.service:
            return None
        newer = replace(
            carry,
            service=service_tag(service),
            version=self.view.configuration.version,
        )
        return self._forward_to_service(packet, newer, service, "stale", now)

    def _peers(self, service: str, key: bytes, carry: Carry, now: float) -> list[int]:
        excluded = (*carry.visited, self.host)
        targets = self.available_targets(service, now, without=excluded, key=key)
        return [t.host for t in targets]

    def _nearest_peers(self, key: bytes, carry: Carry, now: float) -> list[int]:
        """Return the flow's available home targets, or all peers if there are none."""
        excluded = (*carry.visited, self.host)
        homes = self.available_homes(self.service, key, now, without=excluded)
        return [t.host for t in homes] or self._peers(self.service, key, carry, now)

    def _cold_reason(self, now: float) -> str:
        """Return "cold" while the target is too cold for a SYN, else nothing."""
        return "cold" if self._warm_up_wait_s(now) > 0.0 else ""

    def _spill_over(self, packet: FlowPacket, carry: Carry, now: float) -> list[Action]:
        route = self.view.route(packet.destination)
        decision = self.spillover.decide(
            SpilloverContext(
                host=self.host,
                demand=self._demand(now),
                capacity=self._capacity(),
                service_time_s=self._service_time_s(),
                peers=self._nearest_peers(packet.client_key, carry, now),
                hops=len(carry.visited),
                best_host=carry.best_host,
                best_load=carry.best_load,
                elapsed_s=carry.elapsed_s + packet.age_s,
                timeout_s=route.timeout_s if route else DEFAULT_TIMEOUT_S,
                now=now,
            )
        )
        match decision:
            case Accept():
                return self._deliver_or_queue(packet, carry, decision.reason, now)
            case ForwardTo():
                forwarded_carry = replace(
                    carry,
                    must_take=decision.must_take,
                    best_host=decision.best_host,
                    best_load=decision.best_load,
                )
                cold = self._cold_reason(now)
                if cold:
                    self.sink.count(OPENINGS_WITHHELD, reason=cold)
                return self._forward(
                    packet, forwarded_carry, decision.host, cold or "busy", now
                )
            case Refuse() if now < self.view.settles_at:
                # Returning targets will take part of the load.
                return self._deliver_or_queue(
                    packet, carry, "settling", now, is_settling=True
                )
            case Refuse():
                return self._refuse_by_share(packet, carry, now)

    def _deliver_or_queue(
        self,
        packet: FlowPacket,
        carry: Carry,
        reason: str,
        now: float,
        *,
        is_settling: bool = False,
    ) -> list[Action]:
        fair_share = self._enabled_fair_share()
        # Queued flows of other classes may come before a new one.
        has_others = fair_share is not None and len(self.queue) > 0
        if self._may_deliver(now) and not has_others:
            return self._deliver_syn(packet, carry, reason, now)
        if self.queue.is_full:
            return self._refuse_by_share(packet, carry, now)
        queued = self._queued_flow(packet, carry, now)
        if not is_settling and self._starts_too_late(queued, len(self.queue), now):
            return self._refuse(packet, carry, now, "cold")
        actions = self._queue_flow(packet, carry, now)
        if fair_share is None:
            return actions
        return actions + self._admit_queued(now) + self._refuse_hopeless(now)

    def _refuse_by_share(
        self, packet: FlowPacket, carry: Carry, now: float
    ) -> list[Action]:
        """Refuse a new flow, or queue it if the fair shares allow that.

        It is queued if its class is below its minimum share, or in place of a flow of
        the class furthest above its share.
        """
        fair_share = self._enabled_fair_share()
        if fair_share is None:
            return self._refuse(packet, carry, now, "overload")
        newcomer = self._queued_flow(packet, carry, now)
        entries = self.queue.entries
        actions: list[Action] = []
        ahead = len(entries)
        is_too_cold = self._starts_too_late(newcomer, ahead, now)
        must_displace = self.queue.is_full or is_too_cold
        if must_displace or not fair_share.can_start(entries, newcomer, now):
            key = fair_share.choose_displaced(entries, newcomer, now)
            if key is None or self._starts_too_late(newcomer, ahead - 1, now):
                reason = "cold" if is_too_cold else "overload"
                return self._refuse(packet, carry, now, reason)
            actions = self._refuse_queued(key, ClassDecision.OVER_SHARE, now)
        actions += self._queue_flow(packet, carry, now)
        return actions + self._admit_queued(now) + self._refuse_hopeless(now)

    def _starts_too_late(self, queued: QueuedFlow, ahead: int, now: float) -> bool:
        """Whether the cold target gets a SYN behind others after its client gave up."""
        return now + self._warm_up_wait_s(now, ahead) > queued.give_up_at

    def _refuse_queued(
        self, key: bytes, decision: ClassDecision, now: float
    ) -> list[Action]:
        """Refuse a queued flow for the sake of the shares of others."""
        queued = self.queue.entries.pop(key)
        self._report_class(queued, now, refusal=decision)
        return self._refuse(queued.packet, queued.carry, now, decision.value)

    def _report_class(
        self, queued: QueuedFlow, now: float, *, refusal: ClassDecision | None = None
    ) -> None:
        fair_share = self._enabled_fair_share()
        if fair_share is not None:
            fields = fair_share.explain(
                queued, self.queue.entries, now, refusal=refusal
            )
            self.report(FLOW_CLASS_DECIDED, queued.packet.client_key, now, **fields)

    def _queue_flow(self, packet: FlowPacket, carry: Carry, now: float) -> list[Action]:
        key = packet.client_key
        queued = self._queued_flow(packet, carry, now)
        self.forwarded.pop(key, None)
        self.queue.add(key, queued)
        self._record_demand(now)
        self.next_queue_check_at = min(
            self.next_queue_check_at, now + QUEUE_CHECK_PERIOD_S
        )
        self.report(
            FLOW_WAITS,
            key,
            now,
            busy=self.flows.busy(now),
            waiting=len(self.queue),
            start_by_ms=round((queued.start_by - now) * 1000),
            give_up_ms=round((queued.give_up_at - now) * 1000),
        )
        return [SendFrame(carry.origin, Taken(key, self.load(now)))]

    def _queued_flow(self, packet: FlowPacket, carry: Carry, now: float) -> QueuedFlow:
        route = self.view.route(packet.destination)
        sent_at = now - carry.elapsed_s - packet.age_s
        timeout_s = route.timeout_s if route else DEFAULT_TIMEOUT_S
        objective_s = route.objective_s if route else DEFAULT_TIMEOUT_S
        needed_s = self._service_time_s() + HANDSHAKE_TIME_S
        return QueuedFlow(
            packet=packet,
            carry=carry,
            arrived_at=now,
            start_by=sent_at + objective_s - needed_s,
            give_up_at=sent_at + min(MAX_SYN_AGE_S, timeout_s * MAX_START_RATIO),
            priority=route.priority if route else 0,
            flow_class=FlowClass(route.name if route else "", carry.client_zone),
        )

    def _admit_queued(self, now: float) -> list[Action]:
        """Deliver queued flows to free slots and refuse the expired ones."""
        actions: list[Action] = []
        if not self.queue:
            return actions
        for queued in self.queue.pop_expired(now):
            actions += self._refuse(queued.packet, queued.carry, now, "overload")
        unavailable = self._unavailable_reason(now)
        if unavailable:
            for queued in self.queue.pop_all():
                # The agents visited were busy when it arrived, not unavailable.
                carry = replace(queued.updated_carry(now), visited=())
                actions += self._forward_to_peer(queued.packet, carry, unavailable, now)
        while self._may_deliver(now):
            chosen = self.queue.pop_next(now)
            if chosen is None:
                break
            actions += self._deliver_queued(chosen, now)
        return actions + self._admit_by_share(now)

    def _deliver_queued(self, queued: QueuedFlow, now: float) -> list[Action]:
        self._report_class(queued, now)
        carry = queued.updated_carry(now)
        return self._deliver_syn(queued.packet, carry, "waited", now)

    def _admit_by_share(self, now: float) -> list[Action]:
        """Deliver flows of classes below their minimum share."""
        fair_share = self._enabled_fair_share()
        actions: list[Action] = []
        if fair_share is None:
            return actions
        while fair_share.may_overcommit(self.flows.busy(now)) and not self._cold_reason(
            now
        ):
            key = fair_share.choose_guaranteed(self.queue.entries, now)
            if key is None:
                break
            actions += self._deliver_queued(self.queue.entries.pop(key), now)
        return actions

    def _refuse_hopeless(self, now: float) -> list[Action]:
        """Refuse queued flows that can't start before their clients give up.

        It sorts the queue, so that it runs for each flow that is queued and with the
        queue's timer, but not for each packet of the target.
        """
        fair_share = self._enabled_fair_share()
        actions: list[Action] = []
        if fair_share is not None:
            for key in fair_share.hopeless(self.queue.entries, now):
                actions += self._refuse_queued(key, ClassDecision.NO_TIME, now)
        return actions

    def view_changed(self, now: float) -> list[Action]:
        """Move queued flows to targets that the change of the view added."""
        self.update_zones(now)
        actions = self._admit_queued(now) if self._withheld_reason(now) else []
        # A returning zone gets its share by the keys of flows and not at once.
        hosts = frozenset(
            t.host
            for t in self.available_targets(self.service, now)
            if self.evacuation.share(t.zone, t.service, self.view, now) >= 1.0
        )
        before, self.seen_hosts = self.seen_hosts, hosts
        if before is None or not self.queue:
            return actions
        new_hosts = sorted(hosts - before - {self.host})
        for host in self.rebalancing.destinations(
            len(self.queue), new_hosts, len(hosts)
        ):
            queued = self.queue.pop_last(now)
            carry = replace(
                queued.updated_carry(now), visited=(), best_host=0, must_take=False
            )
            actions += self._forward(queued.packet, carry, host, "new target", now)
        return actions

    def _deliver_syn(
        self, packet: FlowPacket, carry: Carry, reason: str, now: float
    ) -> list[Action]:
        key = packet.client_key
        busy = self.flows.busy(now)
        flow = self._new_flow(key, carry.origin, now, client_isn=packet.sequence)
        flow.client_zone = carry.client_zone
        fair_share = self._enabled_fair_share()
        if fair_share is not None:
            flow_class = self._flow_class(flow)
            fair_share.record_start(flow_class, now, is_on_open_flow=False)
            flow.is_charged = True
        self.forwarded.pop(key, None)
        self.flows.reserve(flow, now)
        self.pending_handshakes[key] = PendingHandshake(carry, now)
        if self.unresponsive_since < inf:
            self.next_probe_at = now + PROBE_PERIOD_S
        self.report(
            FLOW_TAKEN,
            key,
            now,
            busy=busy,
            capacity=self._capacity(),
            hops=len(carry.visited),
            elapsed_ms=round(carry.elapsed_s * 1000),
            reason=reason,
        )
        self.sink.count(HOPS, hops=str(len(carry.visited)))
        return [
            self._send_syn(packet.raw, now),
            SendFrame(carry.origin, Taken(key, self.load(now))),
        ]

    def _forward_to_peer(
        self, packet: FlowPacket, carry: Carry, reason: str, now: float
    ) -> list[Action]:
        return self._forward_to_service(packet, carry, self.service, reason, now)

    def _forward_to_service(
        self, packet: FlowPacket, carry: Carry, service: str, reason: str, now: float
    ) -> list[Action]:
        """Forward a new flow to any available agent of a service."""
        peers = self._peers(service, packet.client_key, carry, now)
        if not peers:
            reason = self.no_target_reason(service, now)
            return self._refuse(packet, carry, now, reason)
        if len(carry.visited) >= MAX_VISITED:
            return self._refuse(packet, carry, now, "no-target")
        # The best host if it is available, otherwise a peer by the flow's key: this
        # spreads flows, and retransmissions get the same peer.
        peer = carry.best_host if carry.best_host in peers else peers[0]
        if peer != carry.best_host:
            peer = peers[sum(packet.client_key) % len(peers)]
        return self._forward(packet, replace(carry, must_take=False), peer, reason, now)

    def _forward(
        self, packet: FlowPacket, carry: Carry, host: int, reason: str, now: float
    ) -> list[Action]:
        key = packet.client_key
        self._drop_replaced(packet)
        self.forwarded[key] = ForwardedFlow(
            host, packet.sequence, now + FORWARDED_VALID_S
        )
        self.report(
            FLOW_PASSED_ON,
            key,
            now,
            to=format_ipv4(host),
            busy=self.flows.busy(now),
            capacity=self._capacity(),
            reason=reason,
            **self._describe_load(host, now),
        )
        return [SendFrame(host, replace(carry, visited=self._visited(carry)))]

    def _visited(self, carry: Carry) -> tuple[int, ...]:
        """Return the agents that passed a packet on, with this one."""
        visited = carry.visited
        if self.host in visited or len(visited) >= MAX_VISITED:
            return visited
        return (*visited, self.host)

    def _drop_replaced(self, packet: FlowPacket) -> None:
        """Remove the flow of a SYN that is not delivered, and a closed earlier one.

        An open flow with another sequence number stays: the SYN may be a late one of an
        earlier flow from the same port, and an agent that has forgotten an open flow
        denies it, so that it is reset.
        """
        key = packet.client_key
        flow = self.flows.flows.get(key)
        if flow is None or flow.client_isn == packet.sequence or not flow.is_in_use:
            self.flows.drop(key)
        self.pending_handshakes.pop(key, None)

    def _describe_load(self, host: int, now: float) -> dict[str, Any]:
        """Return what is known of the load of a peer, as fields of an event."""
        target = self.view.by_host.get(host)
        if self.loads is None or target is None:
            return {}
        (expected,) = self.loads.expected((target,), now)
        return self.loads.describe(target, expected, now)

    def _refuse(
        self, packet: FlowPacket, carry: Carry, now: float, reason: str
    ) -> list[Action]:
        """Reset a flow that was never opened, or drop its SYN if the view is old."""
        key = packet.client_key
        self._drop_replaced(packet)
        if not self.gossip.is_fresh(now):
            self.report_dropped(key, now, f"{reason}, view outdated")
            return []
        self.report_refused(key, now, reason)
        return [
            ToClient(packet.source[0], self.packets.reset(packet)),
            SendFrame(carry.origin, Refused(key)),
        ]

    def _disown(
        self, packet: FlowPacket, carry: Carry, reason: DisownReason, now: float
    ) -> list[Action]:
        """Hand a packet back to its balancer, since its flow is not at this target."""
        self.report(
            FLOW_DISOWNED,
            packet.client_key,
            now,
            reason=reason.name.lower().replace("_", "-"),
        )
        return [SendFrame(carry.origin, Disowned(reason, packet.raw))]
