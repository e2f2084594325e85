"""Tests of home targets: few candidates for placement and searches in any fleet."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from balsamtide.fleet.target import FlowTarget, TargetState
from balsamtide.fleet.target_ring import HOME_COUNT, NEIGHBOR_COUNT, TargetRing
from balsamtide.flows.events import FLOW_SEARCHED
from balsamtide.flows.search import (
    DENIAL_VALID_S,
    FRAME_BURST,
    RETURN_TIMEOUT_S,
    SEARCH_ROUND_S,
    SearchStage,
)
from balsamtide.protocol.flow_actions import ToClient
from balsamtide.protocol.flow_frames import (
    Carry,
    Disowned,
    DisownReason,
    Locate,
    Located,
    Ownership,
)
from bench.standins.flow_world import START, FlowWorld, WorldOptions
from tests.fakes_packets import (
    NOW,
    PACKETS,
    TARGETS,
    client_packet,
    frames,
    make_balancer,
    make_view,
    of_kind,
    syn_packet,
)

DATA = client_packet(acknowledgement=700, data=10)
KEY = PACKETS.decode(DATA).client_key
LARGE = WorldOptions(
    balancers=12, targets=109, objective_s=0.55, timeout_s=2.2, work_s=0.014
)


def make_targets(count: int) -> tuple[FlowTarget, ...]:
    """Return targets of one service on as many instances."""
    return tuple(
        replace(TARGETS[0], name=f"i-{number:08x}", host=0x0A030000 + number)
        for number in range(count)
    )


@pytest.mark.parametrize(
    ("count", "homes"), [(0, 0), (3, 3), (16, 16), (17, HOME_COUNT), (500, HOME_COUNT)]
)
def test_home_targets_are_distinct_and_few(count, homes):
    """A flow has at most six home targets, or all targets of a small service."""
    ring = TargetRing(make_targets(count))
    for number in range(200):
        found = ring.homes(number.to_bytes(12, "big"))
        assert len(set(found)) == len(found) == homes


def test_each_target_is_a_home_of_some_flows():
    """No target has more than six times its share of the flows as their home."""
    targets = make_targets(109)
    ring = TargetRing(targets)
    homes = Counter(t.name for n in range(5000) for t in ring.homes(b"%d" % n))
    share = 5000 * HOME_COUNT / len(targets)
    assert len(homes) >= 0.9 * len(targets)
    assert max(homes.values()) <= 6 * share


def test_changed_targets_keep_most_homes():
    """After the change of one target, most flows keep at least five of six homes."""
    targets = make_targets(109)
    before, after = TargetRing(targets), TargetRing(targets[1:])
    kept = [
        len(set(before.homes(key)) & set(after.homes(key)))
        for key in (b"%d" % number for number in range(1000))
    ]
    assert sum(1 for count in kept if count >= HOME_COUNT - 1) >= 950


def test_new_flow_is_placed_at_a_home_target():
    """A new flow goes to a home target as long as one takes new flows."""
    view = make_view(*make_targets(109))
    homes = {target.host for target in view.homes("orders", KEY)}
    (action,) = frames(make_balancer(view).receive_packet(syn_packet(), NOW), Carry)
    assert action.host in homes
    draining = {
        t.name: replace(t, state=TargetState.DRAINING)
        for t in view.homes("orders", KEY)
    }
    view = view.changed(revision=10, targets=draining)
    (action,) = frames(make_balancer(view).receive_packet(syn_packet(), NOW), Carry)
    assert action.host not in homes


@pytest.mark.parametrize("count", [17, 109, 1000])
def test_unknown_flow_asks_its_homes_first(count):
    """A search that ends at a home target asks six agents in a service of any size."""
    view = make_view(*make_targets(count))
    balancer = make_balancer(view)
    asked = frames(balancer.receive_packet(DATA, NOW), Locate)
    homes = {target.host for target in view.homes("orders", KEY)}
    assert {action.host for action in asked} == homes
    located = Located(KEY, Ownership.OWNS)
    (carry,) = frames(balancer.receive_frame(located, asked[0].host, NOW), Carry)
    assert carry.host == asked[0].host


def deny(balancer, asked, ownership=Ownership.NO):
    """Let the asked agents answer, and return the agents that are asked then."""
    later = []
    for action in asked:
        located = Located(KEY, ownership)
        later += frames(balancer.receive_frame(located, action.host, NOW), Locate)
    return later


def deny_all(balancer, packet):
    """Let all agents deny a packet's flow; return the agents that were asked."""
    asked, answers = [], frames(balancer.receive_packet(packet, NOW), Locate)
    while answers:
        asked += answers
        answers = deny(balancer, answers)
    return asked


def test_flow_outside_its_homes_is_found_in_a_later_stage():
    """If no home target has a flow, its neighbors are asked, then the service."""
    view = make_view(*make_targets(109))
    balancer = make_balancer(view)
    homes = frames(balancer.receive_packet(DATA, NOW), Locate)
    neighbors = deny(balancer, homes)
    assert {a.host for a in neighbors} == {
        t.host for t in view.neighbors("orders", KEY)
    }
    others = deny(balancer, neighbors)
    stages = (*homes, *neighbors, *others)
    assert len({action.host for action in stages}) == len(stages) == 109
    located = Located(KEY, Ownership.OWNS)
    (carry,) = frames(balancer.receive_frame(located, others[0].host, NOW), Carry)
    assert carry.frame.packet == DATA


@pytest.mark.parametrize("ownership", [Ownership.NO, Ownership.MAYBE])
def test_retransmission_asks_no_agent_that_denied_the_flow(ownership):
    """The next packet of a flow that nobody has continues the search that ended."""
    view = make_view(*make_targets(109))
    balancer = make_balancer(view)
    # The frames of the last stage are used up, so that the first search ends early.
    balancer.searches.later_frames.try_take(int(FRAME_BURST) - 20, NOW)
    now, asked = NOW, []
    for round_start in (NOW, NOW + 0.2, NOW + 0.6):
        now = round_start
        actions = balancer.receive_packet(DATA, now)
        while locates := frames(actions, Locate):
            asked += [action.host for action in locates]
            actions, delivered = [], []
            for action in locates:
                delivered += balancer.receive_frame(
                    Located(KEY, ownership), action.host, now
                )
            actions += frames(delivered, Locate)
            for action in frames(delivered, Carry):
                actions += balancer.receive_frame(
                    Disowned(DisownReason.RETURNED, DATA), action.host, now
                )
        assert KEY not in balancer.searches.searches
    assert len(asked) == len(set(asked)) == 109
    later = frames(balancer.receive_packet(DATA, now + DENIAL_VALID_S), Locate)
    homes = {target.host for target in view.homes("orders", KEY)}
    assert {action.host for action in later} == homes


@pytest.mark.parametrize(("size", "is_asked"), [(0, False), (10, True)])
def test_searches_for_data_go_first(size, is_asked):
    """When frames are scarce, only packets with data get more than their homes."""
    balancer = make_balancer(make_view(*make_targets(109)))
    balancer.searches.later_frames.try_take(int(FRAME_BURST / 2), NOW)
    packet = client_packet(acknowledgement=700, data=size)
    homes = frames(balancer.receive_packet(packet, NOW), Locate)
    assert len(homes) == HOME_COUNT
    assert bool(deny(balancer, homes)) is is_asked


def test_storm_of_retransmissions_asks_each_agent_once():
    """Packets of 60 flows that nobody has ask 42 agents once each, not each time."""
    balancer = make_balancer(make_view(*make_targets(42)))
    balancer.gossip.confirmed_at = NOW + 60
    balancer.gossip.has_seen_peer = False
    sent = 0
    for delay in (0.0, 0.2, 0.6, 1.4, 3.0, 4.6, 6.2, 7.8):
        now = NOW + delay
        for port in range(1, 61):
            packet = client_packet(port=port, acknowledgement=700, data=1)
            key = PACKETS.decode(packet).client_key
            locates = frames(balancer.receive_packet(packet, now), Locate)
            while locates:
                sent += len(locates)
                actions = []
                for action in locates:
                    located = Located(key, Ownership.NO)
                    actions += balancer.receive_frame(located, action.host, now)
                locates = frames(actions, Locate)
    assert sent <= 60 * 42


def test_denials_of_an_earlier_flow_do_not_hold_for_a_reused_port():
    """What denied a late packet may have the flow that its client opened since."""
    view = make_view(*make_targets(20), version=3)
    balancer = make_balancer(view)
    late = client_packet(acknowledgement=700 + 2**30, data=10)
    asked = deny_all(balancer, late)
    assert len(asked) == 20
    again = frames(balancer.receive_packet(DATA, NOW + 0.1), Locate)
    assert {action.host for action in again} == {
        target.host for target in view.homes("orders", KEY)
    }


def test_unaffordable_rest_of_a_search_is_no_denial():
    """A continued search that may not ask the remaining agents resets nothing."""
    balancer = make_balancer(make_view(*make_targets(20)))
    balancer.receive_packet(DATA, NOW)
    search = balancer.searches.searches[KEY]
    for host in sorted(balancer.view.by_host)[:-1]:
        search.record_answer(host, Ownership.NO)
    search.stage = SearchStage.FLEET
    balancer.searches.end_denied(KEY)
    balancer.searches.later_frames.tokens = 0.0
    balancer.searches.later_frames.refilled_at = NOW
    assert balancer.receive_packet(DATA, NOW) == []


@pytest.mark.parametrize("share", [0.15, 0.3, 0.45])
@pytest.mark.parametrize("count", [42, 109, 300])
def test_release_leaves_flows_within_reach_of_their_homes(count, share):
    """After a release, 95% of the flows at old targets are found among 18 agents."""
    random = Random(count)
    before = make_targets(count)
    replaced = set(random.sample(range(count), int(count * share)))
    after = [
        replace(target, name=f"i-{random.getrandbits(32):08x}")
        if index in replaced
        else target
        for index, target in enumerate(before)
    ]
    old, new = TargetRing(before), TargetRing(after)
    found = []
    for number in range(2000):
        key = b"%d" % number
        owner = random.choice(old.homes(key))
        if owner in after:
            asked = (*new.homes(key), *new.neighbors(key))
            assert len(set(asked)) == len(asked) <= HOME_COUNT * (NEIGHBOR_COUNT + 1)
            found.append(owner in asked)
    assert sum(found) >= 0.95 * len(found)


def test_uncertain_homes_return_the_packet_before_others_are_asked():
    """After a restart of all agents, a search reaches six targets and not all."""
    view = make_view(*make_targets(109))
    balancer = make_balancer(view)
    delivered = []
    for action in frames(balancer.receive_packet(DATA, NOW), Locate):
        located = Located(KEY, Ownership.MAYBE)
        delivered += balancer.receive_frame(located, action.host, NOW)
    assert len(delivered) == len(frames(delivered, Carry)) == HOME_COUNT
    asked = []
    for action in delivered:
        disowned = Disowned(DisownReason.RETURNED, DATA)
        asked += balancer.receive_frame(disowned, action.host, NOW)
    neighbors = {target.host for target in view.neighbors("orders", KEY)}
    assert {action.host for action in frames(asked, Locate)} == neighbors
    assert len(asked) == len(neighbors) <= HOME_COUNT * NEIGHBOR_COUNT


def test_unanswered_home_is_no_denial():
    """A flow is not reset if one of its home targets did not answer."""
    balancer = make_balancer(make_view(*make_targets(20)))
    now = NOW
    actions = list(balancer.receive_packet(DATA, now))
    silent = frames(actions, Locate)[0].host
    for _ in range(4):
        asked, actions = frames(actions, Locate), []
        for action in asked:
            if action.host != silent:
                located = Located(KEY, Ownership.NO)
                actions += balancer.receive_frame(located, action.host, now)
        now += SEARCH_ROUND_S + RETURN_TIMEOUT_S
        actions += balancer.tick(now)
        assert of_kind(actions, ToClient) == []


def test_later_stages_are_limited():
    """Flows that nobody has cause a limited number of frames in a large service."""
    balancer = make_balancer(make_view(*make_targets(1000)))
    sent = 0
    for port in range(1, 200):
        packet = client_packet(port=port, acknowledgement=5, data=1)
        actions = balancer.receive_packet(packet, NOW)
        for action in frames(actions, Locate):
            located = Located(PACKETS.decode(packet).client_key, Ownership.NO)
            answer = balancer.receive_frame(located, action.host, NOW)
            sent += len(frames(answer, Locate))
    assert 0 < sent <= FRAME_BURST


@pytest.mark.parametrize(
    ("rate", "seed"), [(600.0, 1), (3000.0, 2), (5500.0, 3)], ids=["8%", "39%", "71%"]
)
def test_homes_serve_a_large_fleet(rate, seed):
    """Requests of a fleet with 109 targets are served in time at any usual load."""
    world = FlowWorld(replace(LARGE, seed=seed))
    world.offer_load(rate, START, START + 2)
    world.run_until(START + 5)
    served = world.served(START, START + 2)
    assert served.in_objective >= 0.995
    assert served.failed == 0.0


@pytest.mark.parametrize("seed", range(3))
def test_open_flows_outlive_restarts_in_a_large_fleet(seed):
    """No open flow is reset when balancers and agents restart during uploads."""
    options = replace(LARGE, seed=seed, request_packets=40, targets=40)
    world = FlowWorld(options)
    world.offer_load(300.0, START, START + 2)
    for index, host in enumerate((*world.balancers, *world.agents)):
        restart = (
            world.restart_balancer
            if host in world.balancers
            else lambda host: world.agents.update({host: world.make_agent(host)})
        )
        world.at(START + 0.4 + 0.03 * index, lambda h=host, r=restart: r(h))
    world.run_until(START + 6)
    assert sum(request.resets for request in world.finished) == 0
    assert world.served(START, START + 2).failed <= 0.01
    searches = [e for e in world.sink.events if e[0] is FLOW_SEARCHED]
    asked = [fields["asked"] for _, fields in searches]
    assert asked
    assert sum(asked) / len(asked) <= 10
