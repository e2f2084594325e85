"""The partial view: the few peers that a member knows and talks to."""

from collections import OrderedDict
from collections.abc import Callable, Container, Sequence
from random import Random

from balsamtide.config.port import Instance
from balsamtide.membership.limits import MembershipLimits
from balsamtide.protocol.messages import Endpoint

__all__ = ["Peers"]


class Peers:
    """A bounded random sample of the list, plus peers that were heard from.

    Every member draws its own sample, so the union of all views is a random graph,
    which stays connected when members fail.

    Parameters
    ----------
    own : Instance
        The own instance, never a peer.
    limits : MembershipLimits
        Sizes of the samples.
    random : Random
        Source of the samples.
    """

    def __init__(
        self, own: Instance, *, limits: MembershipLimits, random: Random
    ) -> None:
        self.own = own
        self.limits = limits
        self.random = random
        self.zone_peers: list[Instance] = []
        self.remote_peers: list[Instance] = []
        self.heard: OrderedDict[str, Endpoint] = OrderedDict()
        self.by_endpoint: dict[Endpoint, Instance] = {}
        self.zone_size = 1
        self.known: dict[str, Instance] = {}

    def update(self, instances: Sequence[Instance]) -> None:
        """Draw a new view from the platform's list."""
        others = [other for other in instances if other.name != self.own.name]
        zone = [other for other in others if other.zone == self.own.zone]
        remote = [other for other in others if other.zone != self.own.zone]
        self.zone_size = len(zone) + 1
        self.zone_peers = self._sample(zone, self.limits.zone_peers)
        self.remote_peers = self._spread_sample(remote)
        view = [*self.zone_peers, *self.remote_peers]
        self.by_endpoint = {peer.inner: peer for peer in view}
        self.known = {peer.name: peer for peer in view}
        for name in self.known.keys() & self.heard.keys():
            del self.heard[name]

    def _sample(self, instances: list[Instance], size: int) -> list[Instance]:
        if len(instances) <= size:
            return instances
        return self.random.sample(instances, size)

    def _spread_sample(self, remote: list[Instance]) -> list[Instance]:
        """Sample all other zones alike, so that no small one is left out."""
        zones: dict[str, list[Instance]] = {}
        for other in remote:
            zones.setdefault(other.zone, []).append(other)
        if not zones:
            return []
        share = max(1, self.limits.remote_peers // len(zones))
        return [
            peer for zone in sorted(zones) for peer in self._sample(zones[zone], share)
        ]

    def hear(self, name: str, source: Endpoint) -> None:
        """Keep a sender that is not on the list, the newest ones only."""
        if name in self.known or name == self.own.name:
            return
        self.heard[name] = source
        self.heard.move_to_end(name)
        if len(self.heard) > self.limits.heard_peers:
            self.heard.popitem(last=False)

    @property
    def all(self) -> list[Instance]:
        """Listed peers of the view."""
        return [*self.zone_peers, *self.remote_peers]

    def zone_of(self, name: str) -> str | None:
        """Return the zone of a listed peer of the view."""
        peer = self.known.get(name)
        return None if peer is None else peer.zone

    def witnesses(
        self, zone: str, count: int, besides: Container[str]
    ) -> list[Instance]:
        """Return up to ``count`` listed peers of another zone."""
        found = [
            peer
            for peer in self.remote_peers
            if peer.zone == zone and peer.name not in besides
        ]
        return found[:count]

    def pick_zone(
        self, count: int, is_usable: Callable[[Instance], bool]
    ) -> list[Endpoint]:
        """Return up to ``count`` random endpoints of the own zone."""
        found = [peer.inner for peer in self.zone_peers if is_usable(peer)]
        if len(found) < count:
            found += list(self.heard.values())
        return found if len(found) <= count else self.random.sample(found, count)

    def pick_remote(
        self, count: int, is_usable: Callable[[Instance], bool]
    ) -> list[Endpoint]:
        """Return up to ``count`` random endpoints of other zones."""
        found = [peer.inner for peer in self.remote_peers if is_usable(peer)]
        return found if len(found) <= count else self.random.sample(found, count)
