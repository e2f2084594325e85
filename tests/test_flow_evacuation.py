"""Tests of evacuated availability zones at balancers and agents."""

from dataclasses import replace

import pytest

from balsamtide.fleet.view import FleetView, TargetState, WarmUp
from balsamtide.flows.agent_state import CATCH_UP_S, HANDSHAKE_TIMEOUT_S, SUSPENSION_S
from balsamtide.flows.evacuation import FALL_RATIO, RETURN_S, ZoneEvacuation
from balsamtide.platform.packets import ACK, SYN
from balsamtide.protocol.flow_actions import ToClient, ToTarget
from balsamtide.protocol.flow_frames import Carry, Disowned, Refused, Taken
from tests.fakes_packets import (
    BALANCER,
    HOSTS,
    NOW,
    PACKETS,
    TARGETS,
    carry_frame,
    client_packet,
    frames,
    make_agent,
    make_balancer,
    make_view,
    of_kind,
    returned_packet,
    syn_packet,
    target_packet,
)

TIMEOUT_S = 5.0
FALL_S = FALL_RATIO * TIMEOUT_S
# The first target is in zone a, the others are in zone b.
ZONED = tuple(replace(t, zone="b" if i else "a") for i, t in enumerate(TARGETS))
OPEN = make_view(*ZONED)
EVACUATED = replace(OPEN, revision=10, evacuated_zones=frozenset("a"))
ALL_EVACUATED = replace(OPEN, revision=11, evacuated_zones=frozenset("ab"))
REQUEST = client_packet(ACK, acknowledgement=9001, data=20)
SYN_ACK = target_packet(SYN | ACK, sequence=9000)


def agent_of(view, **options):
    """Return the agent of the target in zone a, with a bound for evacuations."""
    evacuation = ZoneEvacuation(timeout_s=TIMEOUT_S, zone="a")
    return make_agent(view, evacuation=evacuation, **options)


def balancer_of(view, *, timeout_s=TIMEOUT_S, **options):
    """Return a balancer with a bound for evacuations."""
    return make_balancer(
        view, evacuation=ZoneEvacuation(timeout_s=timeout_s), **options
    )


def key_of(port):
    """Return the key of the flow from a client's port."""
    return PACKETS.decode(syn_packet(port)).client_key


def show(process, view, now):
    """Make a process learn of a view."""
    process.gossip.view = view
    process.gossip.confirmed_at = now
    process.update_zones(now)


def update(evacuation, view, now, age_s=0.0):
    """Show an evacuation a view that was confirmed some time ago."""
    return evacuation.update(view, now, confirmed_at=now - age_s)


def placed(balancer, now, ports=range(1024, 1324)):
    """Return the hosts to which the SYNs of new flows are sent."""
    actions = [a for p in ports for a in balancer.receive_packet(syn_packet(p), now)]
    return {action.host for action in frames(actions, Carry)}


# The share


@pytest.mark.parametrize(
    ("timeout_s", "elapsed_s", "share"),
    [
        (TIMEOUT_S, 0.0, 1.0),
        (TIMEOUT_S, FALL_S / 4, 0.75),
        (TIMEOUT_S, FALL_S, 0.0),
        (TIMEOUT_S, 900.0, 0.0),
        (None, 0.0, 0.0),
    ],
)
def test_share_falls_within_a_fifth_of_the_bound(timeout_s, elapsed_s, share):
    """A zone that still took flows later would break the bound of slow processes."""
    evacuation = ZoneEvacuation(timeout_s=timeout_s)
    update(evacuation, OPEN, NOW - 1)
    update(evacuation, EVACUATED, NOW)
    now = NOW + elapsed_s
    assert evacuation.share("a", "orders", EVACUATED, now) == pytest.approx(share)
    assert evacuation.share("b", "orders", EVACUATED, now) == 1.0


@pytest.mark.parametrize(
    ("unknown_s", "share"), [(1.0, 1.0), (3.5, 0.5), (4.0, 0.0), (60.0, 0.0)]
)
def test_late_news_of_an_evacuation_shortens_the_fall(unknown_s, share):
    """A process that was suspended or cut off may learn when the bound is over."""
    evacuation = ZoneEvacuation(timeout_s=TIMEOUT_S)
    update(evacuation, OPEN, NOW - unknown_s)
    update(evacuation, EVACUATED, NOW)
    assert evacuation.share("a", "orders", EVACUATED, NOW) == pytest.approx(share)


def test_first_view_with_an_evacuation_closes_the_zone():
    """A process that starts during an evacuation must not let the share fall anew."""
    evacuation = ZoneEvacuation(timeout_s=TIMEOUT_S)
    assert update(evacuation, FleetView(), NOW) == []
    update(evacuation, EVACUATED, NOW)
    assert evacuation.share("a", "orders", EVACUATED, NOW) == 0.0


@pytest.mark.parametrize(
    ("warm_ups", "lasts_s"),
    [({}, RETURN_S), ({"orders": WarmUp(lasts_s=8.0, rate=5.0)}, 8.0)],
    ids=["warm", "cold"],
)
def test_share_returns_within_the_warm_up(warm_ups, lasts_s):
    """A zone that got its whole share at once would be overloaded while it is cold."""
    configuration = replace(OPEN.configuration, warm_ups=warm_ups)
    view = replace(OPEN, configuration=configuration, revision=12)
    evacuation = ZoneEvacuation(timeout_s=TIMEOUT_S)
    update(evacuation, EVACUATED, NOW - 60)
    update(evacuation, view, NOW)
    shares = [
        evacuation.share("a", "orders", view, NOW + part * lasts_s)
        for part in (0.0, 0.25, 1.0)
    ]
    assert shares == pytest.approx([0.0, 0.25, 1.0])
    update(evacuation, view, NOW + lasts_s)
    assert not evacuation.phases


def test_share_has_no_step_when_the_operator_changes_his_mind():
    """A zone that is evacuated while it returns must not get all flows first."""
    evacuation = ZoneEvacuation(timeout_s=TIMEOUT_S)
    update(evacuation, EVACUATED, NOW - 60)
    update(evacuation, OPEN, NOW)
    update(evacuation, EVACUATED, NOW + RETURN_S / 4)
    now = NOW + RETURN_S / 4
    assert evacuation.share("a", "orders", EVACUATED, now) == pytest.approx(0.25)
    update(evacuation, OPEN, now + FALL_S / 10)
    share = evacuation.share("a", "orders", OPEN, now + FALL_S / 10)
    assert share == pytest.approx(0.15)


def test_processes_agree_about_the_order_of_flows():
    """The flows of a lower share are among those of a higher one, about as many."""
    evacuation = ZoneEvacuation(timeout_s=TIMEOUT_S)
    update(evacuation, OPEN, NOW - 1)
    update(evacuation, EVACUATED, NOW)
    target = ZONED[0]
    keys = [key_of(port) for port in range(1024, 3024)]
    admitted = [
        {key for key in keys if evacuation.admits(target, key, EVACUATED, now)}
        for now in (NOW, NOW + FALL_S / 4, NOW + FALL_S / 2, NOW + FALL_S)
    ]
    assert admitted[0] > admitted[1] > admitted[2] > admitted[3] == set()
    for share, remaining in zip((1.0, 0.75, 0.5), admitted, strict=False):
        assert len(remaining) / len(keys) == pytest.approx(share, abs=0.05)


# The balancer


@pytest.mark.parametrize(
    ("elapsed_s", "hosts"),
    [(FALL_S / 2, set(HOSTS)), (FALL_S, set(HOSTS[1:]))],
    ids=["falling", "closed"],
)
def test_balancer_places_no_flow_in_a_closed_zone(elapsed_s, hosts):
    """A new flow is placed outside a zone whose share is 0."""
    balancer = balancer_of(OPEN)
    assert placed(balancer, NOW) == set(HOSTS)
    show(balancer, EVACUATED, NOW)
    assert placed(balancer, NOW + elapsed_s, range(5000, 5300)) == hosts


@pytest.mark.parametrize(
    ("age_s", "settles_at", "resets"),
    [(0.0, 0.0, 1), (9.0, 0.0, 0), (0.0, NOW + 2, 0)],
    ids=["fresh", "old-view", "settling"],
)
def test_balancer_refuses_a_service_without_open_zones(age_s, settles_at, resets):
    """The reset needs a fresh view, and waits while targets may come back."""
    view = replace(ALL_EVACUATED, settles_at=settles_at)
    balancer = balancer_of(view, age_s=age_s)
    actions = balancer.receive_packet(syn_packet(), NOW)
    assert len(of_kind(actions, ToClient)) == resets
    assert not frames(actions, Carry)
    if resets:
        assert balancer.sink.events[-1][1]["reason"] == "evacuated"


def test_flows_stay_in_a_zone_with_a_share_if_there_is_no_other():
    """While the share of the only zone rises, no flow is refused as evacuated."""
    balancer = balancer_of(replace(make_view(ZONED[0]), evacuated_zones=frozenset("a")))
    assert placed(balancer, NOW) == set()
    show(balancer, make_view(ZONED[0], revision=12), NOW)
    ports = range(5000, 5100)
    actions = [
        a
        for p in ports
        for a in balancer.receive_packet(syn_packet(p), NOW + RETURN_S / 10)
    ]
    assert len(frames(actions, Carry)) == len(ports)


def test_draining_targets_outside_the_zone_are_not_called_evacuated():
    """The reason is truthful: evacuated only if open targets are in such zones."""
    gone = [replace(t, state=TargetState.DRAINING) for t in ZONED]
    view = replace(make_view(*gone), evacuated_zones=frozenset("a"))
    balancer = balancer_of(view)
    balancer.receive_packet(syn_packet(), NOW)
    assert balancer.sink.events[-1][1]["reason"] == "no-target"


def test_deferred_syns_are_placed_by_the_first_view():
    """SYNs from before the first view do not reach the zone that it evacuates."""
    balancer = balancer_of(FleetView())
    for port in range(1024, 1124):
        assert balancer.receive_packet(syn_packet(port), NOW) == []
    balancer.gossip.view = EVACUATED
    carries = frames(balancer.process_deferred(NOW + 0.1), Carry)
    assert {action.host for action in carries} == set(HOSTS[1:])


# The agent


def deliver(agent, packet, now, **options):
    """Return the actions after a frame with a packet arrived."""
    return agent.receive_frame(carry_frame(packet, **options), BALANCER, now)


def new_flow(agent):
    """Return no earlier packet."""
    return syn_packet()


def unanswered_flow(agent):
    """Deliver a SYN that the target does not answer; return its retransmission."""
    assert of_kind(deliver(agent, syn_packet(), NOW), ToTarget)
    return syn_packet(retransmissions=1)


def answered_flow(agent):
    """Open a flow up to the SYN-ACK; return a retransmission of the SYN."""
    deliver(agent, syn_packet(), NOW)
    agent.receive_from_target(SYN_ACK, NOW)
    return syn_packet(retransmissions=1)


def restarted_agent(agent):
    """Open a flow that the agent knows from the target only; reuse its port."""
    agent.receive_from_target(target_packet(sequence=9001, data=9), NOW)
    return syn_packet(sequence=77_000)


def reused_port(agent):
    """Open and close a flow; return the SYN of the next one from the same port."""
    answered_flow(agent)
    deliver(agent, REQUEST, NOW)
    return syn_packet(sequence=77_000)


PATHS = {
    "new": (new_flow, {}),
    "told-to": (new_flow, {"must_take": True}),
    "sent-back": (new_flow, {"must_take": True, "visited": HOSTS[:2]}),
    "forwarded": (new_flow, {"visited": HOSTS[1:2], "best_host": HOSTS[0]}),
    "tentative": (new_flow, {"is_tentative": True}),
    "retransmitted-unanswered": (unanswered_flow, {"must_take": True}),
    "retransmitted-answered": (answered_flow, {"must_take": True}),
    "reused-port": (reused_port, {"must_take": True}),
    "restarted": (restarted_agent, {"must_take": True}),
}


@pytest.mark.parametrize(("prepare", "options"), PATHS.values(), ids=PATHS)
@pytest.mark.parametrize("is_listed", [True, False], ids=["listed", "not-listed"])
@pytest.mark.parametrize("age_s", [0.0, 60.0], ids=["fresh", "old-view"])
def test_no_syn_reaches_a_target_in_a_closed_zone(prepare, options, is_listed, age_s):
    """Whatever way a SYN takes, the agent keeps it from its target."""
    agent = agent_of(OPEN)
    agent.update_zones(NOW)
    packet = prepare(agent)
    targets = ZONED if is_listed else ZONED[1:]
    view = replace(make_view(*targets), evacuated_zones=frozenset("a"), revision=10)
    show(agent, view, NOW)
    now = NOW + FALL_S
    agent.tick(now)
    agent.gossip.confirmed_at = now - age_s
    actions = deliver(agent, packet, now, **options)
    assert not of_kind(actions, ToTarget)
    assert not of_kind(actions, ToClient)
    assert {a.host for a in frames(actions, Carry)} <= set(HOSTS[1:])
    # It goes to a peer, or the target has its flow.
    assert frames(actions, Carry) or frames(actions, Taken)


@pytest.mark.parametrize(("prepare", "options"), PATHS.values(), ids=PATHS)
def test_syns_reach_the_target_while_the_zone_has_a_share(prepare, options):
    """The test of the closed zone would pass as well if nothing was delivered."""
    agent = agent_of(OPEN)
    agent.update_zones(NOW)
    packet = prepare(agent)
    show(agent, EVACUATED, NOW)
    actions = deliver(agent, packet, NOW + FALL_S / 2, **options)
    assert of_kind(actions, ToTarget) == [ToTarget(packet)]


def test_open_flows_stay_in_a_closed_zone():
    """The packets of an open flow still go to its target, and no reset is sent."""
    agent = agent_of(OPEN)
    answered_flow(agent)
    show(agent, EVACUATED, NOW)
    assert deliver(agent, REQUEST, NOW + FALL_S) == [ToTarget(REQUEST)]
    (taken,) = deliver(agent, syn_packet(retransmissions=1), NOW + FALL_S)
    assert isinstance(taken.frame, Taken)
    assert deliver(agent, REQUEST, NOW + FALL_S) == [ToTarget(REQUEST)]


def fill(agent, count=4):
    """Occupy the target's slots and queue flows; return the ports of the queued."""
    for port in range(1, count):
        deliver(agent, syn_packet(port), NOW, must_take=True)
        if key_of(port) in agent.queue.entries:
            # The target has not got this SYN.
            continue
        agent.receive_from_target(
            target_packet(SYN | ACK, port=port, sequence=9000), NOW
        )
        packet = client_packet(ACK, port=port, acknowledgement=9001, data=20)
        deliver(agent, packet, NOW)
    ports = [port for port in range(1, count) if key_of(port) in agent.queue.entries]
    assert ports
    return ports


@pytest.mark.parametrize("trigger", ["tick", "answer", "view"])
def test_queued_flows_move_once_the_zone_is_closed(trigger):
    """Queued SYNs go to peers at once, and none of them to the target."""
    agent = agent_of(OPEN)
    agent.update_zones(NOW)
    ports = fill(agent)
    show(agent, EVACUATED, NOW)
    now = NOW + FALL_S
    for queued in agent.queue.entries.values():
        queued.give_up_at = now + 1
    if trigger == "tick":
        actions = agent.tick(now)
    elif trigger == "answer":
        answer = target_packet(port=1, sequence=9001, data=9)
        actions = agent.receive_from_target(answer, now)
    else:
        actions = agent.view_changed(now)
    assert not of_kind(actions, ToTarget)
    assert len(frames(actions, Carry)) == len(ports)
    assert not agent.queue


def test_returned_syn_goes_to_an_open_zone():
    """A SYN that the target returns is not sent to a peer in a closed zone."""
    agent = agent_of(OPEN, host=HOSTS[1])
    deliver(agent, syn_packet(), NOW, best_host=HOSTS[0])
    show(agent, EVACUATED, NOW)
    returned = returned_packet(syn_packet())
    actions = agent.receive_from_target(returned, NOW + FALL_S)
    assert [action.host for action in frames(actions, Carry)] == [HOSTS[2]]


def test_syn_of_an_unresponsive_target_goes_to_an_open_zone():
    """A SYN without an answer is not sent to a peer in a closed zone."""
    agent = agent_of(OPEN, host=HOSTS[1])
    deliver(agent, syn_packet(), NOW, best_host=HOSTS[0])
    show(agent, replace(EVACUATED), NOW - FALL_S)
    actions = agent.tick(NOW + HANDSHAKE_TIMEOUT_S)
    assert [action.host for action in frames(actions, Carry)] == [HOSTS[2]]


@pytest.mark.parametrize(
    ("age_s", "resets"), [(0.0, 1), (9.0, 0)], ids=["fresh", "old"]
)
def test_agent_refuses_a_service_without_open_zones(age_s, resets):
    """A flow that reaches the last closed zone is reset, given a fresh view."""
    agent = agent_of(ALL_EVACUATED, age_s=age_s)
    actions = deliver(agent, syn_packet(), NOW)
    assert len(of_kind(actions, ToClient)) == resets
    assert len(frames(actions, Refused)) == resets
    assert not of_kind(actions, ToTarget)
    if resets:
        assert agent.sink.events[-1][1]["reason"] == "evacuated"


@pytest.mark.parametrize("prepare", [new_flow, restarted_agent])
@pytest.mark.parametrize(("timeout_s", "delivered"), [(TIMEOUT_S, False), (None, True)])
def test_restarted_agent_delivers_no_syn_before_its_view(prepare, timeout_s, delivered):
    """Without a view, an agent can't know that its zone is evacuated."""
    evacuation = ZoneEvacuation(timeout_s=timeout_s, zone="a")
    agent = make_agent(FleetView(), evacuation=evacuation, flow_lifetime_s=60.0)
    packet = prepare(agent)
    actions = deliver(agent, packet, NOW, must_take=True)
    assert bool(of_kind(actions, ToTarget)) is delivered
    # The balancer places it again.
    assert bool(frames(actions, Disowned)) is not delivered
    show(agent, EVACUATED, NOW)
    actions = deliver(agent, syn_packet(7), NOW, must_take=True)
    assert not of_kind(actions, ToTarget)


@pytest.mark.parametrize(
    ("gap_s", "age_s", "waited_s", "delivered"),
    [
        (SUSPENSION_S / 2, 60.0, 0.0, True),
        (60.0, 60.0, 0.0, False),
        (60.0, 0.0, 0.0, True),
        (60.0, 60.0, CATCH_UP_S, True),
    ],
    ids=["no-gap", "resumed", "confirmed", "store-unavailable"],
)
@pytest.mark.parametrize(
    "is_ticked", [True, False], ids=["timer-first", "packet-first"]
)
def test_resumed_agent_waits_for_a_fresh_view(
    gap_s, age_s, waited_s, delivered, is_ticked
):
    """Packets that arrived during a suspension may be for an evacuated zone."""
    agent = agent_of(OPEN)
    agent.tick(NOW)
    now = NOW + gap_s
    agent.gossip.confirmed_at = now - age_s
    if is_ticked:
        agent.tick(now)
    actions = deliver(agent, syn_packet(1), now, must_take=True)
    if waited_s:
        assert not of_kind(actions, ToTarget)
        actions = deliver(agent, syn_packet(2), now + waited_s, must_take=True)
    assert bool(of_kind(actions, ToTarget)) is delivered


def test_ended_evacuation_lets_flows_in_again():
    """The agent of a zone that returns takes what balancers send there."""
    agent = agent_of(EVACUATED)
    assert not of_kind(deliver(agent, syn_packet(1), NOW), ToTarget)
    show(agent, replace(OPEN, revision=12), NOW)
    assert of_kind(deliver(agent, syn_packet(2), NOW + RETURN_S / 10), ToTarget)


def test_processes_report_evacuations_once():
    """The log tells when a process learned of a begin and of an end."""
    balancer = balancer_of(OPEN)
    for view, now in ((OPEN, 0), (EVACUATED, 1), (EVACUATED, 2), (OPEN, 3), (OPEN, 9)):
        show(balancer, view, NOW + now)
    reported = [(event.name, fields["zone"]) for event, fields in balancer.sink.events]
    assert reported == [("zone-evacuated", "a"), ("zone-returns", "a")]


def test_queued_flow_moves_to_an_agent_that_it_has_visited():
    """A visited agent was busy then; it must not count as unable to take the flow."""
    two = make_view(*ZONED[:2])
    agent = agent_of(two)
    agent.flows.service_time_s = 0.05
    for port in range(1, 30):
        agent.receive_frame(
            carry_frame(syn_packet(port), must_take=True, visited=(HOSTS[1],)),
            BALANCER,
            NOW,
        )
    queued = len(agent.queue)
    assert queued
    agent.gossip.view = replace(two, revision=10, evacuated_zones=frozenset("a"))
    agent.gossip.confirmed_at = NOW
    agent.evacuation.confirmed_at = NOW - TIMEOUT_S
    actions = agent.view_changed(NOW)
    assert not of_kind(actions, ToClient)
    assert {frame.host for frame in frames(actions, Carry)} == {HOSTS[1]}
    assert len(frames(actions, Carry)) == queued


def test_agent_takes_a_flow_back_that_its_peer_must_not_open():
    """It must not send the flow to the evacuated peer that it was forwarded to."""
    agent = make_agent(make_view(*ZONED[:2]), host=HOSTS[1])
    packet = PACKETS.decode(syn_packet())
    agent._forward(packet, carry_frame(syn_packet()), HOSTS[0], "busy", NOW)
    carry = carry_frame(syn_packet(), visited=(HOSTS[0],))
    assert of_kind(agent.receive_frame(carry, HOSTS[0], NOW + 0.1), ToTarget)
