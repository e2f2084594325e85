"""Sans-I/O packet processing of the agent beside a target."""

from dataclasses import replace
from math import inf

from balsamtide.flows.events import (
    FLOW_ANSWERED,
    FLOW_LOST,
    FLOW_RETURNED,
    TARGET_SILENT,
    TARGET_SPEAKS,
)
from balsamtide.flows.local_flows import LocalFlow
from balsamtide.flows.metrics import (
    ANSWER_SECONDS,
    FLOW_DECISIONS,
    FLOWS,
    HANDSHAKE_SECONDS,
    PACKETS,
    PACKETS_REJECTED,
)
from balsamtide.flows.new_flows import (
    PROBE_PERIOD_S,
    QUEUE_CHECK_PERIOD_S,
    NewFlowProcessor,
)
from balsamtide.flows.packet import (
    SEQUENCE_MODULUS,
    FlowPacket,
    FlowPacketError,
)
from balsamtide.protocol.flow_actions import Action, SendFrame, ToClient
from balsamtide.protocol.flow_frames import (
    Carry,
    Digest,
    Disowned,
    DisownReason,
    Frame,
    Leaving,
    Locate,
    Located,
    MarkedLeaving,
    Ownership,
    Taken,
)
from balsamtide.protocol.view_frames import PullRequest, ViewPiece

__all__ = ["FlowAgent"]

# Period of the removal of expired flows; a small fraction of any idle timeout.
SWEEP_PERIOD_S = 1.0
# Processes that did not get an announced return answer the next digest.
RETURN_PERIOD_S = 0.5
# How long a returned packet proves that the target does not have the flow, so that
# retransmissions of the client are not tried again.  A new flow with the same key
# starts with a SYN.
RETURNED_VALID_S = 3.0


class FlowAgent(NewFlowProcessor):
    """Delivers packets to its target and sends replies of the target to clients.

    The parameters are those of `AgentState`.
    """

    # Frames

    def receive_frame(self, frame: Frame, source: int, now: float) -> list[Action]:
        """Process a frame of another process and return the actions to perform."""
        match frame:
            case Carry():
                return self._handle_carry(frame, source, now)
            case Locate():
                return self._handle_locate(frame, source, now)
            case Leaving():
                return self.handle_leaving(frame, source, now)
            case MarkedLeaving():
                return self._announce_return(now)
            case Digest() | PullRequest() | ViewPiece():
                return self.handle_gossip(frame, source, now)
        self.sink.count(PACKETS_REJECTED, kind="frame")
        return []

    def _handle_carry(self, carry: Carry, source: int, now: float) -> list[Action]:
        try:
            packet = self.packets.decode(carry.packet)
        except FlowPacketError:
            self.sink.count(PACKETS_REJECTED, kind="packet")
            return []
        if packet.is_opening:
            return self._handle_syn(packet, carry, now)
        return self._handle_packet(packet, carry, now)

    def _handle_locate(self, locate: Locate, source: int, now: float) -> list[Action]:
        flow = self._known_flow(locate.key, now)
        ownership = Ownership.NO
        if flow is not None and not flow.is_unconfirmed:
            if flow.acknowledges_target(locate.acknowledgement):
                ownership = Ownership.OWNS
        elif not self._is_known_absent(locate.key, now):
            ownership = Ownership.MAYBE
        return [SendFrame(source, Located(locate.key, ownership))]

    def _announce_return(self, now: float) -> list[Action]:
        """Tell all processes that this one takes new flows, unless it is stopping."""
        if self.is_stopping or now < self.next_return_at:
            return []
        self.next_return_at = now + RETURN_PERIOD_S
        return self.announce_leaving(0.0, now)

    # Packets of open flows

    def _handle_packet(
        self, packet: FlowPacket, carry: Carry, now: float
    ) -> list[Action]:
        key = packet.client_key
        flow = self._known_flow(key, now)
        if flow is None:
            return self._handle_unknown(packet, carry, now)
        if packet.is_ack and not flow.acknowledges_target(packet.acknowledgement):
            return self._disown(packet, carry, DisownReason.OTHER_HANDSHAKE, now)
        flow.last_balancer = carry.origin
        flow.client_zone = carry.client_zone
        self.flows.touch(flow, now)
        if flow.target_isn is not None:
            flow.is_open = True
        flow.has_client_fin = flow.has_client_fin or packet.is_fin
        if packet.is_reset:
            self.flows.drop(key)
        elif packet.length and flow.record_received(packet.sequence, packet.length):
            self._track_request(flow, packet, now)
        return [self._send_to_target(packet.raw)]

    def _track_request(self, flow: LocalFlow, packet: FlowPacket, now: float) -> None:
        if packet.is_full:
            self.flows.release_slot(flow)
        else:
            # The request is complete.  A FIN can't tell, since a client sends it
            # together with its last request.
            if flow.request_received_at == 0.0:
                self._charge_request(flow, now)
            self.flows.begin_request(flow, now)
            self._record_demand(now)

    def _charge_request(self, flow: LocalFlow, now: float) -> None:
        """Charge a request to its class, unless it was charged with the SYN."""
        fair_share = self._enabled_fair_share()
        if fair_share is not None and not flow.is_charged:
            flow_class = self._flow_class(flow)
            fair_share.record_start(flow_class, now, is_on_open_flow=True)
        flow.is_charged = False

    def _handle_unknown(
        self, packet: FlowPacket, carry: Carry, now: float
    ) -> list[Action]:
        """Handle a packet whose flow is not in the table."""
        key = packet.client_key
        forwarded = self.forwarded.get(key)
        if forwarded is not None and now < forwarded.expires_at:
            return [SendFrame(forwarded.host, carry)]
        if self._is_known_absent(key, now) or carry.service != self.service_tag:
            return self._disown(packet, carry, DisownReason.NOT_HERE, now)
        self._new_flow(
            key,
            carry.origin,
            now,
            is_unconfirmed=True,
            is_sent_tentatively=carry.is_tentative,
        )
        return [self._send_to_target(packet.raw)]

    # Packets of the target

    def receive_from_target(self, data: bytes, now: float) -> list[Action]:
        """Process a packet of the target and return the actions to perform."""
        try:
            packet = self.packets.decode(data)
        except FlowPacketError:
            self.sink.count(PACKETS_REJECTED, kind="packet")
            return []
        self._record_target_activity(now)
        if packet.is_returned:
            return self._handle_returned(packet, now)
        confirmation = self._track_answer(packet, now)
        self.sink.count(PACKETS, direction="to-client")
        admitted = self._admit_queued(now)
        return [ToClient(packet.destination[0], data), *confirmation, *admitted]

    def _record_target_activity(self, now: float) -> None:
        self.last_packet_at = now
        if self.unresponsive_since < inf:
            silent_ms = round((now - self.unresponsive_since) * 1000)
            self.unresponsive_since = inf
            self.sink.event(TARGET_SPEAKS, silent_ms=silent_ms)
            self._assume_cold("silent", now)

    def _track_answer(self, packet: FlowPacket, now: float) -> list[Action]:
        """Update the flow of a target's packet; return a confirmation if one is due.

        It is due if the flow was unconfirmed until now; the balancer that sent the last
        packet of its client gets it.
        """
        key = packet.target_key
        flow = self._known_flow(key, now)
        if flow is None:
            # The flow was opened before this process started, or its SYN was forwarded
            # because the target was silent.
            flow = self._new_flow(key, 0, now, is_open=not packet.is_syn)
        elif not flow.is_sent_by_target(packet):
            self._count_late()
            return []
        was_unconfirmed, flow.is_unconfirmed = flow.is_unconfirmed, False
        if was_unconfirmed and not packet.is_syn:
            # The target knows the flow, and no handshake passed this process.
            flow.is_open = True
        self.flows.touch(flow, now)
        flow.record_sent(packet.sequence, packet.length)
        is_position_unknown = flow.client_isn is None and flow.next_sequence is None
        if is_position_unknown and packet.is_ack and not packet.is_syn:
            # The target expects this next; the client has not shown it yet.
            flow.next_sequence = packet.acknowledgement
        flow.has_target_fin = flow.has_target_fin or packet.is_fin
        if packet.is_syn:
            self._handle_syn_ack(flow, packet, now)
        elif packet.length or packet.is_fin:
            # Packets of an answer may be reordered, so that the FIN arrives first.
            self._finish_request(flow, now)
        if packet.is_reset:
            fair_share = self._enabled_fair_share()
            if fair_share is not None and flow.request_received_at > 0.0:
                fair_share.record_rejection(self._flow_class(flow), now)
            self.flows.drop(key)
        if was_unconfirmed and flow.last_balancer:
            return [SendFrame(flow.last_balancer, Taken(key, self.load(now)))]
        return []

    def _handle_syn_ack(self, flow: LocalFlow, packet: FlowPacket, now: float) -> None:
        if self.pending_handshakes.pop(flow.key, None) is not None:
            self.sink.observe(HANDSHAKE_SECONDS, now - flow.delivered_at)
        if flow.is_open and flow.target_isn is None:
            # A repeated SYN-ACK of a flow that is older than this process.  How much
            # the target has sent since is unknown.
            return
        if flow.target_isn != packet.sequence:
            flow.target_isn = packet.sequence
            flow.target_end = 0
        if flow.client_isn is None:
            # A SYN-ACK acknowledges the SYN, which consumes one sequence number.
            flow.client_isn = (packet.acknowledgement - 1) % SEQUENCE_MODULUS
        self._drop_answered(flow, now)

    def _drop_answered(self, flow: LocalFlow, now: float) -> None:
        """Remove a queued retransmission of a SYN that the target has answered."""
        queued = self.queue.get(flow.key)
        if queued is None or not queued.was_delivered:
            return
        if queued.packet.sequence == flow.client_isn:
            self.queue.drop(flow.key)
            self._record_demand(now)
            flow.last_balancer = queued.carry.origin
            flow.client_zone = queued.carry.client_zone

    def _finish_request(self, flow: LocalFlow, now: float) -> None:
        took_s = self.flows.end_request(flow, now, assumed_s=self._service_time_s())
        self._record_demand(now)
        if took_s is None:
            return
        self.sink.observe(ANSWER_SECONDS, took_s)
        fair_share = self._enabled_fair_share()
        if fair_share is not None:
            route = self._flow_class(flow).route
            fair_share.record_end(route, took_s, now, busy_before=flow.busy_before)
        self.report(
            FLOW_ANSWERED,
            flow.key,
            now,
            open_ms=round((now - took_s - flow.delivered_at) * 1000),
            answer_ms=round(took_s * 1000, 1),
            busy=flow.busy_before,
        )

    def _handle_returned(self, packet: FlowPacket, now: float) -> list[Action]:
        key = packet.client_key
        flow = self._known_flow(key, now)
        if flow is not None and flow.is_unconfirmed:
            return self._handle_returned_unconfirmed(packet, flow, now)
        if flow is not None and not flow.is_sent_by_client(packet):
            self._count_late()
            return []
        self.report(FLOW_RETURNED, key, now, is_opening=packet.is_opening)
        if packet.is_opening:
            return self._handle_returned_syn(packet, now)
        if flow is None:
            return []
        self.flows.drop(key)
        has_fin = flow.has_client_fin or flow.has_target_fin
        if flow.is_open and not has_fin and not packet.is_reset:
            self._assume_cold("returned", now)
        if flow.is_open and flow.target_isn is not None and not packet.is_reset:
            self.report(FLOW_LOST, key, now)
            return [ToClient(packet.source[0], self.packets.reset(packet))]
        return []

    def _count_late(self) -> None:
        """Count a packet of an earlier flow whose client uses its port again."""
        self.sink.count(FLOW_DECISIONS, outcome="late-packet")

    def _handle_returned_unconfirmed(
        self, packet: FlowPacket, flow: LocalFlow, now: float
    ) -> list[Action]:
        """Hand back a packet of an unconfirmed flow; the balancer logs the outcome."""
        self.sink.count(FLOW_DECISIONS, outcome=FLOW_RETURNED.name)
        self.flows.drop(flow.key)
        self.absent_until[flow.key] = now + RETURNED_VALID_S
        reason = (
            DisownReason.RETURNED if flow.is_sent_tentatively else DisownReason.NOT_HERE
        )
        raw = self.packets.restore_returned(packet.raw)
        return [SendFrame(flow.last_balancer, Disowned(reason, raw))]

    def _handle_returned_syn(self, packet: FlowPacket, now: float) -> list[Action]:
        handshake = self.pending_handshakes.pop(packet.client_key, None)
        if handshake is None:
            return []
        raw = self.packets.restore_returned(packet.raw)
        carry = replace(
            handshake.carry, packet=raw, elapsed_s=self._elapsed(handshake, now)
        )
        return self._forward_to_peer(self.packets.decode(raw), carry, "returned", now)

    # Timers

    @property
    def deadline(self) -> float:
        """Time of the next call of `tick`."""
        deadlines = (
            handshake.deadline for handshake in self.pending_handshakes.values()
        )
        return min(self.next_queue_check_at, min(deadlines, default=self.next_sweep_at))

    def tick(self, now: float) -> list[Action]:
        """Run the timers that expired and return the actions to perform."""
        self._detect_suspension(now)
        self.last_tick_at = now
        actions = self.gossip.tick(now)
        for key in [
            key
            for key, handshake in self.pending_handshakes.items()
            if handshake.deadline <= now
        ]:
            actions += self._handle_handshake_timeout(key, now)
        if self.next_queue_check_at <= now:
            actions += self._admit_queued(now) + self._refuse_hopeless(now)
            self.next_queue_check_at = now + QUEUE_CHECK_PERIOD_S if self.queue else inf
        if self.next_sweep_at <= now:
            self.next_sweep_at = now + SWEEP_PERIOD_S
            self.update_zones(now)
            self.flows.expire(now, self.idle_timeout_s)
            # Work may end without an answer: slots expire, queued flows move.
            self.flows.busy(now)
            self._record_demand(now)
            self.forwarded = {
                key: forwarded
                for key, forwarded in self.forwarded.items()
                if now < forwarded.expires_at
            }
            self.absent_until = {
                key: until for key, until in self.absent_until.items() if now < until
            }
            self.sink.gauge(FLOWS, len(self.flows))
        return actions

    def _handle_handshake_timeout(self, key: bytes, now: float) -> list[Action]:
        handshake = self.pending_handshakes.pop(key)
        if self.last_packet_at > handshake.delivered_at:
            # The target responds, so a packet was lost; the client retransmits it.
            return []
        waited_ms = round((now - handshake.delivered_at) * 1000)
        if self.unresponsive_since == inf:
            self.unresponsive_since = handshake.delivered_at
            self.next_probe_at = now + PROBE_PERIOD_S
        self.report(TARGET_SILENT, key, now, waited_ms=waited_ms)
        packet = self.packets.decode(handshake.carry.packet)
        carry = replace(handshake.carry, elapsed_s=self._elapsed(handshake, now))
        return self._forward_to_peer(packet, carry, "silent", now)
