"""Decision about the Initial datagram of a new flow."""

from dataclasses import dataclass

from balsamtide.agent.address_validation import AddressValidation
from balsamtide.agent.flow_table import FlowTable
from balsamtide.agent.steering import Steering
from balsamtide.protocol.messages import Endpoint, Forward

__all__ = ["Accept", "ReplyOnly", "FlowLimits", "FlowAdmission", "Drop", "Steer"]


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowLimits:
    """Limits of an agent's flows.

    Parameters
    ----------
    flows : int
        Maximum number of open flows.
    handshakes : int
        Number of handshakes in progress at which Initials are dropped or steered.
    handshakes_before_retry : int
        Number of handshakes in progress at which an Initial without a token is
        answered with Retry.
    """

    flows: int = 2000
    handshakes: int = 200
    handshakes_before_retry: int = 32


@dataclass(frozen=True, slots=True)
class Accept:
    """Open the flow.

    Parameters
    ----------
    original_id : bytes
        Destination connection ID of the caller's first Initial packet.
    retry_id : bytes or None
        Source connection ID of the agent's Retry packet, if one was sent.
    """

    original_id: bytes
    retry_id: bytes | None


@dataclass(frozen=True, slots=True)
class Steer:
    """Forward the datagram to a peer."""

    peer: Endpoint


@dataclass(frozen=True, slots=True)
class ReplyOnly:
    """Reply with a datagram without opening a flow."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class Drop:
    """Drop the datagram without an answer."""

    reason: str


InitialDecision = Accept | Steer | ReplyOnly | Drop


class FlowAdmission:
    """Decides whether Initial datagrams open a flow.

    Parameters
    ----------
    table : FlowTable
        Flows of the agent.
    limits : FlowLimits
        Limits of flows and handshakes.
    steering : Steering
        Selects a peer for datagrams that this agent should not accept.
    validation : AddressValidation
        Validates the caller's address.
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
        self, destination_id: bytes, forward: Forward, now: float, *, is_draining: bool
    ) -> InitialDecision:
        """Decide about one Initial datagram.

        Parameters
        ----------
        destination_id : bytes
            Destination connection ID of the datagram: chosen by the caller, or by this
        agent if it sent a Retry.
        forward : Forward
            Datagram with its source.
        now : float
            Current time, seconds.
        is_draining : bool
            Whether the agent accepts no new flows.
        """
        peer = self._choose_peer(destination_id, forward, now, is_draining=is_draining)
        if peer is not None:
            return Steer(peer)
        if self._is_flow_limit_reached or is_draining:
            # "full" includes draining in events and metrics.
            return Drop("full")
        if self._is_handshake_limit_reached:
            return Drop("handshakes")
        return self._validate(forward, now)

    @property
    def _is_flow_limit_reached(self) -> bool:
        return len(self.table.flows) >= self.limits.flows

    @property
    def _is_handshake_limit_reached(self) -> bool:
        return self.table.handshakes >= self.limits.handshakes

    def _choose_peer(
        self, destination_id: bytes, forward: Forward, now: float, *, is_draining: bool
    ) -> Endpoint | None:
        if forward.hops > 0:
            return None
        is_full = self._is_flow_limit_reached or self._is_handshake_limit_reached
        return self.steering.choose(
            destination_id, now, is_full=is_full, is_draining=is_draining
        )

    def _validate(self, forward: Forward, now: float) -> InitialDecision:
        must_validate = self.table.handshakes >= self.limits.handshakes_before_retry
        check = self.validation.check(
            forward.payload, forward.caller, now, must_validate=must_validate
        )
        if check.answer is not None:
            return ReplyOnly(check.answer)
        if check.original_id is None:
            return Drop("not-validated")
        return Accept(check.original_id, check.retry_id)
