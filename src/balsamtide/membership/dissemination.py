"""Three ways of choosing to whom news goes and whether it is repaired."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from xxhash import xxh3_64_intdigest

from balsamtide.config.port import Instance
from balsamtide.membership.limits import MembershipLimits
from balsamtide.membership.partial_view import PartialView
from balsamtide.protocol.messages import Endpoint

__all__ = ["Dissemination", "PushOnly", "PushWithExchange", "RelayTree"]

IsUsable = Callable[[Instance], bool]


class Dissemination(ABC):
    """Chooses recipients of news and partners of digest exchanges.

    Parameters
    ----------
    peers : PartialView
        The partial view.
    limits : MembershipLimits
        Fan-out and period.
    """

    def __init__(self, peers: PartialView, limits: MembershipLimits) -> None:
        self.peers = peers
        self.limits = limits

    def update(self, instances: Sequence[Instance]) -> None:
        """Take a new list of instances."""
        self.peers.update(instances)

    @abstractmethod
    def recipients(self, is_usable: IsUsable, *, is_origin: bool) -> list[Endpoint]:
        """Return to whom news goes.

        Parameters
        ----------
        is_usable : callable
            Tells whether a peer is believed to be alive.
        is_origin : bool
            Whether the news started here.
        """

    @property
    def exchange_period_s(self) -> float:
        """Time between digest exchanges, seconds; infinite without them."""
        return self.limits.exchange_period_s

    def exchange_peer(self, is_usable: IsUsable) -> Endpoint | None:
        """Return a random partner, from another zone with a small probability."""
        zone_size = len(self.peers.zone_peers) + len(self.peers.unlisted)
        total = zone_size + len(self.peers.remote_peers)
        if total == 0:
            return None
        share = self.limits.remote_pushes / max(self.peers.zone_size, 1)
        is_remote = self.peers.random.random() < min(share, 0.25) or zone_size == 0
        if is_remote and self.peers.remote_peers:
            found = self.peers.pick_remote(1, is_usable)
        else:
            found = self.peers.pick_zone(1, is_usable)
        return found[0] if found else None


class PushOnly(Dissemination):
    """Pushes news once to a fan-out; what gets lost is not repaired."""

    def recipients(self, is_usable: IsUsable, *, is_origin: bool) -> list[Endpoint]:
        """Return random peers, most of them of the own zone."""
        found = self.peers.pick_zone(self.limits.fan_out, is_usable)
        return found + self._remote_recipients(is_usable, is_origin)

    def _remote_recipients(
        self, is_usable: IsUsable, is_origin: bool
    ) -> list[Endpoint]:
        """Return one peer of another zone, so often that a zone sends a few in all."""
        missing = self.limits.fan_out - len(self.peers.zone_peers)
        share = self.limits.remote_pushes / self.peers.zone_size
        if is_origin or self.peers.random.random() < share:
            return self.peers.pick_remote(max(1, missing), is_usable)
        return self.peers.pick_remote(missing, is_usable) if missing > 0 else []

    @property
    def exchange_period_s(self) -> float:
        """Infinite: there are no exchanges."""
        return float("inf")


class PushWithExchange(PushOnly):
    """Pushes news to a fan-out, and repairs by periodic exchange of digests."""

    @property
    def exchange_period_s(self) -> float:
        """Time between digest exchanges, seconds."""
        return self.limits.exchange_period_s


class RelayTree(Dissemination):
    """Forwards along a tree over the live list, and repairs by digest exchange.

    All members order the list by a hash of the names; the member at position ``i``
    forwards to positions ``i * fan_out + 1`` to ``i * fan_out + fan_out``.
    """

    def __init__(self, peers: PartialView, limits: MembershipLimits) -> None:
        super().__init__(peers, limits)
        self.root: list[Endpoint] = []
        self.children: list[Endpoint] = []

    def update(self, instances: Sequence[Instance]) -> None:
        """Take a new list and keep only the root and the own children."""
        super().update(instances)
        order = sorted(
            instances, key=lambda each: xxh3_64_intdigest(each.name.encode())
        )
        names = [each.name for each in order]
        if self.peers.local.name not in names:
            self.root, self.children = [], []
            return
        position = names.index(self.peers.local.name)
        first = position * self.limits.fan_out + 1
        children = order[first : first + self.limits.fan_out]
        self.children = [each.inner for each in children]
        self.root = [order[0].inner] if position else []

    def recipients(self, is_usable: IsUsable, *, is_origin: bool) -> list[Endpoint]:
        """Return the own children, and the root too for news that starts here."""
        return self.children + (self.root if is_origin else [])
