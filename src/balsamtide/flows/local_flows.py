"""Flow table of an agent, with the count of requests at its target."""

from collections.abc import Iterator
from dataclasses import dataclass

from balsamtide.flows.packet import SEQUENCE_MODULUS, FlowPacket, sequence_distance

__all__ = ["LocalFlow", "LocalFlows"]

# About 320 bytes a flow: 16 MB, a sixth of the smallest agent's memory.
MAX_FLOWS = 50_000
# A slot is reserved from the SYN until the request should have arrived: two round trips
# plus scheduling delays of a balancer.  A longer reservation would waste slots on
# abandoned flows.
RESERVATION_S = 0.03
# A request without an answer for this long no longer occupies a slot.
MAX_REQUEST_S = 10.0
# SYN and FIN each consume one sequence number.
CONTROL_SEQUENCE_NUMBERS = 2
# Bytes that an end may send before they are acknowledged: 16 full packets.
SEND_WINDOW_BYTES = 16 * 1200
# A retransmitted SYN of an open flow is behind what its client has sent since by less
# than this.  An unrelated SYN is so close once in 4,096 times.
MAX_SENT_SINCE_SYN_BYTES = 1 << 20
# Weight of one request in the moving average of the service time.
SERVICE_TIME_GAIN = 0.1


@dataclass(slots=True)
class LocalFlow:
    """One flow at the target.

    Parameters
    ----------
    key : bytes
        Key of the flow.
    last_balancer : int
        Balancer that sent its latest packet; 0 if unknown.
    delivered_at : float
        Local time at which its SYN was delivered, or at which a flow without an
        observed SYN was first seen.
    last_packet_at : float
        Local time of its latest packet in either direction.
    kept_until : float
        Local time before which it is kept while it is open, however long it is idle.
    client_isn : int or None
        Initial sequence number of the client, None if the handshake was not seen.
    target_isn : int or None
        Initial sequence number of the target, None if the SYN-ACK was not seen.
    target_end : int
        Largest offset from ``target_isn`` up to which the target has sent.
    next_sequence : int or None
        Next sequence number expected from the client, None before the first data; if
        the handshake was not seen, also what the target acknowledges.
    is_open : bool
        Whether the client completed the handshake.
    has_client_fin, has_target_fin : bool
        Whether this end has closed the flow.
    is_unconfirmed : bool
        Whether it is unknown if the target has the flow.
    is_sent_tentatively : bool
        Whether the packet that created this entry was delivered tentatively: its
        balancer sent it to all agents that can't tell whether they have the flow.
    busy_until : float
        Local time until which it occupies a slot; in the past if it does not.
    request_received_at : float
        Local time at which the current request was complete; 0 if none.
    busy_before : int
        Requests at the target when the current one arrived.
    client_zone : int
        Number of the availability zone of the client, 0 if it is unknown.
    is_charged : bool
        Whether its class was charged for the request that follows the SYN.
    """

    key: bytes
    last_balancer: int
    delivered_at: float
    last_packet_at: float
    kept_until: float
    client_isn: int | None = None
    target_isn: int | None = None
    target_end: int = 0
    next_sequence: int | None = None
    is_open: bool = False
    has_client_fin: bool = False
    has_target_fin: bool = False
    is_unconfirmed: bool = False
    is_sent_tentatively: bool = False
    busy_until: float = 0.0
    request_received_at: float = 0.0
    busy_before: int = 0
    client_zone: int = 0
    is_charged: bool = False

    @property
    def is_closed(self) -> bool:
        """Whether both ends have closed it."""
        return self.has_client_fin and self.has_target_fin

    @property
    def is_in_use(self) -> bool:
        """Whether it is open and neither end has closed it."""
        return self.is_open and not self.has_client_fin and not self.has_target_fin

    def is_expired(self, now: float, idle_timeout_s: float) -> bool:
        """Whether the target may have removed this flow as well.

        The idle timeout alone is no proof: another process, and the operator, may
        already know a longer one.
        """
        if now < self.last_packet_at + idle_timeout_s:
            return False
        return now >= self.kept_until or not self.is_open or self.is_closed

    def is_syn_retransmission(self, sequence: int) -> bool:
        """Whether a SYN with this sequence number retransmits this flow's SYN."""
        if self.client_isn is not None:
            return sequence == self.client_isn
        if self.next_sequence is None or not self.is_in_use:
            return False
        behind = sequence_distance(self.next_sequence, sequence)
        return 0 < behind < MAX_SENT_SINCE_SYN_BYTES

    def acknowledges_target(self, acknowledgement: int) -> bool:
        """Whether an acknowledgement is within what this target has sent.

        All packets of the target pass this agent, so that a higher acknowledgement
        belongs to the handshake of another target.
        """
        if self.target_isn is None:
            return True
        distance = sequence_distance(acknowledgement, self.target_isn)
        return distance <= self.target_end + CONTROL_SEQUENCE_NUMBERS

    def is_sent_by_target(self, packet: FlowPacket) -> bool:
        """Whether a packet of the target belongs to this flow.

        A client may use its port again, so that packets of an earlier flow with the
        same key can be late.
        """
        if self.target_isn is None:
            return True
        if packet.is_syn:
            return not self.is_open or packet.sequence == self.target_isn
        distance = sequence_distance(packet.sequence, self.target_isn)
        return distance <= self.target_end + SEND_WINDOW_BYTES

    def is_sent_by_client(self, packet: FlowPacket) -> bool:
        """Whether a packet of the client, such as a returned one, is of this flow."""
        if packet.is_opening:
            return self.is_syn_retransmission(packet.sequence)
        return not packet.is_ack or self.acknowledges_target(packet.acknowledgement)

    def record_received(self, sequence: int, length: int) -> bool:
        """Record data of the client; return whether any of it is new."""
        end = (sequence + length) % SEQUENCE_MODULUS
        if self.next_sequence is not None:
            ahead = sequence_distance(end, self.next_sequence)
            if not 0 < ahead < SEQUENCE_MODULUS // 2:
                return False
        self.next_sequence = end
        return True

    def record_sent(self, sequence: int, length: int) -> None:
        """Record data of the target."""
        if self.target_isn is not None:
            end = sequence_distance(sequence + length, self.target_isn)
            self.target_end = max(self.target_end, end)


class LocalFlows:
    """Flow table by key, and the requests that occupy slots of the target.

    Parameters
    ----------
    complete_at : float
        Local time from which the table has every flow that is open at the target.
    max_flows : int
        Size beyond which the least recently used flow is evicted.
    """

    def __init__(self, *, complete_at: float, max_flows: int = MAX_FLOWS) -> None:
        self.complete_at = complete_at
        self.max_flows = max_flows
        self.flows: dict[bytes, LocalFlow] = {}
        self.active: dict[bytes, LocalFlow] = {}
        self.service_time_s = 0.0

    def __len__(self) -> int:
        return len(self.flows)

    def get(self, key: bytes, now: float, idle_timeout_s: float) -> LocalFlow | None:
        """Return a flow that has not expired."""
        flow = self.flows.get(key)
        if flow is not None and flow.is_expired(now, idle_timeout_s):
            self.drop(key)
            return None
        return flow

    def add(self, flow: LocalFlow) -> None:
        """Add a flow, evicting the least recently used one if the table is full."""
        self.flows.pop(flow.key, None)
        self.flows[flow.key] = flow
        if len(self.flows) > self.max_flows:
            self._evict(next(iter(self.flows.values())))

    def _evict(self, flow: LocalFlow) -> None:
        """Remove a flow that the target may still have."""
        if not flow.is_closed:
            self.complete_at = max(self.complete_at, flow.kept_until)
        self.drop(flow.key)

    def drop(self, key: bytes) -> None:
        """Remove a flow if it is there."""
        self.flows.pop(key, None)
        self.active.pop(key, None)

    def touch(self, flow: LocalFlow, now: float) -> None:
        """Restart a flow's idle timeout and mark it as most recently used."""
        flow.last_packet_at = now
        self.flows.pop(flow.key, None)
        self.flows[flow.key] = flow

    def busy(self, now: float) -> int:
        """Return the number of occupied and reserved slots."""
        expired = [key for key, flow in self.active.items() if flow.busy_until <= now]
        for key in expired:
            del self.active[key]
        return len(self.active)

    def reserve(self, flow: LocalFlow, now: float) -> None:
        """Reserve a slot for the request that follows the handshake."""
        flow.busy_before = self.busy(now)
        flow.busy_until = now + RESERVATION_S
        self.active[flow.key] = flow

    def release_slot(self, flow: LocalFlow) -> None:
        """Release the slot of a flow whose request is still being received."""
        if flow.request_received_at == 0.0:
            self.active.pop(flow.key, None)

    def begin_request(self, flow: LocalFlow, now: float) -> None:
        """Occupy a slot for a request that was received completely."""
        if flow.request_received_at == 0.0:
            flow.request_received_at = now
            if flow.key not in self.active:
                flow.busy_before = self.busy(now)
        flow.busy_until = now + MAX_REQUEST_S
        self.active[flow.key] = flow

    def end_request(
        self, flow: LocalFlow, now: float, *, assumed_s: float
    ) -> float | None:
        """Release the slot of a request; return its duration in seconds, if any.

        Parameters
        ----------
        flow : LocalFlow
            The request's flow.
        now : float
            Local time.
        assumed_s : float
            Initial mean service time, in seconds.
        """
        self.active.pop(flow.key, None)
        if flow.request_received_at == 0.0:
            return None
        took_s = now - flow.request_received_at
        flow.request_received_at = 0.0
        if flow.busy_before == 0:
            # Other requests may include time that they waited at the target.  A single
            # sample is noisy, so the mean starts from the assumed value.
            mean_s = self.service_time_s or assumed_s or took_s
            self.service_time_s = mean_s + SERVICE_TIME_GAIN * (took_s - mean_s)
        return took_s

    def expire(self, now: float, idle_timeout_s: float) -> None:
        """Remove the flows that have expired."""
        for key in list(self._expired(now, idle_timeout_s)):
            self.drop(key)

    def _expired(self, now: float, idle_timeout_s: float) -> Iterator[bytes]:
        for key, flow in self.flows.items():
            if now < flow.last_packet_at + idle_timeout_s:
                # Flows are ordered by last use, so that no later one is idle.
                return
            if flow.is_expired(now, idle_timeout_s):
                yield key
