"""Gossip of the view among the processes, and election of the store's readers.

Every process sends digests of its view to random peers and pulls the changes from a
peer whose digest is newer.  A few processes read the store and claim so in their
digests; a process whose view is not confirmed by a reader in time starts to read.
"""

from collections.abc import Iterable
from math import inf
from random import Random
from zlib import crc32

from balsamtide.fleet.load_exchange import LoadExchange
from balsamtide.fleet.merge import LAPSE_GRACE_S, newer_view
from balsamtide.fleet.view import FleetView
from balsamtide.fleet.view_exchange import ViewExchange
from balsamtide.protocol.flow_actions import Action, SendFrame
from balsamtide.protocol.flow_frames import MAX_CLAIMS, Digest, ReaderClaim
from balsamtide.protocol.view_frames import PullRequest, ViewPiece

__all__ = ["ViewGossip"]

# Anti-entropy period, for updates that were missed.
DIGEST_PERIOD_S = 0.25
# Peers that get a digest at once after an update.  They send digests in turn after they
# applied it, so that four rounds reach 200 processes.
UPDATE_FANOUT = 3
# Updates that follow within this time are announced together.  While the targets of a
# service return or are replaced, the messages of a process thus follow from this period
# and not from the number of targets.
UPDATE_GAP_S = 0.04
# A confirmation that is newer by at least this much is sent on at once.
CONFIRMATION_STEP_S = 0.3
# A process starts to read when the view was not confirmed for two watches of a healthy
# reader, which last at most 0.7 s each.  Processes take over in the order of a hash of
# their addresses; each doubling of the number of processes before this one adds another
# step, so that few start at once in a fleet of any size.
TAKEOVER_S = 1.4
TAKEOVER_STEP_S = 0.15
# Replaces TAKEOVER_S for a process that has seen no reader since its start, as after a
# power loss of the whole fleet.  Lasts several round trips of a digest and its reply.
FIRST_TAKEOVER_S = 0.1
# A reader without a successful read for this long does not count as one.
CLAIM_LEASE_S = 1.5
# A view that no reader confirmed for this long is too old to refuse flows by it.
FRESH_S = 2.0
# A first peer whose view was not confirmed for this long has lost the store.  Entries
# of live targets lapse after a longer outage only.
OUTAGE_AGE_S = 1.5
# A peer without a digest for this long gets no more digests.
PEER_LEASE_S = 10.0
# A started process waits this long for a peer's view before it reads the store, unless
# it is a seed or among the first by rank.  Several round trips, and the read of another
# process that started at the same time.
JOIN_WAIT_S = 0.15
# Every so many processes of a started fleet read at once.
FIRST_READERS_ONE_IN = 12
# Period of the digests of a process without a view.
JOIN_DIGEST_PERIOD_S = 0.05
# Smaller differences of the settling time come from transit times.
SETTLING_STEP_S = 0.05


class ViewGossip:
    """The view of one process and its part in the gossip.

    Parameters
    ----------
    host : int
        IPv4 address of this instance, as a number.
    seeds : iterable of int
        Instances to contact while no targets and peers are known.
    random : Random
        Chooses peers and delays.
    now : float
        Local time in seconds.
    loads : LoadExchange or None
        Loads of targets that are sent and received with digests.
    """

    def __init__(
        self,
        *,
        host: int,
        seeds: Iterable[int],
        random: Random,
        now: float,
        loads: LoadExchange | None = None,
    ) -> None:
        self.host = host
        self.loads = loads
        self.set_seeds(seeds)
        self.random = random
        self.view = FleetView()
        self.confirmed_at = -inf
        self.peers: dict[int, float] = {}
        self.readers: dict[int, float] = {}
        self.has_seen_reader = False
        self.has_seen_peer = False
        # Last successful read if this process is a reader, otherwise -inf.
        self.local_claim_at = -inf
        self.digest_at = now
        # Earliest time to announce the next update; whether one waits for that.
        self.update_at = now
        self.has_unsent_update = False
        self.read_at = self._first_read_time(now)
        self.exchange = ViewExchange()

    def set_seeds(self, seeds: Iterable[int]) -> None:
        """Set the seed instances; this instance is left out."""
        known = set(seeds)
        self.is_seed = self.host in known
        self.seeds = known - {self.host}

    # State

    def age(self, now: float) -> float:
        """Return the seconds since a reader confirmed this view as the newest."""
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Whether the view is recent enough to refuse flows by it."""
        return self.view.revision >= 0 and self.age(now) < FRESH_S

    def is_settled(self, now: float) -> bool:
        """Whether all live targets are listed, as far as the fleet knows.

        Until it gets a digest of a peer, a process that has just started can't know
        whether the store was unavailable before.
        """
        return self.has_seen_peer and now >= self.view.settles_at

    def known_hosts(self, now: float) -> list[int]:
        """Return the instances that get digests, in ascending order."""
        hosts = {
            h
            for h, last_seen_at in self.peers.items()
            if now < last_seen_at + PEER_LEASE_S
        }
        hosts.update(target.host for target in self.view.targets.values())
        hosts.update(self.seeds)
        hosts.discard(self.host)
        return sorted(hosts)

    # Reading the store

    def _first_read_time(self, now: float) -> float:
        """Return when this process reads the store if no peer has sent a view."""
        is_first = _host_rank(self.host) % FIRST_READERS_ONE_IN == 0
        if is_first or self.is_seed or not self.seeds:
            return now
        return now + JOIN_WAIT_S

    def should_read(self, now: float) -> bool:
        """Whether this process should read the store now."""
        if self.view.revision < 0:
            return now >= self.read_at
        if self.local_claim_at > -inf:
            return not self._has_preferred_reader(now)
        timeout_s = TAKEOVER_S if self.has_seen_reader else FIRST_TAKEOVER_S
        return self.age(now) > timeout_s + self._takeover_delay(now)

    def _has_preferred_reader(self, now: float) -> bool:
        local_rank = _host_rank(self.host)
        return any(
            now < claim_at + CLAIM_LEASE_S and _host_rank(host) < local_rank
            for host, claim_at in self.readers.items()
        )

    def _takeover_delay(self, now: float) -> float:
        """Return the extra seconds that this process waits by its rank."""
        local_rank = _host_rank(self.host)
        before = sum(
            1 for host in self.known_hosts(now) if _host_rank(host) < local_rank
        )
        return TAKEOVER_STEP_S * ((before + 1).bit_length() - 1)

    def apply_store_view(self, view: FleetView, now: float) -> list[Action]:
        """Apply a view read from the store; return the digests to send."""
        is_first = self.view.revision < 0
        self._set_view(newer_view(self.view, view, now))
        self.confirmed_at = now
        # All processes read once at their start; only a later read makes a reader.
        if not is_first:
            self.local_claim_at = now
        return self._announce_update(now)

    def withdraw_claim(self) -> None:
        """Stop claiming to be a reader: a preferred one exists, or a read failed."""
        self.local_claim_at = -inf

    def _set_view(self, view: FleetView) -> None:
        self.exchange.log.record(self.view, view)
        self.view = view

    # Gossip

    def receive(
        self, frame: Digest | PullRequest | ViewPiece, source: int, now: float
    ) -> list[Action]:
        """Process a frame of a peer and return the actions to perform."""
        match frame:
            case Digest():
                return self.receive_digest(frame, source, now)
            case PullRequest():
                return self.exchange.answer(
                    frame, source, self.view, self.confirmed_at, now
                )
            case ViewPiece():
                return self._receive_piece(frame, source, now)

    def _receive_piece(self, piece: ViewPiece, source: int, now: float) -> list[Action]:
        download, actions = self.exchange.receive(piece, source, now)
        if download is None:
            return actions
        before = self.view
        view, actions = self.exchange.apply(download, before, now)
        if view is before:
            return actions
        self._set_view(view)
        self.confirmed_at = max(self.confirmed_at, download.confirmed_at)
        return actions + self._announce_update(now)

    def receive_digest(self, digest: Digest, source: int, now: float) -> list[Action]:
        """Process a peer's digest; return a reply, a pull or digests to send."""
        self.peers[source] = now
        self._record_claims(digest.claims, now)
        self._record_settling(digest, now)
        if digest.revision > self.view.revision:
            return self._catch_up(digest, source, now)
        actions: list[Action] = []
        if digest.revision == self.view.revision:
            actions = self._record_confirmation(digest, now)
        if not digest.is_reply and self._is_peer_behind(digest, now):
            actions.append(SendFrame(source, self._make_digest(now, True)))
        return actions

    def _record_settling(self, digest: Digest, now: float) -> None:
        """Record until when missing targets may come back, as far as a peer knows."""
        settles_s = digest.settles_s
        if not self.has_seen_peer and digest.revision >= 0:
            self.has_seen_peer = True
            if digest.age_s > OUTAGE_AGE_S:
                # The peer may not know yet that the store is back.
                settles_s = max(settles_s, LAPSE_GRACE_S)
        settles_at = now + settles_s
        if settles_s > 0 and settles_at > self.view.settles_at + SETTLING_STEP_S:
            self.view = self.view.changed(
                revision=self.view.revision, settles_at=settles_at
            )

    def _is_peer_behind(self, digest: Digest, now: float) -> bool:
        """Whether a peer's view or its confirmation is older than the local one."""
        if digest.revision < self.view.revision:
            return True
        return digest.age_s > self.age(now) + CONFIRMATION_STEP_S

    def _catch_up(self, digest: Digest, source: int, now: float) -> list[Action]:
        if digest.content_tag == self.view.content_tag:
            # The revision rose without a change of the content, so no pull is needed.
            self._set_view(self.view.changed(revision=digest.revision))
            return self._record_confirmation(digest, now)
        return self.exchange.pull(source, digest.revision, self.view, now)

    def _record_confirmation(self, digest: Digest, now: float) -> list[Action]:
        """Record a confirmation of this view; spread it if it is clearly newer."""
        confirmed_at = now - digest.age_s
        is_newer = confirmed_at > self.confirmed_at + CONFIRMATION_STEP_S
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return self._announce_update(now) if is_newer else []

    def _record_claims(self, claims: Iterable[ReaderClaim], now: float) -> None:
        for claim in claims:
            if claim.host != self.host:
                self.has_seen_reader = True
                claim_at = now - claim.age_s
                self.readers[claim.host] = max(
                    self.readers.get(claim.host, -inf), claim_at
                )

    @property
    def deadline(self) -> float:
        """Time of the next call of `tick`."""
        update_at = self.update_at if self.has_unsent_update else inf
        return min(self.digest_at, update_at, self.exchange.deadline)

    def tick(self, now: float) -> list[Action]:
        """Return the periodic digest and repeated requests, if they are due."""
        actions = self.exchange.tick(self.view, now)
        if self.has_unsent_update:
            actions += self._announce_update(now)
        if now < self.digest_at:
            return actions
        has_view = self.view.revision >= 0
        period_s = DIGEST_PERIOD_S if has_view else JOIN_DIGEST_PERIOD_S
        self.digest_at = now + period_s * self.random.uniform(0.8, 1.2)
        self._expire(now)
        return actions + self._send_digests(1 if has_view else UPDATE_FANOUT, now)

    def _expire(self, now: float) -> None:
        self.peers = {h: t for h, t in self.peers.items() if now < t + PEER_LEASE_S}
        self.readers = {
            h: t for h, t in self.readers.items() if now < t + CLAIM_LEASE_S
        }

    def _announce_update(self, now: float) -> list[Action]:
        """Send digests to some peers, or later if an update was just announced."""
        self.has_unsent_update = now < self.update_at
        if self.has_unsent_update:
            return []
        self.update_at = now + UPDATE_GAP_S
        return self._send_digests(UPDATE_FANOUT, now)

    def _send_digests(self, count: int, now: float) -> list[Action]:
        hosts = self.known_hosts(now)
        chosen = self.random.sample(hosts, min(count, len(hosts)))
        digest = self._make_digest(now, False)
        return [SendFrame(host, digest) for host in chosen]

    def _make_digest(self, now: float, is_reply: bool) -> Digest:
        claims = [
            ReaderClaim(host, now - claim_at)
            for host, claim_at in self.readers.items()
            if now < claim_at + CLAIM_LEASE_S
        ]
        if self.local_claim_at > -inf:
            claims.append(ReaderClaim(self.host, now - self.local_claim_at))
        claims.sort(key=_claim_rank)
        return Digest(
            revision=self.view.revision,
            content_tag=self.view.content_tag,
            age_s=self.age(now),
            settles_s=max(0.0, self.view.settles_at - now),
            claims=tuple(claims[:MAX_CLAIMS]),
            is_reply=is_reply,
        )


def _host_rank(host: int) -> int:
    """Return the rank of a host, equal in all processes; lower ones are preferred."""
    return crc32(host.to_bytes(4, "big"))


def _claim_rank(claim: ReaderClaim) -> int:
    return _host_rank(claim.host)
