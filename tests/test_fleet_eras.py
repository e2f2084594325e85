"""Tests of views after the store was restored from a backup: eras and what stays."""

from dataclasses import replace
from math import inf
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from balsamtide.fleet.change_log import RouteChanges, ViewUpdate
from balsamtide.fleet.eras import digest_position, era_bits
from balsamtide.fleet.load_exchange import LoadExchange
from balsamtide.fleet.merge import (
    LAPSE_GRACE_S,
    newer_view,
    with_changes,
    with_listing,
    with_update,
)
from balsamtide.fleet.store import (
    ConfigurationChange,
    EvacuationChange,
    Listing,
    StoreChanges,
    TargetChange,
)
from balsamtide.fleet.view import FleetView, FlowTarget, TargetState, WarmUp
from balsamtide.fleet.view_exchange import ViewExchange
from balsamtide.fleet.view_gossip import RESOLVE_GAP_S, TAKEOVER_S, ViewGossip
from balsamtide.protocol.flow_actions import SendFrame
from balsamtide.protocol.flow_frames import (
    MAX_LOAD_REPORTS,
    Digest,
    LoadReport,
    ReaderClaim,
    decode_frame,
)
from balsamtide.protocol.view_frames import PullRequest
from tests.test_fleet_view import NOW, make_configuration, make_target, make_view

READY = make_target("a", started_ms=5)
DRAINING = replace(READY, state=TargetState.DRAINING)
AFTER = NOW + LAPSE_GRACE_S + 0.1


def make_gossip(host: int = 1, view: FleetView | None = None) -> ViewGossip:
    """Return the gossip of a process that may hold a view."""
    gossip = ViewGossip(host=host, seeds=(), random=Random(host), now=NOW)
    if view is not None:
        gossip.apply_store_view(view, NOW)
    return gossip


def in_era(era: int, view: FleetView) -> FleetView:
    """Return a view in an era."""
    return replace(view, era=era)


def pull(puller: ViewGossip, source: ViewGossip, now: float = NOW) -> None:
    """Let a process get a digest of another one and pull what it lacks."""
    frames = [(source.host, source._make_digest(now, True))]
    members = {puller.host: puller, source.host: source}
    while frames:
        sender, frame = frames.pop(0)
        receiver = puller if sender == source.host else source
        frame = decode_frame(frame.encode())
        for action in receiver.receive(frame, sender, now):
            if isinstance(action, SendFrame) and action.host in members:
                frames.append((receiver.host, action.frame))


@pytest.mark.parametrize(
    ("own", "other", "order"),
    [
        (0, 0, 0),
        (0, 1, 1),
        (0, 20, 1),
        (0, 32, 1),
        (1, 0, -1),
        (1, 1, 0),
        (1, 2, 1),
        (2, 1, -1),
        (31, 32, 1),
        (32, 31, -1),
        (33, 32, -1),
        (60, 75, 1),
        (75, 60, -1),
    ],
)
def test_eras_of_digests_are_ordered(own, other, order):
    """Five bits order eras that are near each other; a digest without one is behind."""
    digest = Digest(revision=7, content_tag=0, age_s=0.0, era_bits=era_bits(other))
    position = digest_position(decode_frame(digest.encode()), own)
    assert (position > (own, 7)) - (position < (own, 7)) == order


@pytest.mark.parametrize(
    ("held", "received", "is_taken"),
    [
        ((1, 90), (2, 40), True),
        ((2, 40), (1, 90), False),
        ((1, 40), (1, 90), True),
        ((1, 90), (1, 40), False),
        ((0, 90), (1, 40), True),
    ],
    ids=["later-era", "earlier-era", "later", "earlier", "first-era"],
)
def test_views_are_ordered_by_position(held, received, is_taken):
    """A later era counts whatever its revision, for listings and views of peers."""
    before = in_era(held[0], make_view(held[1], 3, READY))
    other = in_era(received[0], make_view(received[1], 2))
    listing = Listing(received[1], other.configuration, (), received[0])
    whole = ViewUpdate(
        base=-1,
        revision=received[1],
        content_tag=0,
        settles_at=-inf,
        configuration=other.configuration,
        targets={},
        era=received[0],
        evacuated_zones=frozenset(),
    )
    for after in (
        with_listing(before, listing, grace_until=-inf, now=NOW),
        newer_view(before, other, NOW),
        with_update(before, whole, NOW),
    ):
        assert after.position == max(held, received)
        assert bool(after.targets) is not is_taken
        assert after.configuration.version == 3


def test_changes_of_another_era_are_not_applied():
    """Revisions are given out again, so that changes of another era fit nothing."""
    view = in_era(1, make_view(40, 3, READY))
    removal = (TargetChange("a", None, is_removed=True),)
    for era in (0, 2):
        changes = StoreChanges(41, removal, era)
        assert with_changes(view, changes, grace_until=-inf, now=NOW) is view
    update = ViewUpdate(
        base=40,
        revision=41,
        content_tag=0,
        settles_at=-inf,
        configuration=None,
        targets={"a": None},
        era=2,
    )
    with pytest.raises(ValueError, match="era"):
        with_update(view, update, NOW)
    assert with_update(view, replace(update, era=0), NOW) is view


LAPSED, DRAINS, IS_READY = TargetState.LAPSED, TargetState.DRAINING, TargetState.READY
OLD_START, NEW_START = replace(READY, started_ms=4), replace(READY, started_ms=6)
# What the view had, what the backup has, and the state in the grace period and after.
RESTORED_TARGETS = {
    "lacking": (READY, None, LAPSED, None),
    "draining-lacking": (DRAINING, None, DRAINS, None),
    "draining-as-ready": (DRAINING, READY, DRAINS, IS_READY),
    "draining-then-started": (DRAINING, NEW_START, IS_READY, IS_READY),
    "earlier-start": (READY, OLD_START, LAPSED, IS_READY),
    "same": (READY, READY, IS_READY, IS_READY),
    "unknown": (None, READY, IS_READY, IS_READY),
    "drains-in-backup": (READY, DRAINING, DRAINS, DRAINS),
}


def restored(how: str, view: FleetView, listing: Listing) -> ViewGossip:
    """Return a process whose view a listing or a peer of a new era replaced."""
    gossip = make_gossip(1, view)
    if how == "listing":
        after = with_listing(gossip.shared_view, listing, grace_until=-inf, now=NOW)
        gossip.apply_store_view(after, NOW)
    else:
        read = with_listing(FleetView(), listing, grace_until=-inf, now=NOW)
        pull(gossip, make_gossip(2, read))
    return gossip


@pytest.mark.parametrize("how", ["listing", "peer"])
@pytest.mark.parametrize(
    ("known", "listed", "kept", "after"),
    RESTORED_TARGETS.values(),
    ids=RESTORED_TARGETS,
)
def test_targets_after_a_restore(how, known, listed, kept, after):
    """What the backup lacks stays for the grace time; then the store counts."""
    view = in_era(1, make_view(90, 3, *filter(None, [known])))
    listing = Listing(40, None, tuple(filter(None, [listed])), 2)
    gossip = restored(how, view, listing)
    assert gossip.view.position == (2, 40)
    for state, now in ((kept, NOW), (after, AFTER)):
        gossip.tick(now)
        target = gossip.view.targets.get("a")
        assert (target and target.state) is state
    assert gossip.view.targets == {t.name: t for t in listing.targets}


@pytest.mark.parametrize("how", ["listing", "peer"])
@pytest.mark.parametrize(
    ("known", "listed", "kept", "after"),
    [
        ({"z"}, set(), {"z"}, set()),
        (set(), {"z"}, {"z"}, {"z"}),
        ({"z"}, {"z", "y"}, {"z", "y"}, {"z", "y"}),
    ],
    ids=["lacking", "ended-before", "both"],
)
def test_evacuations_after_a_restore(how, known, listed, kept, after):
    """A zone that the backup does not evacuate stays evacuated for the grace time."""
    view = replace(make_view(90, 3), era=1, evacuated_zones=frozenset(known))
    listing = Listing(40, None, (), 2, frozenset(listed))
    gossip = restored(how, view, listing)
    assert gossip.view.evacuated_zones == kept
    gossip.tick(AFTER)
    assert gossip.view.evacuated_zones == after


@pytest.mark.parametrize("how", ["listing", "peer"])
@pytest.mark.parametrize("backup", [None, 1, 3])
def test_configuration_after_a_restore(how, backup):
    """The configuration of the backup never replaces a later version."""
    configuration = make_configuration(backup) if backup else None
    view = in_era(1, make_view(90, 3))
    gossip = restored(how, view, Listing(40, configuration, (), 2))
    gossip.tick(AFTER)
    assert gossip.view.configuration.version == 3


WRITTEN_AGAIN = {
    "target": (
        TargetChange("a", READY),
        lambda view: view.targets["a"].state is IS_READY,
    ),
    "draining": (
        TargetChange("a", DRAINING),
        lambda view: view.targets["a"].state is DRAINS,
    ),
    "evacuation": (
        EvacuationChange("z", True),
        lambda view: "z" in view.evacuated_zones,
    ),
}


@pytest.mark.parametrize(("change", "holds"), WRITTEN_AGAIN.values(), ids=WRITTEN_AGAIN)
def test_what_is_written_again_stays(change, holds):
    """What targets and operator write again in the grace time stays after it."""
    known = READY if change == TargetChange("a", READY) else DRAINING
    view = in_era(1, make_view(90, 3, known))
    view = replace(view, evacuated_zones=frozenset({"z"}))
    gossip = restored("listing", view, Listing(40, None, (), 2))
    changes = StoreChanges(41, (change,), 2)
    written = with_changes(gossip.shared_view, changes, grace_until=-inf, now=NOW)
    gossip.apply_store_view(written, NOW + 1)
    assert holds(gossip.view)
    gossip.tick(AFTER)
    assert holds(gossip.view)


def test_what_leaves_after_it_came_back_is_not_kept():
    """A target that wrote its record again and left is gone at once."""
    view = in_era(1, make_view(90, 3, READY))
    gossip = restored("listing", view, Listing(40, None, (), 2))
    for revision, target in ((41, READY), (42, None)):
        changes = (TargetChange("a", target, is_removed=target is None),)
        read = StoreChanges(revision, changes, 2)
        after = with_changes(gossip.shared_view, read, grace_until=-inf, now=NOW)
        gossip.apply_store_view(after, NOW + 1)
    assert not gossip.view.targets


def test_process_that_starts_in_the_grace_time_gets_what_is_kept():
    """A whole view has what its sender keeps, with the time that is left."""
    view = replace(make_view(90, 3, READY), era=1, evacuated_zones=frozenset({"z"}))
    gossip = restored("listing", view, Listing(40, None, (), 2))
    joiner = make_gossip(2)
    pull(joiner, gossip, NOW + 1)
    assert joiner.view.targets["a"].state is LAPSED
    assert joiner.view.evacuated_zones == {"z"}
    assert not joiner.is_settled(NOW + 1)
    joiner.tick(AFTER)
    assert not joiner.view.targets
    assert not joiner.view.evacuated_zones


def test_process_that_lists_in_the_grace_time_gets_what_is_kept():
    """A process whose first view is the restored store must not open a kept zone."""
    zone = frozenset({"z"})
    view = in_era(1, replace(make_view(90, 3, READY), evacuated_zones=zone))
    listing = Listing(40, make_configuration(3), (READY,), 2)
    source = restored("listing", view, listing)
    read = with_listing(FleetView(), listing, grace_until=-inf, now=NOW)
    fresh = make_gossip(2, read)
    assert not fresh.view.evacuated_zones
    pull(fresh, source)
    assert fresh.view.evacuated_zones == zone
    assert not fresh.shared_view.evacuated_zones
    assert fresh.shared_view.position == (2, 40)
    # It asks once.
    digest = source._make_digest(NOW, True)
    actions = fresh.receive(digest, source.host, NOW + RESOLVE_GAP_S)
    assert not any(isinstance(action.frame, PullRequest) for action in actions)
    fresh.tick(AFTER)
    assert not fresh.view.evacuated_zones


def test_two_readers_in_different_eras_agree():
    """Readers of two eras end in the later one, with the later configuration.

    The one that listed the restored store knows an earlier configuration than the one
    that still reads the earlier era.
    """
    first = make_gossip(1, in_era(1, make_view(80, 2, READY)))
    second = make_gossip(2, in_era(1, make_view(95, 5, READY)))
    listing = Listing(40, make_configuration(1), (READY,), 2)
    for gossip, other in ((first, second), (second, first)):
        read = with_listing(gossip.shared_view, listing, grace_until=-inf, now=NOW)
        gossip.apply_store_view(read, NOW)
        late = StoreChanges(99, (TargetChange("a", None, is_removed=True),), 1)
        view = with_changes(other.shared_view, late, grace_until=-inf, now=NOW)
        other.apply_store_view(view, NOW)
    now = NOW + RESOLVE_GAP_S
    pull(first, second, now)
    pull(second, first, now)
    for gossip in (first, second):
        assert gossip.shared_view.position == (2, 40)
        assert gossip.shared_view.configuration.version == 5
        assert gossip.shared_view.targets == {"a": READY}


def test_pages_that_were_read_at_different_times_end_in_one_view():
    """Two views of one position are joined to the same one, whoever asks first.

    A listing is at least as new as its revision, so that two of them may differ.
    """
    views = [in_era(2, make_view(40, version, *targets)) for version, targets in VIEWS]
    for order in (views, views[::-1]):
        first, second = (make_gossip(n + 1, view) for n, view in enumerate(order))
        for _ in range(2):
            first.resolve_at = second.resolve_at = NOW
            pull(first, second)
            pull(second, first)
        assert first.shared_view == second.shared_view
        assert first.shared_view.configuration.version == 5
        assert first.shared_view.targets == max(views, key=_rank).targets


VIEWS = ((5, (READY,)), (3, (READY, make_target("b"))))


def _rank(view: FleetView) -> tuple:
    return view.contents_rank


@pytest.mark.parametrize("era", [0, 1], ids=["without-era", "earlier-era"])
def test_late_digest_of_an_earlier_era_changes_nothing(era):
    """A late digest with a higher revision causes a reply, no pull, and no claim."""
    gossip = make_gossip(1, in_era(2, make_view(40, 3)))
    gossip.confirmed_at = NOW - 1.0
    digest = Digest(
        revision=99,
        content_tag=1,
        age_s=0.0,
        claims=(ReaderClaim(7, 0.0),),
        era_bits=era_bits(era),
    )
    (reply,) = gossip.receive(digest, 2, NOW)
    assert isinstance(reply.frame, Digest)
    assert reply.frame.era_bits == 2
    assert gossip.age(NOW) == 1.0
    assert not gossip.readers


def test_process_resumes_with_the_view_of_an_earlier_era():
    """A resumed process pulls the whole view, and nobody takes its changes."""
    resumed = make_gossip(1, in_era(1, make_view(99, 3, READY)))
    gossip = make_gossip(2, in_era(2, make_view(40, 3)))
    digest = resumed._make_digest(NOW, False)
    (reply,) = gossip.receive(digest, 1, NOW)
    (request,) = resumed.receive(reply.frame, 2, NOW)
    assert request.frame == PullRequest(revision=-1, version=-1)
    for piece in gossip.receive(request.frame, 1, NOW):
        resumed.receive(piece.frame, 2, NOW)
    assert resumed.shared_view.position == (2, 40)
    assert resumed.shared_view.targets == gossip.shared_view.targets
    late = StoreChanges(120, (TargetChange("b", READY),), 1)
    view = with_changes(resumed.shared_view, late, grace_until=-inf, now=NOW)
    assert view is resumed.shared_view


def test_changes_that_a_peer_sent_for_another_era_lead_to_the_whole_view():
    """A peer that moves to another era during a pull is asked for its whole view."""
    behind = make_gossip(1, in_era(1, make_view(50, 3, READY)))
    source = make_gossip(2, in_era(1, make_view(60, 3)))
    (request,) = behind.receive(source._make_digest(NOW, True), 2, NOW)
    assert request.frame.revision == 50
    source.apply_store_view(in_era(2, make_view(45, 3, READY)), NOW)
    source.apply_store_view(source.view.changed(revision=70, targets={"a": None}), NOW)
    frames = [a.frame for a in source.receive(request.frame, 1, NOW)]
    (ended, again) = [a for f in frames for a in behind.receive(f, 2, NOW)]
    assert "era" in ended.problem
    assert again.frame == PullRequest(revision=-1, version=-1)
    for piece in source.receive(again.frame, 1, NOW):
        behind.receive(piece.frame, 2, NOW)
    assert behind.shared_view.position == (2, 70)


def test_forgotten_targets_are_removed_by_reader_and_peers():
    """A lapsed target that did not come back leaves all views without another read.

    A reader that kept it gave changes whose result differed from its own view, so that
    every peer pulled the whole view with every change.
    """
    reader, peer = make_gossip(1, make_view(5, 1, READY)), make_gossip(2)
    pull(peer, reader)
    removal = StoreChanges(6, (TargetChange("a", None, is_removed=True),))
    view = with_changes(reader.view, removal, grace_until=NOW + 1, now=NOW)
    reader.apply_store_view(view, NOW)
    pull(peer, reader)
    assert peer.view.targets["a"].state is LAPSED
    written = StoreChanges(7, (TargetChange("b", make_target("b")),))
    view = with_changes(reader.view, written, grace_until=NOW + 1, now=NOW + 2)
    assert set(view.targets) == {"b"}
    for gossip in (reader, peer):
        gossip.tick(NOW + 2)
        assert not gossip.view.targets


# Builds without eras, evacuations and warm-ups


class EarlierExchange(ViewExchange):
    """Sends and applies updates as an earlier build does."""

    def __init__(self) -> None:
        super().__init__()
        update_for = self.log.update_for

        def as_before(*args: object) -> ViewUpdate:
            update = update_for(*args)
            configuration = update.configuration
            if isinstance(configuration, RouteChanges):
                configuration = replace(configuration, warm_ups=None)
            return replace(
                update, configuration=configuration, era=0, evacuated_zones=None
            )

        self.log.update_for = as_before

    def _differs(self, update: ViewUpdate, after: FleetView) -> bool:
        return super()._differs(update, without_news(after))


def without_news(view: FleetView) -> FleetView:
    """Return a view as an earlier build holds it."""
    configuration = replace(view.configuration, warm_ups={})
    return replace(
        view,
        era=0,
        configuration=configuration,
        evacuated_zones=frozenset(),
        is_complete=True,
    )


class EarlierGossip(ViewGossip):
    """The gossip of a build that knows no eras, evacuations, warm-ups and loads."""

    def __init__(self, **options: object) -> None:
        super().__init__(**options)
        self.exchange = EarlierExchange()

    def _set_view(self, view: FleetView, **_: object) -> None:
        super()._set_view(without_news(view))

    def _make_digest(self, now: float, is_reply: bool) -> Digest:
        digest = super()._make_digest(now, is_reply)
        return replace(digest, era_bits=None, understands_loads=False)

    def receive_digest(self, digest: Digest, source: int, now: float) -> list:
        """Process a digest without what this build does not know."""
        assert not digest.loads
        plain = replace(digest, era_bits=None, understands_loads=False)
        return super().receive_digest(plain, source, now)


def make_earlier(host: int) -> EarlierGossip:
    """Return the gossip of a process of an earlier build, without a view."""
    return EarlierGossip(host=host, seeds=(), random=Random(host), now=NOW)


def test_builds_of_both_kinds_share_a_plain_view():
    """Without eras and evacuations, each build takes views and changes of the other."""
    for source, peer in (
        (make_gossip(1), make_earlier(2)),
        (make_earlier(1), make_gossip(2)),
    ):
        source.apply_store_view(make_view(5, 1, READY), NOW)
        pull(peer, source)
        assert peer.view.targets == {"a": READY}
        changed = source.view.changed(revision=6, targets={"a": DRAINING})
        source.apply_store_view(changed, NOW)
        pull(peer, source)
        assert peer.view.content_tag == source.view.content_tag
        assert peer.view.targets == {"a": DRAINING}


def with_news(view: FleetView) -> FleetView:
    """Return a view with an evacuation and a warm-up."""
    warm_ups = {"orders": WarmUp(lasts_s=9.0, rate=2.0)}
    configuration = replace(view.configuration, warm_ups=warm_ups)
    return replace(view, configuration=configuration, evacuated_zones=frozenset({"z"}))


@pytest.mark.parametrize("era", [0, 3])
def test_what_earlier_builds_drop_comes_from_later_ones_or_the_store(era):
    """A process whose view came through an earlier build gets what that dropped."""
    source = make_gossip(1, in_era(era, with_news(make_view(5, 1, READY))))
    earlier, gossip = make_earlier(2), make_gossip(3)
    pull(earlier, source)
    pull(gossip, earlier)
    assert not gossip.view.evacuated_zones
    assert not gossip.view.is_complete
    # From the store, unless another process has it first.
    assert not gossip.should_list(NOW + TAKEOVER_S)
    assert gossip.should_list(NOW + TAKEOVER_S + 1.0)
    assert gossip.should_read(NOW + TAKEOVER_S + 1.0)
    pull(gossip, source)
    assert gossip.view == source.view
    assert not gossip.should_list(NOW + 60.0)


def test_changes_of_an_earlier_build_may_lack_an_evacuation():
    """An evacuation between two revisions of an earlier build is not taken as none."""
    earlier = make_earlier(2)
    earlier.apply_store_view(make_view(5, 1, READY), NOW)
    gossip = make_gossip(3, make_view(5, 1, READY))
    assert gossip.view.is_complete
    earlier.apply_store_view(with_news(make_view(6, 2, READY)), NOW)
    pull(gossip, earlier)
    assert gossip.view.revision == 6
    assert not gossip.view.is_complete
    listing = with_news(make_view(6, 2, READY))
    gossip.apply_store_view(listing, NOW)
    assert gossip.view.is_complete
    assert gossip.view.configuration.warm_ups
    pull(gossip, earlier)
    assert gossip.view.is_complete


def test_incomplete_view_stays_incomplete_at_the_next_process():
    """What an earlier build dropped must not count as absent two processes later."""
    earlier, gossip, last = make_earlier(2), make_gossip(3), make_gossip(4)
    earlier.apply_store_view(with_news(make_view(5, 1, READY)), NOW)
    pull(gossip, earlier)
    pull(last, gossip)
    assert last.view.revision == 5
    assert not last.view.is_complete
    informed = make_gossip(5, with_news(make_view(4, 1, READY)))
    pull(informed, gossip)
    assert informed.view.revision == 5
    assert informed.view.evacuated_zones == {"z"}
    assert not informed.view.is_complete


def test_same_tag_of_an_earlier_build_may_lack_an_evacuation():
    """A revision that only evacuates a zone must not be taken over as read."""
    plain = make_view(5, 1, READY)
    earlier, gossip = make_earlier(2), make_gossip(3, plain)
    earlier.apply_store_view(plain, NOW)
    evacuated = replace(plain, revision=6, evacuated_zones=frozenset({"z"}))
    earlier.apply_store_view(evacuated, NOW)
    pull(gossip, earlier)
    assert gossip.view.revision == 6
    assert gossip.should_list(NOW + TAKEOVER_S + 1.0)
    pull(gossip, make_gossip(4, evacuated))
    assert gossip.view.evacuated_zones == {"z"}
    assert gossip.view.is_complete


class FixedLoads(LoadExchange):
    """Loads that do not change, and those that were received."""

    def __init__(self, count: int) -> None:
        self.reports = tuple(LoadReport(host, 1.5, 0.25) for host in range(count))
        self.received: list[LoadReport] = []

    def outgoing(self, now: float) -> tuple[LoadReport, ...]:
        """Return the loads."""
        return self.reports

    def receive(self, reports, now: float) -> None:
        """Keep loads."""
        self.received += reports


def test_loads_go_only_to_peers_that_understand_them():
    """An earlier build rejects digests with loads, so that it must get none."""
    loads = FixedLoads(MAX_LOAD_REPORTS + 1)
    gossip = ViewGossip(
        host=1, seeds=(2, 3), random=Random(1), now=NOW, loads=FixedLoads(20)
    )
    later = ViewGossip(host=2, seeds=(1,), random=Random(1), now=NOW, loads=loads)
    plain = Digest(revision=-1, content_tag=0, age_s=0.0)
    gossip.receive(plain, 3, NOW)
    gossip.receive(later._make_digest(NOW, False), 2, NOW)
    sent = {a.host: a.frame for a in gossip.tick(NOW)}
    assert sent[3].loads == ()
    assert sent[2].loads == gossip.loads.reports[:MAX_LOAD_REPORTS]
    later.receive(decode_frame(sent[2].encode()), 1, NOW)
    assert loads.received == list(sent[2].loads)
    # A process of an earlier build has taken the peer's place.
    gossip.receive(plain, 2, NOW)
    now = gossip.digest_at
    assert all(a.frame.loads == () for a in gossip.tick(now))


# All of it in any order


class ModelStore:
    """A store that can be restored, with atomic listings."""

    def __init__(self) -> None:
        self.era, self.revision = 1, 10
        self.targets: dict[str, FlowTarget] = {}
        self.zones: frozenset[str] = frozenset()
        self.version = 1
        self.history: list[tuple[int, object]] = []

    def write(self, change: object) -> None:
        """Apply a change and give out a revision for it."""
        self.revision += 1
        self.history.append((self.revision, change))
        if isinstance(change, ConfigurationChange):
            self.version = change.configuration.version
        elif isinstance(change, EvacuationChange):
            zone = {change.zone}
            is_on = change.is_evacuated
            self.zones = self.zones | zone if is_on else self.zones - zone
        elif change.target is None:
            self.targets.pop(change.name, None)
        else:
            self.targets[change.name] = change.target

    def backup(self) -> tuple:
        """Return what a backup has."""
        contents = dict(self.targets), self.zones, self.version
        return self.revision, contents, list(self.history)

    def restore(self, backup: tuple) -> None:
        """Go back to a backup, in a new era."""
        self.era += 1
        self.revision, (targets, self.zones, self.version), history = backup
        self.targets, self.history = dict(targets), list(history)

    def listing(self) -> Listing:
        """Return all contents."""
        return Listing(
            self.revision,
            make_configuration(self.version),
            tuple(self.targets.values()),
            self.era,
            self.zones,
        )

    def changes(self, after: int) -> StoreChanges:
        """Return the changes after a revision."""
        found = tuple(change for revision, change in self.history if revision > after)
        return StoreChanges(self.revision, found, self.era)


class Eras(RuleBasedStateMachine):
    """Processes follow a store that is restored again and again.

    Listings, changes, digests and pieces of updates are lost, repeated and delivered in
    any order.
    """

    HOSTS = (1, 2, 3)

    def __init__(self) -> None:
        super().__init__()
        self.now = NOW
        self.store = ModelStore()
        self.backups = [self.store.backup()]
        self.version = 1
        self.members = {
            host: ViewGossip(
                host=host, seeds=self.HOSTS, random=Random(host), now=self.now
            )
            for host in self.HOSTS
        }
        self.frames: list[tuple[int, int, bytes]] = []
        self.reads: list[tuple[Listing | StoreChanges, int]] = []
        self.seen = {host: ((0, -1), -1) for host in self.HOSTS}

    @rule(
        name=st.sampled_from("ab"),
        state=st.sampled_from([None, IS_READY, DRAINS]),
        start=st.integers(1, 3),
    )
    def write_target(self, name, state, start):
        """Write or remove a target's record."""
        target = state and make_target(name, state=state, started_ms=start)
        self.store.write(TargetChange(name, target, is_removed=target is None))

    @rule(zone=st.sampled_from("yz"), is_evacuated=st.booleans())
    def write_evacuation(self, zone, is_evacuated):
        """Begin or end an evacuation."""
        self.store.write(EvacuationChange(zone, is_evacuated))

    @rule(is_new=st.booleans())
    def write_configuration(self, is_new):
        """Write a version, or the last one again."""
        self.version += is_new
        self.store.write(ConfigurationChange(make_configuration(self.version)))

    @rule()
    def back_up(self):
        """Make a backup."""
        self.backups.append(self.store.backup())

    @rule(data=st.data())
    def restore(self, data):
        """Restore one of the backups."""
        self.store.restore(data.draw(st.sampled_from(self.backups)))

    @rule(host=st.sampled_from(HOSTS), lists=st.booleans())
    def ask_store(self, host, lists):
        """Read the store; the response may arrive late, elsewhere or never."""
        view = self.members[host].shared_view
        if lists or view.position[0] != self.store.era:
            self.reads.append((self.store.listing(), -1))
        else:
            self.reads.append((self.store.changes(view.revision), view.revision))

    @precondition(lambda self: self.reads)
    @rule(host=st.sampled_from(HOSTS), data=st.data())
    def take_read(self, host, data):
        """Give a process a response of the store, also one that was given before."""
        read, base = data.draw(st.sampled_from(self.reads))
        view = self.members[host].shared_view
        merge = with_listing if isinstance(read, Listing) else with_changes
        # A reader never asks for changes after a revision that it does not have.
        if base <= view.revision:
            after = merge(view, read, grace_until=-inf, now=self.now)
            self._act(host, self.members[host].apply_store_view(after, self.now))

    def _act(self, host: int, actions: list) -> None:
        for action in actions:
            if isinstance(action, SendFrame):
                self.frames.append((host, action.host, action.frame.encode()))

    @precondition(lambda self: self.frames)
    @rule(data=st.data(), stays=st.booleans())
    def deliver(self, data, stays):
        """Deliver a frame, perhaps not for the last time."""
        index = data.draw(st.integers(0, len(self.frames) - 1))
        frame = self.frames[index] if stays else self.frames.pop(index)
        self._deliver(*frame)

    def _deliver(self, source: int, host: int, frame: bytes) -> None:
        member = self.members[host]
        self._act(host, member.receive(decode_frame(frame), source, self.now))

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.6]))
    def wait(self, seconds):
        """Let time pass; some digests are sent."""
        self.now += seconds
        for host, member in self.members.items():
            if member.deadline <= self.now:
                self._act(host, member.tick(self.now))

    @invariant()
    def nothing_goes_back(self):
        """Check positions and versions, and that one position has one content.

        Versions of the configuration may differ until processes have compared views:
        the store does not have the later one any more.
        """
        contents: dict[tuple[int, int], FleetView] = {}
        for host, member in self.members.items():
            view = member.shared_view
            seen = view.position, view.configuration.version
            assert seen[0] >= self.seen[host][0]
            assert seen[1] >= self.seen[host][1]
            self.seen[host] = seen
            known = contents.setdefault(view.position, view)
            assert known.targets == view.targets
            assert known.evacuated_zones == view.evacuated_zones

    def teardown(self):
        """Let the processes exchange all they know: they end in one view."""
        for _ in range(120):
            frames, self.frames = self.frames, []
            for frame in frames:
                self._deliver(*frame)
            self.wait(0.05)
            self.nothing_goes_back()
        views = [member.view for member in self.members.values()]
        assert all(member.carry_over is None for member in self.members.values())
        for view in views[1:]:
            assert view.position == views[0].position
            assert view.content_tag == views[0].content_tag
            assert view.targets == views[0].targets
            assert view.evacuated_zones == views[0].evacuated_zones
            assert view.configuration == views[0].configuration


TestEras = Eras.TestCase
TestEras.settings = settings(max_examples=120, stateful_step_count=40)
