"""Choice of a peer for first datagrams that this agent had better not take."""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable

from balsamtide.protocol.messages import Endpoint

__all__ = ["NoSteering", "PeerSteering", "Steering"]

CHOICE_TTL_S = 10.0
MAX_CHOICES = 8192


class Steering(ABC):
    """Decides whether a peer should take a flow."""

    @abstractmethod
    def choose(
        self, initial_id: bytes, now: float, *, is_full: bool, is_draining: bool
    ) -> Endpoint | None:
        """Return the inner endpoint of a peer, or None to take the flow here.

        Parameters
        ----------
        initial_id : bytes
            Connection ID that the caller chose.
        now : float
            Current time, seconds.
        is_full : bool
            Whether this agent is at a limit.
        is_draining : bool
            Whether this agent takes no new flows.
        """


class NoSteering(Steering):
    """Takes every flow here."""

    def choose(
        self, initial_id: bytes, now: float, *, is_full: bool, is_draining: bool
    ) -> Endpoint | None:
        """Return None."""
        return None


class PeerSteering(Steering):
    """Steers to the best peer when this agent is full, draining or not ready.

    A caller's repeated first datagrams must reach the same peer, so choices are
    remembered for a short time, in bounded memory.

    Parameters
    ----------
    best_peer : callable
        Returns the inner endpoint of the best peer, or None.
    is_ready : callable
        Whether this agent's own target is ready for new flows.
    """

    def __init__(
        self,
        *,
        best_peer: Callable[[float], Endpoint | None],
        is_ready: Callable[[float], bool],
    ) -> None:
        self.best_peer = best_peer
        self.is_ready = is_ready
        self.choices: OrderedDict[bytes, tuple[float, Endpoint]] = OrderedDict()

    def choose(
        self, initial_id: bytes, now: float, *, is_full: bool, is_draining: bool
    ) -> Endpoint | None:
        """Return the peer that should take the flow, or None."""
        self._expire(now)
        chosen = self.choices.get(initial_id)
        if chosen is not None:
            return chosen[1]
        if not (is_full or is_draining or not self.is_ready(now)):
            return None
        peer = self.best_peer(now)
        if peer is not None:
            self.choices[initial_id] = (now + CHOICE_TTL_S, peer)
        return peer

    def _expire(self, now: float) -> None:
        while self.choices:
            initial_id, (expires, _) = next(iter(self.choices.items()))
            if expires > now and len(self.choices) <= MAX_CHOICES:
                return
            del self.choices[initial_id]
