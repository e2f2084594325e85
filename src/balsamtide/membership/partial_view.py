"""Partial view of the fleet: the bounded set of peers a member contacts."""

from collections import OrderedDict
from collections.abc import Callable, Container, Sequence
from random import Random

from balsamtide.config.port import Instance
from balsamtide.membership.limits import MembershipLimits
from balsamtide.protocol.messages import Endpoint

__all__ = ["PartialView"]


class PartialView:
    """A bounded random sample of the instance list, plus unlisted senders.

    Every member draws its own sample, so the union of all views is a random graph,
    which remains connected when members fail.

    Parameters
    ----------
    local : Instance
        The local instance, which is never a peer.
    limits : MembershipLimits
        Sizes of the samples.
    random : Random
        Random source for the samples.
    """

    def __init__(
        self, local: Instance, *, limits: MembershipLimits, random: Random
    ) -> None:
        self.local = local
        self.limits = limits
        self.random = random
        self.zone_peers: list[Instance] = []
        self.remote_peers: list[Instance] = []
        self.unlisted: OrderedDict[str, Endpoint] = OrderedDict()
        self.by_endpoint: dict[Endpoint, Instance] = {}
        self.zone_size = 1
        self.by_name: dict[str, Instance] = {}

    def update(self, instances: Sequence[Instance]) -> None:
        """Draw a new sample from the platform's instance list."""
        others = [other for other in instances if other.name != self.local.name]
        zone = [other for other in others if other.zone == self.local.zone]
        remote = [other for other in others if other.zone != self.local.zone]
        self.zone_size = len(zone) + 1
        self.zone_peers = self._sample(zone, self.limits.zone_peers)
        self.remote_peers = self._stratified_sample(remote)
        view = [*self.zone_peers, *self.remote_peers]
        self.by_endpoint = {peer.inner: peer for peer in view}
        self.by_name = {peer.name: peer for peer in view}
        for name in self.by_name.keys() & self.unlisted.keys():
            del self.unlisted[name]

    def _sample(self, instances: list[Instance], size: int) -> list[Instance]:
        if len(instances) <= size:
            return instances
        return self.random.sample(instances, size)

    def _stratified_sample(self, remote: list[Instance]) -> list[Instance]:
        """Sample each remote zone equally, so that small zones are represented."""
        zones: dict[str, list[Instance]] = {}
        for other in remote:
            zones.setdefault(other.zone, []).append(other)
        if not zones:
            return []
        sample_size = max(1, self.limits.remote_peers // len(zones))
        return [
            peer
            for zone in sorted(zones)
            for peer in self._sample(zones[zone], sample_size)
        ]

    def record_sender(self, name: str, source: Endpoint) -> None:
        """Remember an unlisted sender; the least recent one is evicted when full."""
        if name in self.by_name or name == self.local.name:
            return
        self.unlisted[name] = source
        self.unlisted.move_to_end(name)
        if len(self.unlisted) > self.limits.unlisted_peers:
            self.unlisted.popitem(last=False)

    @property
    def listed(self) -> list[Instance]:
        """Peers of the view that are in the instance list."""
        return [*self.zone_peers, *self.remote_peers]

    def zone_of(self, name: str) -> str | None:
        """Return the zone of a listed peer, or None if it is not in the view."""
        peer = self.by_name.get(name)
        return None if peer is None else peer.zone

    def in_zone(
        self, zone: str, count: int, excluded: Container[str]
    ) -> list[Instance]:
        """Return up to ``count`` listed peers of a remote zone, less ``excluded``."""
        found = [
            peer
            for peer in self.remote_peers
            if peer.zone == zone and peer.name not in excluded
        ]
        return found[:count]

    def pick_zone(
        self, count: int, is_usable: Callable[[Instance], bool]
    ) -> list[Endpoint]:
        """Return up to ``count`` random endpoints of the local zone.

        If it has too few, unlisted senders are added, whose zone is unknown.
        """
        found = [peer.inner for peer in self.zone_peers if is_usable(peer)]
        if len(found) < count:
            found += list(self.unlisted.values())
        return found if len(found) <= count else self.random.sample(found, count)

    def pick_remote(
        self, count: int, is_usable: Callable[[Instance], bool]
    ) -> list[Endpoint]:
        """Return up to ``count`` random endpoints of remote zones."""
        found = [peer.inner for peer in self.remote_peers if is_usable(peer)]
        return found if len(found) <= count else self.random.sample(found, count)
