"""Selection of a peer for new flows that this agent should not accept."""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable

from balsamtide.protocol.messages import Endpoint

__all__ = ["NoSteering", "PeerSteering", "Steering"]

CHOICE_TTL_S = 10.0
MAX_CHOICES = 8192


class Steering(ABC):
    """Decides whether a peer should accept a new flow."""

    @abstractmethod
    def choose(
        self, destination_id: bytes, now: float, *, is_full: bool, is_draining: bool
    ) -> Endpoint | None:
        """Return the datagram endpoint of a peer, or None to keep the flow.

        Parameters
        ----------
        destination_id : bytes
            Destination connection ID of the Initial datagram.
        now : float
            Current time, seconds.
        is_full : bool
            Whether this agent is at a limit of flows or handshakes.
        is_draining : bool
            Whether this agent accepts no new flows.
        """


class NoSteering(Steering):
    """Keeps every flow."""

    def choose(
        self, destination_id: bytes, now: float, *, is_full: bool, is_draining: bool
    ) -> Endpoint | None:
        """Return None, which keeps the flow."""
        return None


class PeerSteering(Steering):
    """Steers to a sampled peer when this agent is full, draining or not ready.

    Retransmitted Initials of a caller must reach the same peer, so choices are cached
    by connection ID for ``CHOICE_TTL_S``, at most ``MAX_CHOICES`` of them.

    Parameters
    ----------
    sample_peer : callable
        Returns the datagram endpoint of the best peer of a random sample, or None if no
        peer accepts work.
    is_ready : callable
        Returns whether the agent's target is ready for new flows.
    """

    def __init__(
        self,
        *,
        sample_peer: Callable[[float], Endpoint | None],
        is_ready: Callable[[float], bool],
    ) -> None:
        self.sample_peer = sample_peer
        self.is_ready = is_ready
        self.choices: OrderedDict[bytes, tuple[float, Endpoint]] = OrderedDict()

    def choose(
        self, destination_id: bytes, now: float, *, is_full: bool, is_draining: bool
    ) -> Endpoint | None:
        """Return the inner endpoint of a peer, or None to keep the flow."""
        self._expire(now)
        chosen = self.choices.get(destination_id)
        if chosen is not None:
            return chosen[1]
        if not (is_full or is_draining or not self.is_ready(now)):
            return None
        peer = self.sample_peer(now)
        if peer is not None:
            self.choices[destination_id] = (now + CHOICE_TTL_S, peer)
        return peer

    def _expire(self, now: float) -> None:
        while self.choices:
            destination_id, (expires, _) = next(iter(self.choices.items()))
            if expires > now and len(self.choices) <= MAX_CHOICES:
                return
            del self.choices[destination_id]
