"""Sans-I/O engine of all flows of an agent.

The owner passes in commands and the datagrams that balancers forward, calls ``flush``
after each batch and sends the messages that it returns. Timers are in a heap; outdated
entries are skipped.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from math import inf

from aioquic.h3.connection import H3_ALPN, ErrorCode, ProtocolError
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.configuration import SMALLEST_MAX_DATAGRAM_SIZE, QuicConfiguration
from aioquic.quic.events import (
    ConnectionIdIssued,
    ConnectionIdRetired,
    ConnectionTerminated,
    HandshakeCompleted,
    ProtocolNegotiated,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)

from balsamtide.agent.address_validation import AddressValidation
from balsamtide.agent.connection import (
    STREAM_WINDOW_BYTES,
    AgentH3Connection,
    ResetTokens,
    RoutableConnection,
)
from balsamtide.agent.events import FLOW_FAULTED, FLOW_REFUSED
from balsamtide.agent.flow import Flow
from balsamtide.agent.flow_admission import (
    Accept,
    Drop,
    FlowAdmission,
    FlowLimits,
    ReplyOnly,
    Steer,
)
from balsamtide.agent.flow_events import (
    AnswerWritable,
    BodyReceived,
    FlowClosed,
    FlowEvent,
    RequestCancelled,
    RequestOpened,
    StreamKey,
)
from balsamtide.agent.flow_table import FlowTable
from balsamtide.agent.metrics import (
    DATAGRAMS_DROPPED,
    DATAGRAMS_STEERED,
    FLOWS_CLOSED,
    FLOWS_OPENED,
)
from balsamtide.agent.return_path import BalancerLeases, ReturnPath
from balsamtide.agent.steering import Steering
from balsamtide.protocol.actions import Send
from balsamtide.protocol.connection_id import ConnectionIdCodec, Destination
from balsamtide.protocol.errors import DecodeError
from balsamtide.protocol.messages import Endpoint, Forward, Reply
from balsamtide.protocol.quic_header import (
    PacketHeader,
    PacketKind,
    read_packet_header,
)
from balsamtide.requests.runner import Header
from balsamtide.telemetry.sink import Sink

__all__ = ["FlowEngine", "make_quic_configuration"]

# Unacknowledged bytes of an answer up to which it has room for more.
READY_UNACKED_BYTES = 64 * 1024
IDLE_TIMEOUT_S = 60.0
STATELESS_RESET_BYTES = 41
ERROR_CHARS = 300
# Raised by aioquic on writing to a stream that was reset or finished.
CLOSED_STREAM_ERRORS = (ProtocolError, RuntimeError, ValueError)


def make_quic_configuration() -> QuicConfiguration:
    """Return the QUIC configuration of an agent, without its certificate."""
    return QuicConfiguration(
        is_client=False,
        alpn_protocols=H3_ALPN,
        connection_id_length=17,  # CONNECTION_ID_BYTES
        idle_timeout=IDLE_TIMEOUT_S,
        max_stream_data=STREAM_WINDOW_BYTES,
    )


class FlowEngine:
    """Terminates the flows of callers at one agent.

    Parameters
    ----------
    own_destination : Destination
        Service and target of the agent, encoded in its connection IDs.
    configuration : QuicConfiguration
        QUIC configuration with certificate and key.
    ids : ConnectionIdCodec
        Issues and reads connection IDs.
    resets : ResetTokens
        Derives stateless reset tokens.
    limits : FlowLimits
        Limits of flows and handshakes.
    steering : Steering
        Selects a peer for Initial datagrams that this agent should not accept.
    leases : BalancerLeases
        Balancers that have recently forwarded a datagram to this agent.
    sink : Sink
        Receives events and metrics.
    """

    def __init__(
        self,
        *,
        own_destination: Destination,
        configuration: QuicConfiguration,
        ids: ConnectionIdCodec,
        resets: ResetTokens,
        limits: FlowLimits,
        steering: Steering,
        leases: BalancerLeases,
        sink: Sink,
    ) -> None:
        self.own_destination = own_destination
        self.configuration = configuration
        self.ids = ids
        self.resets = resets
        self.leases = leases
        self.sink = sink
        self.table = FlowTable()
        self.admission = FlowAdmission(
            self.table,
            limits=limits,
            steering=steering,
            validation=AddressValidation(
                issue_id=self.issue_id, versions=configuration.supported_versions
            ),
        )
        self.timers: list[tuple[float, int]] = []
        # Flows to process in the next ``flush``.
        self.changed_flows: dict[int, Flow] = {}
        self.events: list[FlowEvent] = []
        self.outgoing: list[Send] = []
        self.is_draining = False

    @property
    def flows(self) -> dict[int, Flow]:
        """Open flows by their number."""
        return self.table.flows

    @property
    def by_id(self) -> dict[bytes, Flow]:
        """Open flows by connection ID."""
        return self.table.by_id

    @property
    def handshakes(self) -> int:
        """Number of handshakes in progress."""
        return self.table.handshakes

    def issue_id(self) -> bytes:
        """Return a new connection ID that routes to this agent."""
        return self.ids.issue(self.own_destination)

    # Input from balancers and timers

    def opens_flow(self, forward: Forward) -> bool:
        """Return whether a datagram begins with an Initial for an unknown ID."""
        try:
            header = read_packet_header(forward.payload)
        except DecodeError:
            return False
        is_initial = header.kind is PacketKind.INITIAL
        return is_initial and header.destination_id not in self.by_id

    def receive(self, forward: Forward, now: float) -> None:
        """Process one datagram of a caller."""
        # A datagram steered by a peer does not prove that the balancer reaches this
        # agent.
        if forward.hops == 0:
            self.leases.renew(forward.reply_to, now)
        if forward.service != self.own_destination.service:
            self._report_drop("wrong-service", forward)
            return
        try:
            header = read_packet_header(forward.payload)
        except DecodeError as error:
            self._report_drop(error.fault.value, forward)
            return
        flow = self.by_id.get(header.destination_id)
        if flow is not None:
            self._receive_datagram(flow, forward, now)
            return
        self._receive_unknown(header, forward, now)

    def _receive_unknown(
        self, header: PacketHeader, forward: Forward, now: float
    ) -> None:
        destination = self.ids.read(header.destination_id)
        if destination is not None and destination != self.own_destination:
            self._report_drop("wrong-target", forward)
            return
        if header.kind is PacketKind.SHORT and destination is not None:
            self._send_reset(header.destination_id, forward)
            return
        if header.kind is not PacketKind.INITIAL:
            self._report_drop("unknown-flow", forward)
            return
        if len(forward.payload) < SMALLEST_MAX_DATAGRAM_SIZE:
            self._report_drop("short-initial", forward)
            return
        self._handle_initial(header.destination_id, forward, now)

    def _handle_initial(
        self, destination_id: bytes, forward: Forward, now: float
    ) -> None:
        decision = self.admission.decide(
            destination_id, forward, now, is_draining=self.is_draining
        )
        match decision:
            case Steer(peer):
                self.sink.count(DATAGRAMS_STEERED)
                self.outgoing.append(Send(peer, _with_next_hop(forward)))
            case ReplyOnly(payload):
                self._reply(forward, payload)
            case Drop(reason):
                self._report_drop(reason, forward)
            case Accept():
                self._accept(decision, destination_id, forward, now)

    def _accept(
        self, accepted: Accept, destination_id: bytes, forward: Forward, now: float
    ) -> None:
        flow = self._add_flow(forward, now, accepted)
        self.table.register(flow, destination_id)
        self.table.register(flow, flow.connection.host_cid)
        self._receive_datagram(flow, forward, now)
        if not flow.connection.has_decrypted_packet:
            self.table.discard(flow)
            self.changed_flows.pop(flow.number, None)
            self._report_drop("not-a-handshake", forward)

    def _add_flow(self, forward: Forward, now: float, accepted: Accept) -> Flow:
        connection = RoutableConnection(
            configuration=self.configuration,
            issue_id=self.issue_id,
            resets=self.resets,
            original_id=accepted.original_id,
            retry_id=accepted.retry_id,
        )
        flow = Flow(
            number=self.table.next_number(),
            connection=connection,
            caller=forward.caller,
            address_name=forward.address,
            return_path=ReturnPath(forward.reply_to),
            opened_at=now,
            is_steered=forward.hops > 0,
        )
        self.table.add(flow)
        return flow

    def _receive_datagram(self, flow: Flow, forward: Forward, now: float) -> None:
        flow.return_path.balancer = forward.reply_to
        flow.forwarding_s = forward.elapsed_us / 1e6
        flow.balancer_version = forward.version
        flow.last_received_at = now
        source = (forward.caller.host, forward.caller.port)
        self.changed_flows[flow.number] = flow
        try:
            flow.connection.receive_datagram(forward.payload, source, now)
        except Exception as error:
            self._discard_failed(flow, error)

    def tick(self, now: float) -> None:
        """Handle all timers that are due."""
        while self.timers and self.timers[0][0] <= now:
            due, number = heappop(self.timers)
            flow = self.flows.get(number)
            if flow is None or flow.timer_due_at != due:
                continue
            flow.timer_due_at = None
            flow.connection.handle_timer(now)
            self.changed_flows[number] = flow

    @property
    def deadline(self) -> float:
        """Time of the next timer, seconds; infinite if there is none."""
        return self.timers[0][0] if self.timers else inf

    # Commands

    def start_answer(
        self, key: StreamKey, headers: tuple[Header, ...], *, is_ended: bool
    ) -> bool:
        """Send the status and headers of an answer; False if the stream is closed."""
        return self._send(
            key, lambda h3: h3.send_headers(key.stream, list(headers), is_ended)
        )

    def write_answer(self, key: StreamKey, data: bytes, *, is_ended: bool) -> bool:
        """Send a chunk of an answer's body; False if the stream is closed."""
        return self._send(key, lambda h3: h3.send_data(key.stream, data, is_ended))

    def _send(
        self, key: StreamKey, command: Callable[[AgentH3Connection], None]
    ) -> bool:
        flow = self.flows.get(key.flow)
        if flow is None or key.stream not in flow.open_streams or flow.h3 is None:
            return False
        try:
            command(flow.h3)
        except CLOSED_STREAM_ERRORS:
            # The caller reset the stream; ``flush`` reports the cancellation.
            return False
        self.changed_flows[key.flow] = flow
        return True

    def unacked_bytes(self, key: StreamKey) -> int:
        """Return the number of unacknowledged bytes of an answer."""
        flow = self.flows.get(key.flow)
        return flow.connection.unacked_bytes(key.stream) if flow else 0

    def notify_when_writable(self, key: StreamKey, now: float) -> None:
        """Report ``AnswerWritable`` once few bytes of the answer are unacknowledged."""
        flow = self.flows.get(key.flow)
        if flow is not None and key.stream in flow.open_streams:
            flow.awaiting_room[key.stream] = flow.lossy_s
            self.changed_flows[key.flow] = flow

    def abort(self, key: StreamKey) -> None:
        """Reset a stream whose answer cannot be completed."""
        flow = self.flows.get(key.flow)
        if flow is None or key.stream not in flow.open_streams:
            return
        flow.connection.reset_stream(key.stream, ErrorCode.H3_INTERNAL_ERROR)
        self.changed_flows[key.flow] = flow

    def finish(self, key: StreamKey) -> None:
        """Remove a request whose answer has been written completely or aborted."""
        flow = self.flows.get(key.flow)
        if flow is None:
            return
        flow.open_streams.discard(key.stream)
        flow.awaiting_room.pop(key.stream, None)
        flow.connection.paused_streams.discard(key.stream)
        self.changed_flows[key.flow] = flow

    def set_body_paused(self, key: StreamKey, *, is_paused: bool) -> None:
        """Stop or resume extending the flow control window of a request body."""
        flow = self.flows.get(key.flow)
        if flow is None:
            return
        paused = flow.connection.paused_streams
        if is_paused:
            paused.add(key.stream)
        elif key.stream in paused:
            paused.discard(key.stream)
            # Forces a packet, in which aioquic sends the raised limit. Any number
            # identifies a ping.
            flow.connection.send_ping(key.stream)
            self.changed_flows[key.flow] = flow

    def drain(self) -> None:
        """Accept no new flows and send GOAWAY on the open ones."""
        self.is_draining = True
        for flow in self.flows.values():
            self._send_goaway(flow)

    def _send_goaway(self, flow: Flow) -> None:
        if flow.h3 is None or flow.is_goaway_sent:
            return
        flow.is_goaway_sent = True
        flow.h3.send_goaway(flow.first_unseen_stream_id)
        self.changed_flows[flow.number] = flow

    def close_idle(self, now: float, *, idle_s: float) -> None:
        """Close flows that were sent GOAWAY, have no open request and are idle.

        Parameters
        ----------
        now : float
            Current time, seconds.
        idle_s : float
            Time since the caller's last datagram after which a flow is closed, seconds.
        """
        for flow in self.flows.values():
            is_idle = now - flow.last_received_at > idle_s
            if flow.is_goaway_sent and not flow.open_streams and is_idle:
                flow.connection.close(error_code=ErrorCode.H3_NO_ERROR)
                self.changed_flows[flow.number] = flow

    def close_all(self) -> None:
        """Close every flow, at the end of a drain."""
        for flow in self.flows.values():
            flow.connection.close(error_code=ErrorCode.H3_NO_ERROR)
            self.changed_flows[flow.number] = flow

    # Events and outgoing messages

    def flush(self, now: float) -> tuple[list[FlowEvent], list[Send]]:
        """Return the events and outgoing messages since the last call."""
        changed_flows = self.changed_flows
        self.changed_flows = {}
        for flow in changed_flows.values():
            try:
                self._process(flow, now)
            except Exception as error:
                self._discard_failed(flow, error)
        events, self.events = self.events, []
        outgoing, self.outgoing = self.outgoing, []
        return events, outgoing

    def _process(self, flow: Flow, now: float) -> None:
        connection = flow.connection
        event = connection.next_event()
        while event is not None:
            self._handle_quic_event(flow, event, now)
            event = connection.next_event()
        self._send_datagrams(flow, now)
        self._report_writable(flow)
        if flow.number in self.flows:
            self._set_timer(flow)

    def _send_datagrams(self, flow: Flow, now: float) -> None:
        datagrams = flow.connection.datagrams_to_send(now)
        if not datagrams:
            return
        is_lossy = flow.connection.probe_timeouts > 0
        self._track_loss(flow, now, is_lossy=is_lossy)
        balancer = flow.return_path.choose(self.leases, now, is_lossy=is_lossy)
        for data, (host, port, *_) in datagrams:
            # After path validation, aioquic sends to the caller's new address.
            caller = Endpoint(host, port)
            reply = Reply(caller, self.own_destination.service, flow.address_name, data)
            self.outgoing.append(Send(balancer, reply))

    @staticmethod
    def _track_loss(flow: Flow, now: float, *, is_lossy: bool) -> None:
        if is_lossy and flow.lossy_since is None:
            flow.lossy_since = now
        elif not is_lossy and flow.lossy_since is not None:
            flow.lossy_s += now - flow.lossy_since
            flow.lossy_since = None

    def _report_writable(self, flow: Flow) -> None:
        if not flow.awaiting_room:
            return
        for stream, lossy_s_before in list(flow.awaiting_room.items()):
            if flow.connection.unacked_bytes(stream) <= READY_UNACKED_BYTES:
                del flow.awaiting_room[stream]
                key = StreamKey(flow.number, stream)
                self.events.append(AnswerWritable(key, flow.lossy_s - lossy_s_before))

    def _set_timer(self, flow: Flow) -> None:
        due = flow.connection.get_timer()
        if due is not None and due != flow.timer_due_at:
            flow.timer_due_at = due
            heappush(self.timers, (due, flow.number))

    # QUIC and HTTP/3 events

    def _handle_quic_event(self, flow: Flow, event: QuicEvent, now: float) -> None:
        if isinstance(event, ConnectionIdIssued):
            self.table.register(flow, event.connection_id)
        elif isinstance(event, ConnectionIdRetired):
            self.table.retire(flow, event.connection_id)
        elif isinstance(event, HandshakeCompleted):
            self.table.finish_handshake(flow, now)
            self.sink.count(FLOWS_OPENED)
        elif isinstance(event, ConnectionTerminated):
            self._close(flow, event)
            return
        elif isinstance(event, StreamReset | StopSendingReceived):
            self._report_cancelled(flow, event.stream_id)
        elif isinstance(event, ProtocolNegotiated):
            flow.h3 = AgentH3Connection(flow.connection)
            if self.is_draining:
                self._send_goaway(flow)
        if flow.h3 is not None:
            for h3_event in flow.h3.handle_event(event):
                self._handle_h3_event(flow, h3_event)

    def _close(self, flow: Flow, event: ConnectionTerminated) -> None:
        if not self.table.discard(flow):
            return
        # "caller" stands for any close without an error, also by this agent.
        cause = "caller" if event.error_code in (0, ErrorCode.H3_NO_ERROR) else "error"
        self.sink.count(FLOWS_CLOSED, cause=cause)
        self.events.append(FlowClosed(flow.number))

    def _discard_failed(self, flow: Flow, error: Exception) -> None:
        """Remove a flow whose connection raised, so that the other flows continue."""
        self.changed_flows.pop(flow.number, None)
        if self.table.discard(flow):
            self.sink.event(FLOW_FAULTED, error=repr(error)[:ERROR_CHARS])
            self.sink.count(FLOWS_CLOSED, cause="fault")
            self.events.append(FlowClosed(flow.number))

    def _report_cancelled(self, flow: Flow, stream: int) -> None:
        if stream in flow.open_streams:
            self.events.append(RequestCancelled(StreamKey(flow.number, stream)))

    def _handle_h3_event(self, flow: Flow, event: H3Event) -> None:
        if isinstance(event, HeadersReceived):
            self._open_request(flow, event)
        elif isinstance(event, DataReceived) and event.stream_id in flow.open_streams:
            key = StreamKey(flow.number, event.stream_id)
            self.events.append(BodyReceived(key, event.data, event.stream_ended))

    def _open_request(self, flow: Flow, event: HeadersReceived) -> None:
        key = StreamKey(flow.number, event.stream_id)
        if not any(name == b":method" for name, _ in event.headers):
            # Trailers: their fields are ignored, but they may end the body.
            if event.stream_id in flow.open_streams:
                self.events.append(BodyReceived(key, b"", event.stream_ended))
            return
        if flow.is_goaway_sent and event.stream_id >= flow.first_unseen_stream_id:
            # GOAWAY promised the caller that these requests do not run.
            flow.connection.reset_stream(event.stream_id, ErrorCode.H3_REQUEST_REJECTED)
            return
        # Request streams have every fourth stream ID.
        flow.first_unseen_stream_id = max(
            flow.first_unseen_stream_id, event.stream_id + 4
        )
        flow.open_streams.add(event.stream_id)
        handshake_s, flow.handshake_s = flow.handshake_s, 0.0
        self.events.append(
            RequestOpened(
                key=key,
                caller=flow.caller,
                headers=tuple(event.headers),
                is_ended=event.stream_ended,
                forwarding_s=flow.forwarding_s,
                round_trip_s=flow.connection.round_trip_s,
                handshake_s=handshake_s,
                is_steered=flow.is_steered,
                balancer_version=flow.balancer_version,
            )
        )

    # Datagrams without a flow

    def _reply(self, forward: Forward, payload: bytes) -> None:
        reply = Reply(
            forward.caller, self.own_destination.service, forward.address, payload
        )
        self.outgoing.append(Send(forward.reply_to, reply))

    def _send_reset(self, connection_id: bytes, forward: Forward) -> None:
        # Counted as dropped, although it is answered with a reset.
        self._report_drop("reset", forward)
        if len(forward.payload) <= STATELESS_RESET_BYTES:
            # A reset must be shorter than its trigger, or two endpoints could loop.
            return
        # The last 16 bytes are the reset token; the first two bits mark a short header.
        random_bytes = self.ids.random(STATELESS_RESET_BYTES - 16)
        first = bytes(((random_bytes[0] & 0x3F) | 0x40,))
        token = self.resets.token(connection_id)
        self._reply(forward, first + random_bytes[1:] + token)

    def _report_drop(self, reason: str, forward: Forward) -> None:
        self.sink.count(DATAGRAMS_DROPPED, reason=reason)
        source = f"{forward.caller.host}:{forward.caller.port}"
        self.sink.event(FLOW_REFUSED, reason=reason, source=source)


def _with_next_hop(forward: Forward) -> Forward:
    return Forward(
        forward.caller,
        forward.service,
        forward.address,
        forward.version,
        forward.hops + 1,
        forward.elapsed_us,
        forward.reply_to,
        forward.payload,
    )
