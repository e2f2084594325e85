"""Gossip of the view among the processes, and election of the store's readers.

Every process sends digests of its view to random peers and pulls the changes from a
peer whose digest is newer.  A few processes read the store and claim so in their
digests; a process whose view is not confirmed by a reader in time starts to read.
"""

from collections.abc import Iterable
from dataclasses import replace
from math import inf
from random import Random
from zlib import crc32

from balsamtide.fleet.carry_over import CarryOver
from balsamtide.fleet.eras import digest_position, era_bits
from balsamtide.fleet.load_exchange import LoadExchange
from balsamtide.fleet.merge import LAPSE_GRACE_S, forgotten_targets, newer_view
from balsamtide.fleet.view import FleetView
from balsamtide.fleet.view_exchange import ViewExchange
from balsamtide.protocol.flow_actions import Action, SendFrame
from balsamtide.protocol.flow_frames import (
    MAX_CLAIMS,
    MAX_LOAD_REPORTS,
    Digest,
    LoadReport,
    ReaderClaim,
)
from balsamtide.protocol.view_frames import PullRequest, ViewPiece

__all__ = ["ViewGossip"]

Loads = tuple[LoadReport, ...]

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
# Least time between two pulls of whole views whose position is the same but whose
# contents differ, so that a lasting difference costs one view a second at most.
RESOLVE_GAP_S = 1.0


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
        # Decisions follow `view`.  Peers compare `shared_view`, which differs from it
        # only while something of an earlier era is kept in `carry_over`; `store_view`
        # holds the shared view then.
        self.view = FleetView()
        self.store_view = FleetView()
        self.carry_over: CarryOver | None = None
        self.confirmed_at = -inf
        self.peers: dict[int, float] = {}
        # Peers that accept loads with digests, and so know eras and evacuations.
        self.load_peers: set[int] = set()
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
        # Since when evacuations and warm-ups may be missing.
        self.incomplete_since = inf
        self.resolve_at = now
        # Until when peers may keep something of an earlier era that this process can't
        # know, since its first view came from the store.
        self.lacks_kept_until = -inf
        # When forgotten targets were last removed.
        self.pruned_at = -inf

    def set_seeds(self, seeds: Iterable[int]) -> None:
        """Set the seed instances; this instance is left out."""
        known = set(seeds)
        self.is_seed = self.host in known
        self.seeds = known - {self.host}

    # State

    @property
    def shared_view(self) -> FleetView:
        """The view without what is kept of an earlier era, which peers compare."""
        return self.view if self.carry_over is None else self.store_view

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
        if self.should_list(now):
            return True
        if self.local_claim_at > -inf:
            return not self._has_preferred_reader(now)
        timeout_s = TAKEOVER_S if self.has_seen_reader else FIRST_TAKEOVER_S
        return self.age(now) > timeout_s + self._takeover_delay(now)

    def is_unread(self, now: float) -> bool:
        """Whether a known view was not confirmed within the time of a takeover.

        The store may have been unavailable meanwhile, and back since.
        """
        return self.view.revision >= 0 and TAKEOVER_S < self.age(now) < inf

    def should_list(self, now: float) -> bool:
        """Whether the store should be listed for what earlier builds do not pass on.

        Processes that have it share it meanwhile, so that few list the store.
        """
        due_at = self.incomplete_since + TAKEOVER_S
        return now > due_at and now > due_at + self._takeover_delay(now)

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
        """Apply a view read from the store; return the digests to send.

        ``view`` was merged with `shared_view`.
        """
        before = self.shared_view
        if view.era < before.era:
            return []
        is_first = before.revision < 0
        self._set_view(newer_view(before, view, now), now=now)
        self.confirmed_at = now
        # All processes read once at their start; only a later read makes a reader.
        if not is_first:
            self.local_claim_at = now
        elif view.era > 0:
            self.lacks_kept_until = now + LAPSE_GRACE_S
        return self._announce_update(now)

    def withdraw_claim(self) -> None:
        """Stop claiming to be a reader: a preferred one exists, or a read failed."""
        self.local_claim_at = -inf

    def _set_view(
        self,
        view: FleetView,
        *,
        now: float = -inf,
        received: CarryOver | None = None,
    ) -> None:
        """Replace the shared view.

        Parameters
        ----------
        view : FleetView
            The new view.
        now : float
            Local time in seconds; needed for a view of another era.
        received : CarryOver or None
            What the peer that sent the view keeps of an earlier era.
        """
        before = self.shared_view
        carry_over = self._next_carry_over(view, now, received)
        self.exchange.log.record(before, view)
        self.carry_over = carry_over
        self.store_view = view
        self.view = view if carry_over is None else carry_over.laid_over(view)
        if view.is_complete:
            self.incomplete_since = inf
        else:
            self.incomplete_since = min(self.incomplete_since, now)

    def _next_carry_over(
        self, view: FleetView, now: float, received: CarryOver | None
    ) -> CarryOver | None:
        before = self.shared_view
        carry_over = self.carry_over
        if before.revision < 0:
            carry_over = received
        elif view.era != before.era:
            ends_at = now + LAPSE_GRACE_S
            carry_over = CarryOver.between(self.view, view, ends_at).joined(received)
        elif carry_over is not None:
            carry_over = carry_over.joined(received)
        elif now < self.lacks_kept_until:
            carry_over = received
        if carry_over is None or now >= carry_over.ends_at:
            return None
        return carry_over.reduced(view)

    def _end_grace_periods(self, now: float) -> None:
        """Remove what is kept of an earlier era, and targets that did not come back."""
        if self.carry_over is not None and now >= self.carry_over.ends_at:
            self.carry_over = None
            self.view = self.store_view
        if now >= self._prune_at:
            self.pruned_at = now
            view = self.shared_view
            forgotten = forgotten_targets(view, now)
            if forgotten:
                after = view.changed(revision=view.revision, targets=forgotten)
                self._set_view(after, now=now)

    @property
    def _prune_at(self) -> float:
        # Lapsed targets are kept until the view settles, but for rounding on the wire.
        settles_at = self.shared_view.settles_at
        return settles_at + SETTLING_STEP_S if settles_at > self.pruned_at else inf

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
                    frame,
                    source,
                    self.shared_view,
                    self.confirmed_at,
                    now,
                    carry_over=self.carry_over,
                )
            case ViewPiece():
                return self._receive_piece(frame, source, now)

    def _receive_piece(self, piece: ViewPiece, source: int, now: float) -> list[Action]:
        download, actions = self.exchange.receive(piece, source, now)
        if download is None:
            return actions
        before = self.shared_view
        view, received, actions = self.exchange.apply(download, before, now)
        is_kept_news = received is not None and now < self.lacks_kept_until
        if view is before and not is_kept_news:
            return actions
        self._set_view(view, now=now, received=received)
        if is_kept_news:
            self.lacks_kept_until = -inf
        self.confirmed_at = max(self.confirmed_at, download.confirmed_at)
        return actions + self._announce_update(now)

    def receive_digest(self, digest: Digest, source: int, now: float) -> list[Action]:
        """Process a peer's digest; return a reply, a pull or digests to send."""
        self.peers[source] = now
        self._record_loads(digest, source, now)
        view = self.shared_view
        position = digest_position(digest, view.era)
        if position[0] >= view.era:
            # A reader of an earlier era may not know yet that the store was restored,
            # and one of an earlier build can't tell.
            self._record_claims(digest.claims, now)
        self._record_settling(digest, now)
        if position > view.position:
            return self._catch_up(digest, position, source, now)
        actions: list[Action] = []
        if position == view.position:
            actions = self._record_confirmation(digest, now)
            actions += self._resolve_difference(digest, source, now)
        if not digest.is_reply and self._is_peer_behind(digest, position, now):
            actions.append(SendFrame(source, self._make_digest(now, True)))
        return actions

    def _record_loads(self, digest: Digest, source: int, now: float) -> None:
        if digest.understands_loads:
            self.load_peers.add(source)
        else:
            # An earlier build may have taken the place of a later one.
            self.load_peers.discard(source)
        if self.loads is not None and digest.loads:
            self.loads.receive(digest.loads, now)

    def _resolve_difference(
        self, digest: Digest, source: int, now: float
    ) -> list[Action]:
        """Pull the whole view if a peer's contents differ at the same position.

        The same if the peer may keep something of an earlier era.

        Without eras, only an update of an earlier build leaves such a difference.
        """
        view = self.shared_view
        differs = view.era > 0 and digest.content_tag != view.content_tag
        is_missing = not view.is_complete and digest.understands_loads
        lacks_kept = now < self.lacks_kept_until and digest.settles_s > 0
        if now < self.resolve_at or not (differs or is_missing or lacks_kept):
            return []
        self.resolve_at = now + RESOLVE_GAP_S
        return self.exchange.pull(source, view.position, view, now, whole=True)

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
            if self.carry_over is not None:
                self.store_view = self.store_view.changed(
                    revision=self.store_view.revision, settles_at=settles_at
                )
            self.view = self.view.changed(
                revision=self.view.revision, settles_at=settles_at
            )

    def _is_peer_behind(
        self, digest: Digest, position: tuple[int, int], now: float
    ) -> bool:
        """Whether a peer's view or its confirmation is older than the local one."""
        if position < self.shared_view.position:
            return True
        return digest.age_s > self.age(now) + CONFIRMATION_STEP_S

    def _catch_up(
        self, digest: Digest, position: tuple[int, int], source: int, now: float
    ) -> list[Action]:
        view = self.shared_view
        is_missing = not view.is_complete and digest.understands_loads
        has_same_era = position[0] == view.era
        has_same_content = digest.content_tag == view.content_tag
        if has_same_era and has_same_content and not is_missing:
            # The revision rose without a change of the content, so no pull is needed.
            after = view.changed(revision=digest.revision)
            if view.is_complete and not digest.understands_loads:
                # The tag of an earlier build shows no evacuations and warm-ups.
                after = replace(after, is_complete=False)
            self._set_view(after, now=now)
            return self._record_confirmation(digest, now)
        return self.exchange.pull(source, position, view, now, whole=is_missing)

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
        kept_until = inf if self.carry_over is None else self.carry_over.ends_at
        return min(
            self.digest_at,
            update_at,
            self.exchange.deadline,
            kept_until,
            self._prune_at,
        )

    def tick(self, now: float) -> list[Action]:
        """Return the periodic digest and repeated requests, if they are due."""
        self._end_grace_periods(now)
        actions = self.exchange.tick(self.shared_view, now)
        if self.has_unsent_update:
            actions += self._announce_update(now)
        if now < self.digest_at:
            return actions
        has_view = self.view.revision >= 0
        period_s = DIGEST_PERIOD_S if has_view else JOIN_DIGEST_PERIOD_S
        self.digest_at = now + period_s * self.random.uniform(0.8, 1.2)
        self._expire(now)
        count = 1 if has_view else UPDATE_FANOUT
        return actions + self._send_digests(count, now, with_loads=True)

    def _expire(self, now: float) -> None:
        self.peers = {h: t for h, t in self.peers.items() if now < t + PEER_LEASE_S}
        self.load_peers &= self.peers.keys()
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

    def _send_digests(
        self, count: int, now: float, *, with_loads: bool = False
    ) -> list[Action]:
        """Send digests to random peers, with loads only where the rate is fixed.

        Updates follow each other quickly in a release; loads would triple their size.
        """
        hosts = self.known_hosts(now)
        chosen = self.random.sample(hosts, min(count, len(hosts)))
        digest = self._make_digest(now, False)
        loads = self._outgoing_loads(chosen, now) if with_loads else ()
        return [self._send_digest(host, digest, loads) for host in chosen]

    def _send_digest(self, host: int, digest: Digest, loads: Loads) -> SendFrame:
        if loads and host in self.load_peers:
            digest = replace(digest, loads=loads)
        return SendFrame(host, digest)

    def _outgoing_loads(self, hosts: Iterable[int], now: float) -> Loads:
        """Return the loads to send if one of some peers accepts them."""
        if self.loads is None or self.load_peers.isdisjoint(hosts):
            return ()
        return self.loads.outgoing(now)[:MAX_LOAD_REPORTS]

    def _make_digest(self, now: float, is_reply: bool) -> Digest:
        claims = [
            ReaderClaim(host, now - claim_at)
            for host, claim_at in self.readers.items()
            if now < claim_at + CLAIM_LEASE_S
        ]
        if self.local_claim_at > -inf:
            claims.append(ReaderClaim(self.host, now - self.local_claim_at))
        claims.sort(key=_claim_rank)
        view = self.shared_view
        return Digest(
            revision=view.revision,
            content_tag=view.content_tag,
            age_s=self.age(now),
            settles_s=max(0.0, view.settles_at - now),
            claims=tuple(claims[:MAX_CLAIMS]),
            is_reply=is_reply,
            era_bits=era_bits(view.era),
            understands_loads=True,
        )


def _host_rank(host: int) -> int:
    """Return the rank of a host, equal in all processes; lower ones are preferred."""
    return crc32(host.to_bytes(4, "big"))


def _claim_rank(claim: ReaderClaim) -> int:
    return _host_rank(claim.host)
