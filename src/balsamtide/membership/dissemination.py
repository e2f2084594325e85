"""Dissemination strategies: recipients of updates and anti-entropy."""

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
    """Chooses recipients of pushes and peers for digest exchanges.

    Parameters
    ----------
    partial_view : PartialView
        Partial view of the fleet.
    limits : MembershipLimits
        Fan-out and exchange period.
    """

    def __init__(self, partial_view: PartialView, limits: MembershipLimits) -> None:
        self.partial_view = partial_view
        self.limits = limits

    def update(self, instances: Sequence[Instance]) -> None:
        """Replace the instance list."""
        self.partial_view.update(instances)

    @abstractmethod
    def recipients(self, is_usable: IsUsable, *, is_origin: bool) -> list[Endpoint]:
        """Return the recipients of a push.

        Parameters
        ----------
        is_usable : callable
            Returns whether a peer is neither suspect nor in a marked zone.
        is_origin : bool
            Whether the update originates here, as opposed to being forwarded.
        """

    @property
    def exchange_period_s(self) -> float:
        """Time between digest exchanges, seconds; infinite if there are none."""
        return self.limits.exchange_period_s

    def exchange_peer(self, is_usable: IsUsable) -> Endpoint | None:
        """Return a random peer, with a small probability from a remote zone."""
        zone_size = len(self.partial_view.zone_peers) + len(self.partial_view.unlisted)
        total = zone_size + len(self.partial_view.remote_peers)
        if total == 0:
            return None
        # A zone starts about ``remote_pushes`` exchanges with remote zones per period,
        # but at most a quarter of its exchanges.
        probability = self.limits.remote_pushes / max(self.partial_view.zone_size, 1)
        is_remote = (
            self.partial_view.random.random() < min(probability, 0.25) or zone_size == 0
        )
        if is_remote and self.partial_view.remote_peers:
            found = self.partial_view.pick_remote(1, is_usable)
        else:
            found = self.partial_view.pick_zone(1, is_usable)
        return found[0] if found else None


class PushOnly(Dissemination):
    """Pushes updates once to random peers; losses are not repaired."""

    def recipients(self, is_usable: IsUsable, *, is_origin: bool) -> list[Endpoint]:
        """Return random peers, most of them in the local zone."""
        found = self.partial_view.pick_zone(self.limits.fan_out, is_usable)
        return found + self._remote_recipients(is_usable, is_origin)

    def _remote_recipients(
        self, is_usable: IsUsable, is_origin: bool
    ) -> list[Endpoint]:
        """Return remote peers.

        The members that forward an update pick one each with such a probability that a
        zone sends ``remote_pushes`` in expectation; the origin always picks one.  A
        member whose zone has too few peers fills up to ``fan_out``.
        """
        shortfall = self.limits.fan_out - len(self.partial_view.zone_peers)
        probability = self.limits.remote_pushes / self.partial_view.zone_size
        if is_origin or self.partial_view.random.random() < probability:
            return self.partial_view.pick_remote(max(1, shortfall), is_usable)
        return (
            self.partial_view.pick_remote(shortfall, is_usable) if shortfall > 0 else []
        )

    @property
    def exchange_period_s(self) -> float:
        """Infinity, since there are no exchanges."""
        return float("inf")


class PushWithExchange(PushOnly):
    """Pushes updates to random peers and repairs losses by digest exchange."""

    @property
    def exchange_period_s(self) -> float:
        """Time between digest exchanges, seconds."""
        return self.limits.exchange_period_s


class RelayTree(Dissemination):
    """Forwards along a tree of all instances and repairs losses by digest exchange.

    All members sort the list by a hash of the names; the member at position ``i``
    forwards to positions ``i * fan_out + 1`` to ``i * fan_out + fan_out``.
    """

    def __init__(self, partial_view: PartialView, limits: MembershipLimits) -> None:
        super().__init__(partial_view, limits)
        self.root: list[Endpoint] = []
        self.children: list[Endpoint] = []

    def update(self, instances: Sequence[Instance]) -> None:
        """Replace the instance list; only the root and the local children are kept."""
        super().update(instances)
        order = sorted(
            instances, key=lambda each: xxh3_64_intdigest(each.name.encode())
        )
        names = [each.name for each in order]
        if self.partial_view.local.name not in names:
            self.root, self.children = [], []
            return
        position = names.index(self.partial_view.local.name)
        first = position * self.limits.fan_out + 1
        children = order[first : first + self.limits.fan_out]
        self.children = [each.inner for each in children]
        self.root = [order[0].inner] if position else []

    def recipients(self, is_usable: IsUsable, *, is_origin: bool) -> list[Endpoint]:
        """Return the local children, and also the root for an update from here."""
        return self.children + (self.root if is_origin else [])
