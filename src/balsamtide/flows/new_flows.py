"""New flows at an agent: delivery, waiting, search for a slot, refusal."""

from dataclasses import replace
from math import inf

from balsamtide.flows.agent_state import AgentState, Handshake, PassedFlow
from balsamtide.flows.events import (
    FLOW_DISOWNED,
    FLOW_PASSED_ON,
    FLOW_TAKEN,
    FLOW_WAITS,
)
from balsamtide.flows.local_flows import LocalFlow
from balsamtide.flows.metrics import HOPS
from balsamtide.flows.packet import FlowPacket
from balsamtide.flows.spillover import (
    Pass,
    Refuse,
    Situation,
    Take,
)
from balsamtide.flows.waiting import Waiting
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

__all__ = ["NewFlows"]

# A silent target gets one new flow in this time, to see whether it speaks again.
PROBE_PERIOD_S = 0.5
# How long packets of a flow that was passed on follow it: the time of its opening.
PASSED_LEASE_S = 2.0
# Time limit of requests whose route is not known here, some times a usual answer.
DEFAULT_TIMEOUT_S = 1.0
# A client gives up an opening 1.4 s after it first sent it; the handshake needs a rest.
HANDSHAKE_PATIENCE_S = 1.3
# Way of the handshake and of the request to the target.
OPENING_TIME_S = 0.005
# Share of a request's time limit after which starting it is of no use.
USEFUL_SHARE = 0.9
# How often waiting openings are looked at when nothing else happens.
QUEUE_PERIOD_S = 0.02


class NewFlows(AgentState):
    """Takes new flows, lets them wait, passes them on or refuses them."""

    def _take_opening(
        self, packet: FlowPacket, carry: Carry, now: float
    ) -> list[Action]:
        key = packet.client_key
        flow = self.flows.get(key, now)
        if flow is not None and flow.is_opened_by(packet.sequence):
            return self._take_copy(packet, carry, flow, now)
        if carry.service != self.tag:
            return self._disown(packet, carry, DisownReason.OTHER_SERVICE, now)
        waiting = self.queue.get(key)
        if waiting is not None:
            # A copy of an opening that waits.
            return [SendFrame(carry.origin, Taken(key, self.load(now)))]
        is_back = carry.must_take and self.host in carry.visited
        passed = None if is_back else self.passed.get(key)
        if passed is not None and now < passed.expires_at:
            return [SendFrame(passed.host, replace(carry, must_take=True))]
        stale = self._stale_service(packet, carry, now)
        if stale is not None:
            return stale
        obstacle = self._obstacle(now)
        if obstacle:
            return self._pass_anywhere(packet, carry, obstacle, now)
        if carry.must_take:
            return self._deliver_or_wait(packet, carry, "told to", now)
        return self._spill_over(packet, carry, now)

    def _take_copy(
        self, packet: FlowPacket, carry: Carry, flow: LocalFlow, now: float
    ) -> list[Action]:
        """Take a copy of an opening whose flow is here."""
        taken = SendFrame(carry.origin, Taken(packet.client_key, self.load(now)))
        if flow.is_open and flow.opening_sequence is not None:
            # The client has the handshake; the copy was late.
            return [taken]
        flow.origin = carry.origin
        return [self._to_target(packet.raw), taken]

    def _stale_service(
        self, packet: FlowPacket, carry: Carry, now: float
    ) -> list[Action] | None:
        """Correct a balancer whose configuration is older and says otherwise."""
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
        return self._pass_to(packet, newer, service, "stale", now)

    def _peers(self, service: str, carry: Carry, now: float) -> list[int]:
        met = (*carry.visited, self.host)
        return [t.host for t in self.open_targets(service, now, without=met)]

    def _spill_over(self, packet: FlowPacket, carry: Carry, now: float) -> list[Action]:
        route = self.view.route(packet.destination)
        choice = self.spillover.decide(
            Situation(
                host=self.host,
                busy=self._demand(now),
                capacity=self._capacity(),
                service_time_s=self._service_time_s(),
                peers=self._peers(self.service, carry, now),
                hops=len(carry.visited),
                best_host=carry.best_host,
                best_load=carry.best_load,
                elapsed_s=carry.elapsed_s + packet.age_s,
                timeout_s=route.timeout_s if route else DEFAULT_TIMEOUT_S,
            )
        )
        match choice:
            case Take():
                return self._deliver_or_wait(packet, carry, choice.reason, now)
            case Pass():
                onward = replace(
                    carry,
                    must_take=choice.must_take,
                    best_host=choice.best_host,
                    best_load=choice.best_load,
                )
                return self._pass_on(packet, onward, choice.host, "busy", now)
            case Refuse() if now < self.view.settles_at:
                # Targets that come back soon will take their share.
                return self._deliver_or_wait(packet, carry, "settling", now)
            case Refuse():
                return self._refuse(packet, carry, now, "overload")

    def _deliver_or_wait(
        self, packet: FlowPacket, carry: Carry, reason: str, now: float
    ) -> list[Action]:
        if self._has_room(now):
            return self._deliver_opening(packet, carry, reason, now)
        if self.queue.is_full:
            return self._refuse(packet, carry, now, "overload")
        key = packet.client_key
        waiting = self._waiting(packet, carry, now)
        self.passed.pop(key, None)
        self.queue.add(key, waiting)
        self.queue_at = min(self.queue_at, now + QUEUE_PERIOD_S)
        self.report(
            FLOW_WAITS,
            key,
            now,
            busy=self.flows.busy(now),
            waiting=len(self.queue),
            start_by_ms=round((waiting.start_by - now) * 1000),
            give_up_ms=round((waiting.give_up_at - now) * 1000),
        )
        return [SendFrame(carry.origin, Taken(key, self.load(now)))]

    def _waiting(self, packet: FlowPacket, carry: Carry, now: float) -> Waiting:
        route = self.view.route(packet.destination)
        sent_at = now - carry.elapsed_s - packet.age_s
        timeout_s = route.timeout_s if route else DEFAULT_TIMEOUT_S
        objective_s = route.objective_s if route else DEFAULT_TIMEOUT_S
        needed_s = self._service_time_s() + OPENING_TIME_S
        return Waiting(
            packet=packet,
            carry=carry,
            arrived_at=now,
            start_by=sent_at + objective_s - needed_s,
            give_up_at=sent_at + min(HANDSHAKE_PATIENCE_S, timeout_s * USEFUL_SHARE),
            priority=route.priority if route else 0,
        )

    def _admit_waiting(self, now: float) -> list[Action]:
        """Start the openings that there is room for, and refuse the overdue ones."""
        actions: list[Action] = []
        if not self.queue:
            return actions
        for waiting in self.queue.overdue(now):
            actions += self._refuse(waiting.packet, waiting.carry, now, "overload")
        obstacle = self._obstacle(now)
        if obstacle:
            for waiting in self.queue.take_all():
                carry = waiting.aged_carry(now)
                actions += self._pass_anywhere(waiting.packet, carry, obstacle, now)
        while self._has_room(now):
            chosen = self.queue.next(now)
            if chosen is None:
                break
            carry = chosen.aged_carry(now)
            actions += self._deliver_opening(chosen.packet, carry, "waited", now)
        return actions

    def view_changed(self, now: float) -> list[Action]:
        """Look for a free slot again for what waits, since targets changed."""
        actions: list[Action] = []
        for waiting in self.queue.take_all():
            carry = replace(waiting.aged_carry(now), visited=(), best_host=0)
            actions += self._spill_over(waiting.packet, carry, now)
        return actions

    def _deliver_opening(
        self, packet: FlowPacket, carry: Carry, reason: str, now: float
    ) -> list[Action]:
        key = packet.client_key
        busy = self.flows.busy(now)
        flow = LocalFlow(
            key,
            carry.origin,
            now,
            self._expiry(now),
            opening_sequence=packet.sequence,
        )
        self.flows.add(flow)
        self.passed.pop(key, None)
        self.flows.reserve(flow, now)
        self.handshakes[key] = Handshake(carry, now)
        if self.silent_since < inf:
            self.probe_at = now + PROBE_PERIOD_S
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
            self._to_target(packet.raw),
            SendFrame(carry.origin, Taken(key, self.load(now))),
        ]

    def _pass_anywhere(
        self, packet: FlowPacket, carry: Carry, reason: str, now: float
    ) -> list[Action]:
        return self._pass_to(packet, carry, self.service, reason, now)

    def _pass_to(
        self, packet: FlowPacket, carry: Carry, service: str, reason: str, now: float
    ) -> list[Action]:
        """Pass a new flow to any agent of a service that takes new flows."""
        peers = self._peers(service, carry, now)
        if not peers or len(carry.visited) >= MAX_VISITED:
            return self._refuse(packet, carry, now, "no-target")
        peer = carry.best_host if carry.best_host in peers else peers[0]
        if peer != carry.best_host:
            peer = peers[sum(packet.client_key) % len(peers)]
        return self._pass_on(packet, replace(carry, must_take=False), peer, reason, now)

    def _pass_on(
        self, packet: FlowPacket, carry: Carry, host: int, reason: str, now: float
    ) -> list[Action]:
        key = packet.client_key
        self.flows.drop(key)
        self.handshakes.pop(key, None)
        self.passed[key] = PassedFlow(host, now + PASSED_LEASE_S)
        self.report(
            FLOW_PASSED_ON,
            key,
            now,
            to=format_ipv4(host),
            busy=self.flows.busy(now),
            capacity=self._capacity(),
            reason=reason,
        )
        visited = carry.visited
        if self.host not in visited and len(visited) < MAX_VISITED:
            visited = (*visited, self.host)
        return [SendFrame(host, replace(carry, visited=visited))]

    def _refuse(
        self, packet: FlowPacket, carry: Carry, now: float, reason: str
    ) -> list[Action]:
        """Reset a flow that was never opened."""
        key = packet.client_key
        self.flows.drop(key)
        self.handshakes.pop(key, None)
        if not self.sharing.is_fresh(now):
            self.report_dropped(key, now, f"{reason}, the view is old")
            return []
        self.report_refused(key, now, reason)
        return [
            ToClient(packet.source[0], self.packets.reset(packet)),
            SendFrame(carry.origin, Refused(key)),
        ]

    def _disown(
        self, packet: FlowPacket, carry: Carry, reason: DisownReason, now: float
    ) -> list[Action]:
        self.report(
            FLOW_DISOWNED,
            packet.client_key,
            now,
            reason=reason.name.lower().replace("_", "-"),
        )
        return [SendFrame(carry.origin, Disowned(reason, packet.raw))]
