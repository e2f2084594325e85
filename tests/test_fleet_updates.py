"""Tests of view updates: change log, codec, transfers over weak links, joiners."""

from collections.abc import Iterator
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count
from json import dumps, loads
from random import Random
from zlib import compress, decompress

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamtide.fleet.change_log import ChangeLog
from balsamtide.fleet.merge import with_update
from balsamtide.fleet.view import (
    FleetView,
    FlowConfiguration,
    FlowRoute,
    FlowTarget,
    TargetState,
    WarmUp,
)
from balsamtide.fleet.view_codec import ViewDecodeError, decode_update, encode_update
from balsamtide.fleet.view_gossip import (
    DIGEST_PERIOD_S,
    UPDATE_FANOUT,
    UPDATE_GAP_S,
    ViewGossip,
)
from balsamtide.protocol.flow_actions import PullEnded, SendFrame
from balsamtide.protocol.flow_frames import Digest, decode_frame
from balsamtide.protocol.view_frames import PullRequest

NOW = 100.0
NO_CHANGE: dict[str, FlowTarget | None] = {}


def make_target(number: int, **fields: object) -> FlowTarget:
    """Return a target of one of two services."""
    base = FlowTarget(
        name=f"i-{number:06x}",
        service=("orders", "proofs")[number % 2],
        host=0x0A000000 + number,
        port=8080,
        zone=f"zone-{number % 5}",
        capacity=1,
        state=TargetState.READY,
        started_ms=1_700_000_000_000 + number,
    )
    return replace(base, **fields)


def make_configuration(version: int, routes: int = 3) -> FlowConfiguration:
    """Return a configuration with routes whose figures and names differ."""
    return FlowConfiguration(
        version=version,
        routes={
            (0xC6120000 + number // 60, 1000 + number): FlowRoute(
                name=f"route-{number * 7919 % 100_003:05d}",
                shares=(("orders", 1),),
                timeout_s=1.0 + number % 40 / 10,
                objective_s=0.1,
                priority=number % 3,
            )
            for number in range(routes)
        },
        services=frozenset({"orders", "proofs"}),
        idle_timeout_s=15.0,
    )


def make_view(targets: int, *, routes: int = 3, revision: int = 10) -> FleetView:
    """Return a view of a fleet of some size."""
    made = (make_target(number) for number in range(targets))
    return FleetView(
        revision=revision,
        configuration=make_configuration(1, routes),
        targets={target.name: target for target in made},
    )


def transferred(log: ChangeLog, view: FleetView, held: FleetView) -> FleetView:
    """Return the view of a peer after an update on the wire."""
    update = log.update_for(view, held.revision, held.configuration.version)
    data = encode_update(update, now=NOW)
    return with_update(held, decode_update(data, encoded_at=NOW), NOW)


LAPSED = TargetState.LAPSED
CHANGES = {
    "state": ({"i-000001": make_target(1, state=TargetState.DRAINING)}, None),
    "removal": ({"i-000001": None}, None),
    "addition": ({"i-0000ff": make_target(0xFF)}, None),
    "lapsed": ({"i-000002": make_target(2, state=LAPSED, forget_at=NOW + 2)}, None),
    "service": ({"i-000001": make_target(1, service="orders")}, None),
    "warm-up": (
        NO_CHANGE,
        replace(
            make_configuration(2), warm_ups={"orders": WarmUp(lasts_s=9.0, rate=2.0)}
        ),
    ),
    "new-route": (NO_CHANGE, make_configuration(2, 4)),
    "removed-route": (NO_CHANGE, make_configuration(2, 2)),
}


@pytest.mark.parametrize("zones", [frozenset(), frozenset({"zone-1"})])
@pytest.mark.parametrize(("targets", "configuration"), CHANGES.values(), ids=CHANGES)
def test_update_gives_the_view_of_a_full_read(targets, configuration, zones):
    """A change gives a peer the same view as the whole view, with the same tags."""
    before = make_view(6)
    after = before.changed(
        revision=11,
        targets=targets,
        configuration=configuration,
        evacuated_zones=zones,
    )
    read = FleetView(
        revision=11,
        configuration=after.configuration,
        targets={**before.targets, **targets},
        evacuated_zones=zones,
    )
    read = replace(read, targets={n: t for n, t in read.targets.items() if t})
    log = ChangeLog()
    log.record(FleetView(), before)
    log.record(before, after)
    received = transferred(log, after, before)
    assert log.update_for(after, 10, 1).base == 10
    for view in (after, received, transferred(log, after, FleetView())):
        assert view == read
        assert view.content_tag == read.content_tag
        assert view.by_service == read.by_service
        assert view.by_host == read.by_host


@pytest.mark.parametrize("evacuated", [frozenset(), frozenset({"zone-1", "zone-x"})])
def test_evacuations_alone_are_passed_on(evacuated):
    """A change of the evacuations alone reaches peers, and changes the tag."""
    first = frozenset({"zone-1"})
    before = make_view(3).changed(revision=10, evacuated_zones=first)
    after = before.changed(revision=11, evacuated_zones=evacuated)
    log = ChangeLog()
    log.record(FleetView(), before)
    log.record(before, after)
    assert after.content_tag != before.content_tag
    for held in (before, FleetView()):
        assert transferred(log, after, held) == after


def as_earlier_build(data: bytes) -> bytes:
    """Return an encoded update as a build without evacuations and eras has it."""
    document = loads(decompress(data))
    for name in ("evacuated", "era", "kept"):
        document.pop(name, None)
    if document["configuration"]:
        document["configuration"].pop("warm_ups", None)
    return compress(dumps(document).encode())


@pytest.mark.parametrize("revision", [-1, 10], ids=["whole", "changes"])
def test_update_of_an_earlier_build_keeps_evacuations(revision):
    """An update that does not know of evacuations leaves them as they are.

    Read as "no evacuation", it would let flows into the zone.
    """
    before = make_view(3).changed(revision=10, evacuated_zones=frozenset({"zone-1"}))
    after = make_view(2, revision=11)
    log = ChangeLog()
    log.record(FleetView(), before)
    log.record(before, after)
    data = encode_update(log.update_for(after, revision, 1), now=NOW)
    update = decode_update(as_earlier_build(data), encoded_at=NOW)
    assert update.evacuated_zones is None
    received = with_update(before, update, NOW)
    assert received.targets == after.targets
    assert received.evacuated_zones == {"zone-1"}


# Fields of updates of the build before evacuations and eras, which rejects rows of
# another length and ignores other fields.
EARLIER_FIELDS = {
    "base",
    "revision",
    "tag",
    "settles_s",
    "configuration",
    "targets",
    "removed",
}
EARLIER_TARGET_COLUMNS = 10


def test_earlier_build_understands_updates():
    """An update has all that an earlier build reads, in the form that it reads."""
    view = make_view(3)
    data = encode_update(ChangeLog().update_for(view, -1, -1), now=NOW)
    document = loads(decompress(data))
    assert document.keys() >= EARLIER_FIELDS
    assert {len(row) for row in document["targets"]} == {EARLIER_TARGET_COLUMNS}
    received = with_update(
        FleetView(), decode_update(as_earlier_build(data), encoded_at=NOW), NOW
    )
    assert received.content_tag == view.content_tag == document["tag"]


@pytest.mark.parametrize(
    "zones", ['["\\ud800"]', "[1]", "7", "[[]]"], ids=["surrogate", "number", "x", "y"]
)
def test_odd_zones_in_an_update_are_rejected(zones):
    """Names of zones that can't be hashed raise `ViewDecodeError`."""
    update = ChangeLog().update_for(make_view(1), -1, -1)
    document = loads(decompress(encode_update(update, now=NOW)))
    text = dumps(document | {"evacuated": "ZONES"}).replace('"ZONES"', zones)
    with pytest.raises(ViewDecodeError):
        decode_update(compress(text.encode()), encoded_at=NOW)


def test_times_are_kept_as_deadlines_of_the_receiver():
    """Times of an update are relative to the time at which it was encoded."""
    view = make_view(1).changed(
        revision=11,
        targets={
            "cold": make_target(2, name="cold", warm_at=NOW + 3),
            "gone": make_target(4, name="gone", state=LAPSED, forget_at=NOW + 2),
        },
        settles_at=NOW + 1,
    )
    data = encode_update(ChangeLog().update_for(view, -1, -1), now=NOW)
    update = decode_update(data, encoded_at=500.0)
    assert update.targets["cold"].warm_at == 503.0
    assert update.targets["gone"].forget_at == 502.0
    assert update.settles_at == 501.0


@pytest.mark.parametrize("cut", [0, 1, 20, -1], ids=["empty", "one", "head", "end"])
def test_truncated_updates_are_rejected(cut):
    """A truncated update raises `ViewDecodeError`."""
    data = encode_update(ChangeLog().update_for(make_view(2), -1, -1), now=NOW)
    with pytest.raises(ViewDecodeError):
        decode_update(data[:cut], encoded_at=NOW)


@pytest.mark.parametrize("text", [b"", b"{}", b"[]", b'{"revision":1}'])
def test_updates_without_their_fields_are_rejected(text):
    """Intact bytes that do not hold an update raise `ViewDecodeError`."""
    with pytest.raises(ViewDecodeError):
        decode_update(compress(text), encoded_at=NOW)


def test_opposite_changes_of_two_targets_change_the_tag():
    """Two targets that change their states the same way do not cancel out."""
    view = make_view(4)
    drained = {
        f"i-00000{n}": make_target(n, state=TargetState.DRAINING) for n in (1, 2)
    }
    assert view.changed(revision=11, targets=drained).content_tag != view.content_tag


@pytest.mark.parametrize("targets", [46, 136, 210], ids=["70", "195", "300"])
def test_change_of_one_target_fits_into_one_kilobyte(targets):
    """A target's change costs at most 1 KB on the wire, in a fleet of any size."""
    before = make_view(targets, routes=1400)
    after = before.changed(revision=11, targets={"i-0000ff": make_target(0xFF)})
    peer = make_gossip(1, before)
    peer._set_view(after)
    request = PullRequest(revision=10, version=1)
    frames = [a.frame.encode() for a in peer.receive(request, 2, NOW)]
    assert len(frames) == 1
    assert len(request.encode()) + len(frames[0]) <= 1024


def make_gossip(host: int, view: FleetView | None = None) -> ViewGossip:
    """Return the gossip of a process that holds a view."""
    gossip = ViewGossip(host=host, seeds=(), random=Random(host), now=NOW)
    gossip.digest_at = float("inf")
    if view is not None:
        gossip._set_view(view)
        gossip.confirmed_at = NOW
    return gossip


class Link:
    """Two processes joined by a link of some rate, in virtual time.

    Parameters
    ----------
    first, second : ViewGossip
        The processes, with hosts 1 and 2.
    bytes_per_s : float
        Rate of the second process's link, in each direction.
    used : float
        Share of the rate that other traffic takes.
    loss : float
        Share of datagrams that are lost.
    seed : int
        Seed of the losses.
    """

    DELAY_S = 0.0014
    # Longer queues are dropped, as at the instance's own link.
    MAX_QUEUE_S = 0.5

    def __init__(self, first, second, *, bytes_per_s, used=0.0, loss=0.0, seed=1):
        self.members = {1: first, 2: second}
        self.rate = bytes_per_s * (1.0 - used)
        self.loss = loss
        self.random = Random(seed)
        self.now = NOW
        self.free_at = {1: NOW, 2: NOW}
        self.frames: list[tuple[float, int, int, bytes]] = []
        self.numbers: Iterator[int] = count()
        self.problems: list[str] = []
        self.sent_bytes = 0

    def act(self, source: int, actions: list) -> None:
        """Send frames, and keep the problems of transfers."""
        for action in actions:
            if isinstance(action, SendFrame):
                self._send(source, action.host, action.frame.encode())
            elif isinstance(action, PullEnded) and action.problem:
                self.problems.append(action.problem)

    def _send(self, source: int, host: int, data: bytes) -> None:
        starts_at = max(self.now, self.free_at[source])
        is_full = starts_at > self.now + self.MAX_QUEUE_S
        if host not in self.members or is_full or self.random.random() < self.loss:
            return
        self.free_at[source] = starts_at + len(data) / self.rate
        self.sent_bytes += len(data)
        due = self.free_at[source] + self.DELAY_S
        heappush(self.frames, (due, next(self.numbers), host, data))

    def run(self, seconds: float) -> None:
        """Deliver frames and run timers."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.002
            while self.frames and self.frames[0][0] <= self.now:
                _, _, host, data = heappop(self.frames)
                frame = decode_frame(data)
                self.act(host, self.members[host].receive(frame, 3 - host, self.now))
            for host, member in self.members.items():
                if member.deadline <= self.now:
                    self.act(host, member.tick(self.now))


@pytest.mark.parametrize("loss", [0.0, 0.02], ids=["intact", "lossy"])
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("megabits_per_s", "used"),
    [(2.9, 0.0), (2.9, 0.6), (10.0, 0.8)],
    ids=["weak", "weak-and-busy", "busy"],
)
def test_whole_view_passes_a_weak_link(megabits_per_s, used, loss, seed):
    """A view with 1,692 routes reaches a process behind a weak link within a second.

    Transfers that had to end within 0.4 s failed there again and again.
    """
    source = make_gossip(1, make_view(136, routes=1692))
    joiner = make_gossip(2)
    link = Link(
        source,
        joiner,
        bytes_per_s=megabits_per_s * 125_000,
        used=used,
        loss=loss,
        seed=seed,
    )
    digest = Digest(revision=10, content_tag=source.view.content_tag, age_s=0.0)
    link.act(2, joiner.receive(digest, 1, NOW))
    link.run(1.0)
    assert joiner.view == source.view
    assert link.problems == []


def test_transfer_goes_on_after_an_interruption():
    """A transfer goes on with the missing pieces after a link was cut for 0.5 s."""
    source = make_gossip(1, make_view(136, routes=1692))
    joiner = make_gossip(2)
    link = Link(source, joiner, bytes_per_s=360_000)
    digest = Digest(revision=10, content_tag=source.view.content_tag, age_s=0.0)
    link.act(2, joiner.receive(digest, 1, NOW))
    link.run(0.05)
    received = len(joiner.exchange.download.pieces)
    whole = joiner.exchange.download.count
    link.loss = 1.0
    link.run(0.5)
    link.loss, link.sent_bytes = 0.0, 0
    link.run(1.0)
    assert 0 < received < whole
    assert joiner.view == source.view
    # No piece is sent again that had arrived before, but for one window.
    assert link.sent_bytes <= (whole - received + 8) * 1400


def test_silent_peer_is_given_up():
    """A peer that sends no piece is given up, and another one is asked."""
    joiner = make_gossip(2)
    link = Link(make_gossip(1, make_view(3)), joiner, bytes_per_s=1e6, loss=1.0)
    digest = Digest(revision=10, content_tag=1, age_s=0.0)
    link.act(2, joiner.receive(digest, 1, NOW))
    link.run(1.7)
    # It is asked again with the next digest, at the latest.
    assert set(link.problems) == {"the peer went silent, 0 of 0 pieces received"}
    link.loss = 0.0
    link.act(2, joiner.receive(digest, 1, link.now))
    link.run(0.2)
    assert joiner.view.revision == 10


def test_other_peer_is_asked_after_a_silent_one():
    """If a peer is silent, another one that announced a view is asked at once."""
    joiner = make_gossip(2)
    for source in (1, 3):
        digest = Digest(revision=10, content_tag=1, age_s=0.0)
        joiner.receive(digest, source, NOW)
    actions = []
    for step in range(40):
        actions += joiner.tick(NOW + 0.01 * step)
    asked = [a.host for a in actions if isinstance(a, SendFrame)]
    assert asked[0] == 1
    assert asked[-1] == 3


def test_other_contents_are_replaced_by_the_whole_view():
    """If changes give other contents than the peer has, the whole view is pulled."""
    before = make_view(4)
    source = make_gossip(1, before)
    source._set_view(before.changed(revision=11, targets={"i-000001": None}))
    # The same revision, but a target is missing here.
    other = FleetView(
        revision=10,
        configuration=before.configuration,
        targets={n: t for n, t in before.targets.items() if n != "i-000002"},
    )
    behind = make_gossip(2, other)
    link = Link(source, behind, bytes_per_s=1e6)
    digest = Digest(revision=11, content_tag=source.view.content_tag, age_s=0.0)
    link.act(2, behind.receive(digest, 1, NOW))
    link.run(0.2)
    assert behind.view == source.view
    assert link.problems == ["changes since revision 10 give other contents"]


class Deltas(RuleBasedStateMachine):
    """Updates of peers at any revision, in any order, end in the newest view."""

    def __init__(self) -> None:
        super().__init__()
        self.log = ChangeLog(max_entries=5)
        self.view = make_view(3)
        self.log.record(FleetView(), self.view)
        self.peers = [FleetView(), self.view, self.view]
        self.updates: list[tuple[int, bytes]] = []
        self.revisions = [-1, 10, 10]

    def _change(self, **fields) -> None:
        after = self.view.changed(revision=self.view.revision + 1, **fields)
        self.log.record(self.view, after)
        self.view = after

    @rule(number=st.integers(0, 5), state=st.sampled_from([None, *TargetState]))
    def change_target(self, number, state):
        """Add, change or remove a target, also one with a name used before."""
        target = state and make_target(
            number, state=state, started_ms=self.view.revision
        )
        self._change(targets={f"i-{number:06x}": target})

    @rule(routes=st.integers(0, 4))
    def change_routes(self, routes):
        """Publish another version of the configuration."""
        version = self.view.configuration.version + 1
        self._change(configuration=make_configuration(version, routes))

    @rule(zones=st.frozensets(st.sampled_from(["zone-1", "zone-2"])))
    def change_zones(self, zones):
        """Evacuate some availability zones, and end the other evacuations."""
        self._change(evacuated_zones=zones)

    @rule(peer=st.integers(0, 2))
    def ask(self, peer):
        """Send an update for what a peer holds now; it may arrive late or never."""
        held = self.peers[peer]
        update = self.log.update_for(
            self.view, held.revision, held.configuration.version
        )
        self.updates.append((peer, encode_update(update, now=NOW)))

    @rule(data=st.data())
    def deliver(self, data):
        """Deliver an update, also one delivered before."""
        if not self.updates:
            return
        peer, update = data.draw(st.sampled_from(self.updates))
        received = decode_update(update, encoded_at=NOW)
        self.peers[peer] = with_update(self.peers[peer], received, NOW)

    @rule(peer=st.integers(0, 2))
    def restart(self, peer):
        """Restart a peer, so that it holds nothing; its old updates are lost."""
        self.peers[peer] = FleetView()
        self.revisions[peer] = -1
        self.updates = [update for update in self.updates if update[0] != peer]

    @invariant()
    def no_peer_goes_back(self):
        """Check that revisions only rise, and that equal ones have equal views."""
        for index, peer in enumerate(self.peers):
            assert peer.revision >= self.revisions[index]
            self.revisions[index] = peer.revision
            if peer.revision == self.view.revision:
                assert peer.content_tag == self.view.content_tag
                assert peer.configuration == self.view.configuration
                assert peer.targets == self.view.targets
                assert peer.evacuated_zones == self.view.evacuated_zones

    def teardown(self):
        """Bring every peer up to date."""
        for peer in self.peers:
            assert transferred(self.log, self.view, peer).targets == self.view.targets


TestDeltas = Deltas.TestCase
TestDeltas.settings = settings(max_examples=150, stateful_step_count=30)


def test_updates_in_quick_succession_are_announced_together():
    """100 targets that return within a second cause as many digests as 25 would."""
    gossip = make_gossip(1, make_view(1))
    gossip.seeds = {2, 3, 4, 5}
    sent = []
    now = NOW
    for number in range(100):
        now = NOW + 0.01 * number
        sent += gossip.tick(now)
        after = gossip.view.changed(
            revision=11 + number, targets={f"i-{number}": make_target(number + 10)}
        )
        sent += gossip.apply_store_view(after, now)
    last = gossip.deadline
    assert last <= now + UPDATE_GAP_S
    sent += gossip.tick(last)
    digests = [a.frame for a in sent if isinstance(a.frame, Digest)]
    periodic = 1.2 / DIGEST_PERIOD_S
    assert len(digests) <= UPDATE_FANOUT * (1.0 / UPDATE_GAP_S + 2) + periodic
    assert digests[-1].revision == gossip.view.revision
