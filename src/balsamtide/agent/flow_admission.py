"""The decision about the first datagram of a flow."""

from dataclasses import dataclass

from balsamtide.agent.address_validation import AddressValidation
from balsamtide.agent.flow_table import FlowTable
from balsamtide.agent.steering import Steering
from balsamtide.protocol.messages import Endpoint, Forward

__all__ = ["Accept", "ReplyOnly", "FlowLimits", "FlowAdmission", "Refuse", "Steer"]


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowLimits:
    """Bounds of an agent's flows.

    Parameters
    ----------
    flows : int
        Open flows.
    handshakes : int
        Handshakes in progress; above it, first datagrams are dropped or steered.
    validated_handshakes : int
        Handshakes in progress from which on callers must prove their address.
    """

    flows: int = 2000
    handshakes: int = 200
    validated_handshakes: int = 32


@dataclass(frozen=True, slots=True)
class Accept:
    """Open the flow.

    Parameters
    ----------
    original_id : bytes
        ID of the caller's very first datagram.
    retry_id : bytes or None
        ID that our Retry asked the caller to use.
    """

    original_id: bytes
    retry_id: bytes | None


@dataclass(frozen=True, slots=True)
class Steer:
    """Pass the datagram on to a peer."""

    peer: Endpoint


@dataclass(frozen=True, slots=True)
class ReplyOnly:
    """Answer with this datagram and open nothing."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class Refuse:
    """Drop the datagram."""

    reason: str


InitialDecision = Accept | Steer | ReplyOnly | Refuse


class FlowAdmission:
    """Decides about first datagrams.

    Parameters
    ----------
    table : FlowTable
        The flows there are.
    limits : FlowLimits
        Bounds.
    steering : Steering
        Where datagrams go that are not taken here.
    validation : AddressValidation
        Proof of the caller's address.
    """

    def __init__(
        self,
        table: FlowTable,
        *,
        limits: FlowLimits,
        steering: Steering,
        validation: AddressValidation,
    ) -> None:
        self.table = table
        self.limits = limits
        self.steering = steering
        self.validation = validation

    def decide(
        self, initial_id: bytes, forward: Forward, now: float, *, is_draining: bool
    ) -> InitialDecision:
        """Decide about one first datagram.

        Parameters
        ----------
        initial_id : bytes
            ID that the caller chose.
        forward : Forward
            The datagram.
        now : float
            Current time, seconds.
        is_draining : bool
            Whether the agent takes no new flows.
        """
        peer = self._choose_peer(initial_id, forward, now, is_draining=is_draining)
        if peer is not None:
            return Steer(peer)
        if self._is_flow_limit_reached or is_draining:
            return Refuse("full")
        if self._is_handshake_limit_reached:
            return Refuse("handshakes")
        return self._validate(forward, now)

    @property
    def _is_flow_limit_reached(self) -> bool:
        return len(self.table.flows) >= self.limits.flows

    @property
    def _is_handshake_limit_reached(self) -> bool:
        return self.table.handshakes >= self.limits.handshakes

    def _choose_peer(
        self, initial_id: bytes, forward: Forward, now: float, *, is_draining: bool
    ) -> Endpoint | None:
        if forward.hops > 0:
            return None
        is_full = self._is_flow_limit_reached or self._is_handshake_limit_reached
        return self.steering.choose(
            initial_id, now, is_full=is_full, is_draining=is_draining
        )

    def _validate(self, forward: Forward, now: float) -> InitialDecision:
        must_validate = self.table.handshakes >= self.limits.validated_handshakes
        check = self.validation.check(
            forward.payload, forward.caller, now, must_validate=must_validate
        )
        if check.answer is not None:
            return ReplyOnly(check.answer)
        if check.original_id is None:
            return Refuse("not-validated")
        return Accept(check.original_id, check.retry_id)
