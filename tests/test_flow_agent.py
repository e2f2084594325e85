"""Decisions of an agent about raw packets."""

from dataclasses import replace

import pytest

from balsamtide.fleet.view import TargetState
from balsamtide.flows.agent_state import HANDSHAKE_TIMEOUT_S
from balsamtide.flows.local_flows import RESERVATION_S
from balsamtide.platform.packets import ACK, FIN, MAX_DATA_BYTES, RESET, SYN
from balsamtide.protocol.flow_actions import ToClient, ToTarget
from balsamtide.protocol.flow_frames import (
    Carry,
    Disowned,
    DisownReason,
    Locate,
    Located,
    Ownership,
    Refused,
    Taken,
    service_tag,
)
from tests.fakes_packets import (
    ADDRESS,
    BALANCER,
    HOSTS,
    NOW,
    PACKETS,
    STARTED_MS,
    TARGETS,
    carry,
    client_packet,
    frames,
    make_agent,
    make_route,
    make_view,
    of_kind,
    opening,
    returned,
    target_packet,
)

KEY = PACKETS.decode(opening()).client_key
HANDSHAKE = 9000
DATA = client_packet(ACK, acknowledgement=HANDSHAKE + 1, data=20)


def open_flow(agent, port=40001, now=NOW):
    """Open a flow up to its handshake."""
    actions = agent.receive_frame(carry(opening(port)), BALANCER, now)
    agent.receive_from_target(
        target_packet(SYN | ACK, port=port, sequence=HANDSHAKE), now
    )
    return actions


def data(port):
    """Return a client's request on a port."""
    return client_packet(ACK, port=port, acknowledgement=HANDSHAKE + 1, data=20)


def test_new_flow_is_delivered_and_confirmed():
    """A free target gets the opening, its balancer the word."""
    agent = make_agent()
    actions = open_flow(agent)
    assert of_kind(actions, ToTarget) == [ToTarget(opening())]
    (taken,) = frames(actions, Taken)
    assert (taken.host, taken.frame.key) == (BALANCER, KEY)


def test_packets_pass_unchanged():
    """Packets between client and target are not changed."""
    agent = make_agent()
    open_flow(agent)
    assert agent.receive_frame(carry(DATA), BALANCER, NOW) == [ToTarget(DATA)]
    answer = target_packet(ACK, sequence=HANDSHAKE + 1, data=30)
    assert ToClient(0x64400007, answer) in agent.receive_from_target(answer, NOW)


def test_full_agent_passes_a_new_flow_on():
    """With its slot taken, an agent looks for one at its peers."""
    agent = make_agent()
    open_flow(agent, port=1)
    agent.receive_frame(carry(data(1)), BALANCER, NOW)
    actions = agent.receive_frame(carry(opening(2)), BALANCER, NOW)
    (passed,) = frames(actions, Carry)
    assert passed.host in HOSTS[1:]
    assert passed.frame.visited == (HOSTS[0],)
    assert (passed.frame.best_host, passed.frame.best_load) == (HOSTS[0], 1.0)


def test_least_loaded_agent_takes_a_flow_that_found_no_slot():
    """The flow comes back to the best agent, which delivers it."""
    agent = make_agent()
    open_flow(agent, port=1)
    agent.receive_frame(carry(data(1)), BALANCER, NOW)
    agent.receive_frame(carry(opening(2)), BALANCER, NOW)
    back = carry(opening(2), must_take=True, visited=HOSTS, best_host=HOSTS[0])
    actions = agent.receive_frame(back, HOSTS[1], NOW)
    assert of_kind(actions, ToTarget)
    assert frames(actions, Taken)[0].host == BALANCER


def test_packets_follow_a_flow_that_was_passed_on():
    """What comes before the balancer knows goes the same way."""
    agent = make_agent()
    open_flow(agent, port=1)
    agent.receive_frame(carry(data(1)), BALANCER, NOW)
    (passed,) = frames(agent.receive_frame(carry(opening(2)), BALANCER, NOW), Carry)
    for packet in (opening(2, copies=1), data(2)):
        (action,) = agent.receive_frame(carry(packet), BALANCER, NOW)
        assert action.host == passed.host


@pytest.mark.parametrize(
    "first",
    [target_packet(ACK, sequence=HANDSHAKE + 1, data=30), target_packet(ACK | FIN)],
    ids=["data", "end-first"],
)
def test_slot_is_free_once_the_answer_begins(first):
    """The first packet of an answer frees the slot, whichever comes first."""
    agent = make_agent()
    open_flow(agent)
    agent.receive_frame(carry(DATA), BALANCER, NOW)
    agent.receive_frame(
        carry(client_packet(ACK | FIN, acknowledgement=HANDSHAKE + 1)), BALANCER, NOW
    )
    assert agent.load(NOW + 0.5) == 1.0
    agent.receive_from_target(first, NOW + 0.5)
    assert agent.load(NOW + 0.5) == 0.0
    assert agent.sink.durations["flow_answer_seconds"] == [0.5]


def test_request_takes_a_slot_once_its_last_octets_are_there():
    """A long request that still arrives keeps no slot from others."""
    agent = make_agent()
    open_flow(agent)
    part = client_packet(ACK, acknowledgement=HANDSHAKE + 1, data=MAX_DATA_BYTES)
    agent.receive_frame(carry(part), BALANCER, NOW + 0.01)
    assert agent.load(NOW + 0.01) == 0
    rest = client_packet(
        ACK, sequence=500 + MAX_DATA_BYTES, acknowledgement=HANDSHAKE + 1, data=20
    )
    agent.receive_frame(carry(rest), BALANCER, NOW + 0.2)
    assert agent.load(NOW + 0.2) == 1
    answer = target_packet(sequence=HANDSHAKE + 1, data=300)
    agent.receive_from_target(answer, NOW + 0.25)
    assert agent.load(NOW + 0.25) == 0
    # The mean starts from 0.02 s, a fifth of the objective; the request took 0.05 s.
    assert agent.flows.service_time_s == pytest.approx(0.023)


@pytest.mark.parametrize(
    ("sequence", "size", "load"),
    [(500, 20, 0), (520, 20, 1), (520, MAX_DATA_BYTES, 0)],
    ids=["repeated", "next-request", "part-of-the-next"],
)
def test_repeated_octets_are_no_request(sequence, size, load):
    """What a client sends again after its answer began counts as no work."""
    agent = make_agent()
    open_flow(agent)
    agent.receive_frame(carry(DATA), BALANCER, NOW)
    agent.receive_from_target(target_packet(sequence=HANDSHAKE + 1, data=9), NOW)
    packet = client_packet(
        ACK, sequence=sequence, acknowledgement=HANDSHAKE + 1, data=size
    )
    agent.receive_frame(carry(packet), BALANCER, NOW + 0.2)
    assert agent.load(NOW + 0.2) == load


def test_reservation_ends_without_a_request():
    """A client that went elsewhere does not keep a slot."""
    agent = make_agent()
    open_flow(agent)
    assert agent.load(NOW) == 1.0
    assert agent.load(NOW + RESERVATION_S) == 0.0


def draining(target):
    """Return a target that drains."""
    return replace(target, state=TargetState.DRAINING)


@pytest.mark.parametrize(
    "view",
    [
        make_view(draining(TARGETS[0]), *TARGETS[1:]),
        make_view(*TARGETS[1:]),
        make_view(
            *TARGETS,
            replace(TARGETS[0], name="new", service="proofs", started_ms=STARTED_MS),
        ),
    ],
    ids=["draining", "gone", "other-service"],
)
def test_target_that_left_gets_no_new_flows(view):
    """New flows go to a peer once the view says that the target left."""
    actions = make_agent(view).receive_frame(carry(opening()), BALANCER, NOW)
    assert not of_kind(actions, ToTarget)
    assert frames(actions, Carry)[0].host in HOSTS[1:]


@pytest.mark.parametrize(
    ("age_s", "resets"), [(0.0, 1), (9.0, 0)], ids=["fresh", "old"]
)
def test_flow_without_any_target_is_refused(age_s, resets):
    """Where nobody takes new flows, the client is told at once if that is certain."""
    view = make_view(*(draining(target) for target in TARGETS))
    agent = make_agent(view, age_s=age_s)
    actions = agent.receive_frame(carry(opening()), BALANCER, NOW)
    assert len(of_kind(actions, ToClient)) == resets
    assert len(frames(actions, Refused)) == resets
    assert not of_kind(actions, ToTarget)


def test_packet_of_another_service_is_handed_back():
    """No packet of another service reaches the target."""
    agent = make_agent()
    for packet in (opening(), DATA):
        foreign = carry(packet, service=service_tag("proofs"))
        actions = agent.receive_frame(foreign, BALANCER, NOW)
        assert not of_kind(actions, ToTarget)
        assert frames(actions, Disowned)[0].host == BALANCER


@pytest.mark.parametrize(
    ("routes", "version", "delivered"),
    [
        ({ADDRESS: make_route("proofs")}, 4, False),
        ({}, 4, False),
        ({ADDRESS: make_route("proofs")}, 3, True),
    ],
    ids=["moved", "dropped", "same-version"],
)
def test_newer_configuration_of_the_agent_holds(routes, version, delivered):
    """An opening by an older configuration is corrected at the agent."""
    agent = make_agent(make_view(routes=routes, version=version))
    actions = agent.receive_frame(carry(opening()), BALANCER, NOW)
    assert bool(of_kind(actions, ToTarget)) is delivered


@pytest.mark.parametrize(
    ("sent", "acknowledged", "is_delivered"),
    [
        (0, 1, True),
        (0, 2000, False),
        (0, 1 << 24, False),
        (0, -1, False),
        (600, 601, True),
        (600, 5000, False),
    ],
    ids=["handshake", "beyond", "far-beyond", "before", "answer", "beyond-answer"],
)
def test_only_what_the_target_sent_is_acknowledged_here(
    sent, acknowledged, is_delivered
):
    """A late copy of an opening leaves a flow here that the client has elsewhere."""
    agent = make_agent()
    open_flow(agent)
    if sent:
        answer = target_packet(sequence=HANDSHAKE + 1, data=sent)
        agent.receive_from_target(answer, NOW)
    packet = client_packet(ACK, acknowledgement=HANDSHAKE + acknowledged, data=20)
    actions = agent.receive_frame(carry(packet), BALANCER, NOW)
    assert (len(of_kind(actions, ToTarget)) == 1) is is_delivered
    assert (len(frames(actions, Disowned)) == 1) is not is_delivered


@pytest.mark.parametrize("answered", [0, 600])
def test_late_copy_of_an_opening_changes_nothing(answered):
    """A copy that comes once the flow is open neither moves nor replaces the flow."""
    agent = make_agent()
    open_flow(agent)
    agent.receive_frame(carry(DATA), BALANCER, NOW)
    if answered:
        answer = target_packet(sequence=HANDSHAKE + 1, data=answered)
        agent.receive_from_target(answer, NOW)
    late = agent.receive_frame(carry(opening(copies=1)), BALANCER, NOW + 0.1)
    assert [type(a.frame) for a in frames(late, Taken)] == [Taken]
    assert len(late) == 1
    later = agent.tick(NOW + 0.1 + HANDSHAKE_TIMEOUT_S)
    assert frames(later, Carry) == []
    acknowledged = HANDSHAKE + 1 + answered
    packet = client_packet(ACK, acknowledgement=acknowledged, data=20)
    actions = agent.receive_frame(carry(packet), BALANCER, NOW + 0.3)
    assert len(of_kind(actions, ToTarget)) == 1


def test_opening_for_a_flow_learnt_later_is_left_to_the_target():
    """An agent that did not see a flow's opening can't tell a copy from a new flow."""
    agent = make_agent()
    agent.receive_from_target(target_packet(sequence=5, data=9), NOW)
    actions = agent.receive_frame(carry(opening()), BALANCER, NOW)
    assert [action.packet for action in of_kind(actions, ToTarget)] == [opening()]
    assert len(frames(actions, Taken)) == 1


def test_new_flow_from_a_port_that_was_used_is_opened():
    """An opening with another sequence is no copy."""
    agent = make_agent()
    open_flow(agent)
    agent.receive_frame(carry(DATA), BALANCER, NOW)
    agent.receive_from_target(target_packet(sequence=HANDSHAKE + 1, data=9), NOW)
    packet = opening(sequence=77_000)
    actions = agent.receive_frame(carry(packet), BALANCER, NOW + 5)
    assert [action.packet for action in of_kind(actions, ToTarget)] == [packet]


def test_other_handshake_is_disowned():
    """A client that took another target's handshake is not served here."""
    agent = make_agent()
    open_flow(agent)
    wrong = client_packet(ACK, acknowledgement=HANDSHAKE + 2**30, data=20)
    actions = agent.receive_frame(carry(wrong), BALANCER, NOW)
    (disowned,) = frames(actions, Disowned)
    assert disowned.frame.reason is DisownReason.OTHER_HANDSHAKE
    assert not of_kind(actions, ToTarget)


@pytest.mark.parametrize(
    ("lifetime_s", "started_ms", "acknowledgement", "expected"),
    [
        (0.0, None, HANDSHAKE + 1, Ownership.OWNS),
        (0.0, None, 5, Ownership.NO),
        (60.0, STARTED_MS - 60_000, HANDSHAKE + 1, Ownership.OWNS),
    ],
    ids=["mine", "other-handshake", "mine-after-start"],
)
def test_agent_knows_the_flows_that_it_opened(
    lifetime_s, started_ms, acknowledgement, expected
):
    """A flow is recognised by its key and its handshake."""
    agent = make_agent(flow_lifetime_s=lifetime_s)
    open_flow(agent)
    (action,) = agent.receive_frame(Locate(KEY, acknowledgement), BALANCER, NOW)
    assert action.frame == Located(KEY, expected)


@pytest.mark.parametrize(
    "target_started_ms",
    [STARTED_MS - 60_000, STARTED_MS - 100, STARTED_MS + 5000],
    ids=["older-target", "started-together", "younger-target"],
)
def test_restarted_agent_denies_no_flow(target_started_ms):
    """An agent that was restarted can't deny a flow, whatever the clocks say."""
    target = replace(TARGETS[0], started_ms=target_started_ms)
    agent = make_agent(make_view(target, *TARGETS[1:]), flow_lifetime_s=60.0)
    (action,) = agent.receive_frame(Locate(KEY, 5), BALANCER, NOW)
    assert action.frame.ownership is Ownership.MAYBE


def test_restarted_agent_learns_flows_from_its_target():
    """What the target sends shows that it holds a flow; the searcher is told."""
    agent = make_agent(flow_lifetime_s=60.0)
    actions = agent.receive_frame(carry(DATA, is_tentative=True), BALANCER, NOW)
    assert actions == [ToTarget(DATA)]
    answer = target_packet(ACK, sequence=HANDSHAKE + 1, data=30)
    actions = agent.receive_from_target(answer, NOW)
    assert frames(actions, Taken)[0].host == BALANCER
    (located,) = agent.receive_frame(Locate(KEY, HANDSHAKE + 1), BALANCER, NOW)
    assert located.frame.ownership is Ownership.OWNS


@pytest.mark.parametrize(
    ("is_tentative", "reason"),
    [(True, DisownReason.RETURNED), (False, DisownReason.NOT_HERE)],
    ids=["offered", "expected-here"],
)
def test_returned_packet_of_an_unknown_flow_goes_back(is_tentative, reason):
    """A packet that the target does not know is handed back, never reset."""
    agent = make_agent(flow_lifetime_s=60.0)
    agent.receive_frame(carry(DATA, is_tentative=is_tentative), BALANCER, NOW)
    (action,) = agent.receive_from_target(returned(DATA), NOW)
    assert action.frame == Disowned(reason, DATA)


@pytest.mark.parametrize(
    ("later_s", "expected"), [(1.0, Ownership.NO), (10.0, Ownership.MAYBE)]
)
def test_returned_packet_shows_that_the_flow_is_elsewhere(later_s, expected):
    """What the target returned is not offered to it again for some time."""
    agent = make_agent(flow_lifetime_s=60.0)
    agent.receive_frame(carry(DATA, is_tentative=True), BALANCER, NOW)
    agent.receive_from_target(returned(DATA), NOW)
    locate = Locate(KEY, HANDSHAKE + 1)
    (action,) = agent.receive_frame(locate, BALANCER, NOW + later_s)
    assert action.frame.ownership is expected
    again = agent.receive_frame(carry(DATA), BALANCER, NOW + later_s)
    assert len(of_kind(again, ToTarget)) == (expected is Ownership.MAYBE)


def test_flow_opened_after_a_return_is_known():
    """An opening ends what an earlier return said."""
    agent = make_agent(flow_lifetime_s=60.0)
    agent.receive_frame(carry(DATA, is_tentative=True), BALANCER, NOW)
    agent.receive_from_target(returned(DATA), NOW)
    open_flow(agent)
    locate = Locate(KEY, HANDSHAKE + 1)
    (action,) = agent.receive_frame(locate, BALANCER, NOW)
    assert action.frame.ownership is Ownership.OWNS


def test_returned_packet_of_an_open_flow_ends_it():
    """A target that lost an open flow makes the agent reset it."""
    agent = make_agent()
    open_flow(agent)
    agent.receive_frame(carry(DATA), BALANCER, NOW)
    (action,) = agent.receive_from_target(returned(DATA), NOW)
    assert PACKETS.decode(action.packet).raw[8] == RESET
    assert agent.flows.get(KEY, NOW) is None


def test_returned_opening_goes_to_a_peer():
    """An opening that the target can't take is sent on as the client wrote it."""
    agent = make_agent()
    agent.receive_frame(carry(opening()), BALANCER, NOW)
    (action,) = agent.receive_from_target(returned(opening()), NOW)
    assert action.host in HOSTS[1:]
    assert action.frame.packet == opening()


def test_silent_target_loses_its_openings_to_peers():
    """What a silent target did not answer, and what comes next, goes on."""
    agent = make_agent()
    agent.receive_frame(carry(opening()), BALANCER, NOW)
    actions = agent.tick(NOW + HANDSHAKE_TIMEOUT_S)
    assert frames(actions, Carry)[0].host in HOSTS[1:]
    later = NOW + HANDSHAKE_TIMEOUT_S + 0.01
    actions = agent.receive_frame(carry(opening(2)), BALANCER, later)
    assert not of_kind(actions, ToTarget)
    agent.receive_from_target(target_packet(SYN | ACK, sequence=1), later)
    actions = agent.receive_frame(carry(opening(3)), BALANCER, later)
    assert of_kind(actions, ToTarget)


def test_lost_handshake_is_left_to_the_client():
    """A target that speaks is not silent because one packet was lost."""
    agent = make_agent()
    agent.receive_frame(carry(opening(1)), BALANCER, NOW)
    agent.receive_from_target(target_packet(ACK, port=9, data=5), NOW + 0.05)
    assert agent.tick(NOW + HANDSHAKE_TIMEOUT_S) == []


def slow_agent(view=None):
    """Return an agent whose target takes long and has its slot and more taken."""
    agent = make_agent(view or make_view(TARGETS[0]))
    agent.flows.service_time_s = 0.2
    for port in (1, 2):
        open_flow(agent, port=port)
        agent.receive_frame(carry(data(port)), BALANCER, NOW)
    return agent


def test_openings_wait_and_start_when_a_slot_is_free():
    """A waiting opening is confirmed, joined by its copies and started later."""
    agent = slow_agent()
    actions = agent.receive_frame(carry(opening(3)), BALANCER, NOW)
    assert not of_kind(actions, ToTarget)
    assert frames(actions, Taken)
    copy = agent.receive_frame(carry(opening(3, copies=1)), BALANCER, NOW + 0.2)
    assert not of_kind(copy, ToTarget)
    freed = agent.receive_from_target(
        target_packet(ACK, port=1, sequence=HANDSHAKE + 1, data=5), NOW + 0.2
    )
    assert of_kind(freed, ToTarget) == [ToTarget(opening(3))]


def test_waiting_ends_in_a_refusal_in_time():
    """An opening whose client gives up soon is reset, so that it can try again."""
    agent = slow_agent()
    agent.receive_frame(carry(opening(3)), BALANCER, NOW)
    assert not of_kind(agent.tick(NOW + 0.85), ToClient)
    assert len(of_kind(agent.tick(NOW + 0.95), ToClient)) == 1


def test_useless_opening_is_refused_at_once():
    """Where the wait would outlast the request's time, nothing waits."""
    agent = slow_agent()
    agent.flows.service_time_s = 5.0
    actions = agent.receive_frame(carry(opening(3)), BALANCER, NOW)
    assert len(of_kind(actions, ToClient)) == 1
    assert frames(actions, Refused)


def test_waiting_openings_move_to_targets_that_appear():
    """What waits at the only target goes to a peer once the view has one."""
    agent = slow_agent()
    agent.receive_frame(carry(opening(3)), BALANCER, NOW)
    agent.sharing.view = make_view(*TARGETS[:2], revision=10)
    (passed,) = frames(agent.view_changed(NOW + 0.1), Carry)
    assert (passed.host, passed.frame.packet) == (HOSTS[1], opening(3))


def test_nothing_is_refused_while_targets_come_back():
    """Right after an outage of the store openings wait, however long the queue."""
    view = replace(make_view(TARGETS[0]), settles_at=NOW + 2)
    agent = slow_agent(view)
    agent.flows.service_time_s = 5.0
    actions = agent.receive_frame(carry(opening(3)), BALANCER, NOW)
    assert not of_kind(actions, ToClient)
    assert agent.queue.get(PACKETS.decode(opening(3)).client_key) is not None


def test_long_requests_are_held_from_the_start():
    """Before any request was measured, the objective tells long from short."""
    routes = {ADDRESS: replace(make_route(), objective_s=0.5)}
    agent = make_agent(make_view(TARGETS[0], routes=routes))
    for port in (1, 2):
        open_flow(agent, port=port)
        agent.receive_frame(carry(data(port)), BALANCER, NOW)
    actions = agent.receive_frame(carry(opening(3)), BALANCER, NOW)
    assert not of_kind(actions, ToTarget)


def test_one_short_request_does_not_end_the_holding():
    """The mean time of requests starts from the objective, not from one sample."""
    routes = {ADDRESS: replace(make_route(), objective_s=0.2)}
    agent = make_agent(make_view(TARGETS[0], routes=routes))
    open_flow(agent, port=9)
    agent.receive_frame(carry(data(9)), BALANCER, NOW)
    agent.receive_from_target(
        target_packet(ACK, port=9, sequence=HANDSHAKE + 1, data=5), NOW + 0.005
    )
    for port in (1, 2):
        open_flow(agent, port=port)
        agent.receive_frame(carry(data(port)), BALANCER, NOW)
    actions = agent.receive_frame(carry(opening(3)), BALANCER, NOW)
    assert not of_kind(actions, ToTarget)


def test_stopping_agent_hands_over_what_waits():
    """A planned stop passes waiting openings on."""
    agent = make_agent()
    agent.flows.service_time_s = 0.2
    for port in (1, 2):
        open_flow(agent, port=port)
        agent.receive_frame(carry(data(port)), BALANCER, NOW)
    agent.receive_frame(carry(opening(3), must_take=True), BALANCER, NOW)
    agent.is_stopping = True
    actions = agent.tick(NOW + 0.05)
    assert frames(actions, Carry)[0].host in HOSTS[1:]
