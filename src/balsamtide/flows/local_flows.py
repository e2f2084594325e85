"""The flows at one agent's target, and how busy the target is with them."""

from collections.abc import Iterator
from dataclasses import dataclass

from balsamtide.flows.packet import SEQUENCE_MODULUS, sequence_distance

__all__ = ["LocalFlow", "LocalFlows"]

# About 250 octets a flow: 12 MB, a tenth of the smallest agent's memory.
MAX_FLOWS = 50_000
# A client that got the handshake sends its request at once: two ways to it and back,
# and the wake-ups of a balancer.  No slot is kept longer for one that went elsewhere.
RESERVATION_S = 0.03
# A request that got no answer for so long no longer counts as work.
MAX_REQUEST_S = 10.0
# Numbers of a flow beside its octets: one for each end of the target's side.
CONTROL_SEQUENCE_NUMBERS = 2
# Weight of one request in the mean service time.
SERVICE_TIME_GAIN = 0.1


@dataclass(slots=True)
class LocalFlow:
    """One flow at the target.

    Parameters
    ----------
    key : bytes
        The flow.
    origin : int
        Balancer that sent its last packet; 0 if unknown.
    delivered_at : float
        When its opening packet was delivered; for a flow that was learnt later, then.
    expires_at : float
        When it is forgotten, unless packets come.
    client_isn : int or None
        Sequence of the client's opening packet, None if this agent did not see it.
    target_isn : int or None
        Sequence of the target's handshake, None if this agent did not see it.
    sent : int
        Octets that the target sent, as far as this agent saw.
    next_sequence : int or None
        Sequence after the last octets of the client, None before the first ones.
    is_open : bool
        Whether the client took the target's handshake.
    is_unconfirmed : bool
        Whether it is not known that the target has it.
    is_sent_tentatively : bool
        Whether a balancer that searches for the flow offered its packets.
    busy_until : float
        Until when it counts as work at the target; in the past if it does not.
    request_started_at : float
        When the present request began; 0 if none.
    busy_before : int
        Requests at the target when the present one came.
    """

    key: bytes
    origin: int
    delivered_at: float
    expires_at: float
    client_isn: int | None = None
    target_isn: int | None = None
    sent: int = 0
    next_sequence: int | None = None
    is_open: bool = False
    is_unconfirmed: bool = False
    is_sent_tentatively: bool = False
    busy_until: float = 0.0
    request_started_at: float = 0.0
    busy_before: int = 0

    def is_syn_retransmission(self, sequence: int) -> bool:
        """Whether an opening packet with this sequence is a copy of this flow's."""
        return self.client_isn in (None, sequence)

    def acknowledges_target(self, acknowledgement: int) -> bool:
        """Whether a client's acknowledgement belongs to this target's handshake.

        All packets of the target pass this agent, so a client can't acknowledge more.
        """
        if self.target_isn is None:
            return True
        distance = sequence_distance(acknowledgement, self.target_isn)
        return distance <= self.sent + CONTROL_SEQUENCE_NUMBERS

    def record_received(self, sequence: int, length: int) -> bool:
        """Note octets of the client; return whether any of them is new."""
        end = (sequence + length) % SEQUENCE_MODULUS
        if self.next_sequence is not None:
            ahead = sequence_distance(end, self.next_sequence)
            if not 0 < ahead < SEQUENCE_MODULUS // 2:
                return False
        self.next_sequence = end
        return True

    def record_sent(self, sequence: int, length: int) -> None:
        """Note a packet of the target."""
        if self.target_isn is not None:
            end = sequence_distance(sequence + length, self.target_isn)
            self.sent = max(self.sent, end)


class LocalFlows:
    """Flows by key, and the count of requests at the target."""

    def __init__(self) -> None:
        self.flows: dict[bytes, LocalFlow] = {}
        self.active: dict[bytes, LocalFlow] = {}
        self.service_time_s = 0.0

    def __len__(self) -> int:
        return len(self.flows)

    def get(self, key: bytes, now: float) -> LocalFlow | None:
        """Return a flow that is not forgotten."""
        flow = self.flows.get(key)
        if flow is not None and flow.expires_at <= now:
            self.drop(key)
            return None
        return flow

    def add(self, flow: LocalFlow) -> None:
        """Remember a flow."""
        self.flows.pop(flow.key, None)
        self.flows[flow.key] = flow
        if len(self.flows) > MAX_FLOWS:
            self.drop(next(iter(self.flows)))

    def drop(self, key: bytes) -> None:
        """Forget a flow."""
        self.flows.pop(key, None)
        self.active.pop(key, None)

    def touch(self, flow: LocalFlow, expires_at: float) -> None:
        """Keep a flow for another idle timeout."""
        flow.expires_at = expires_at
        self.flows.pop(flow.key, None)
        self.flows[flow.key] = flow

    def busy(self, now: float) -> int:
        """Return the requests that the target has or will have at once."""
        over = [key for key, flow in self.active.items() if flow.busy_until <= now]
        for key in over:
            del self.active[key]
        return len(self.active)

    def reserve(self, flow: LocalFlow, now: float) -> None:
        """Count the request that follows a new flow's opening."""
        flow.busy_before = self.busy(now)
        flow.busy_until = now + RESERVATION_S
        self.active[flow.key] = flow

    def release_slot(self, flow: LocalFlow) -> None:
        """Count nothing for a request that still arrives: it takes no slot yet."""
        if flow.request_started_at == 0.0:
            self.active.pop(flow.key, None)

    def begin_request(self, flow: LocalFlow, now: float) -> None:
        """Count a request whose last octets are there."""
        if flow.request_started_at == 0.0:
            flow.request_started_at = now
            if flow.key not in self.active:
                flow.busy_before = self.busy(now)
        flow.busy_until = now + MAX_REQUEST_S
        self.active[flow.key] = flow

    def end_request(
        self, flow: LocalFlow, now: float, *, assumed_s: float
    ) -> float | None:
        """Stop counting a request; return its time in seconds if it was one.

        Parameters
        ----------
        flow : LocalFlow
            The request's flow.
        now : float
            Local time.
        assumed_s : float
            Mean time of requests before any was measured, in seconds.
        """
        self.active.pop(flow.key, None)
        if flow.request_started_at == 0.0:
            return None
        took_s = now - flow.request_started_at
        flow.request_started_at = 0.0
        if flow.busy_before == 0:
            # One sample says little, so the mean starts from what was assumed.
            mean_s = self.service_time_s or assumed_s or took_s
            self.service_time_s = mean_s + SERVICE_TIME_GAIN * (took_s - mean_s)
        return took_s

    def expire(self, now: float) -> None:
        """Forget the flows without packets for an idle timeout."""
        for key in list(self._expired(now)):
            self.drop(key)

    def _expired(self, now: float) -> Iterator[bytes]:
        for key, flow in self.flows.items():
            if flow.expires_at > now:
                return
            yield key
