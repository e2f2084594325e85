"""Tests of what tells the flows of one client port apart."""

from dataclasses import replace

import pytest

from balsamtide.fleet.view import TargetState
from balsamtide.flows.agent_state import ForwardedFlow
from balsamtide.flows.packet import SEQUENCE_MODULUS
from balsamtide.platform.packets import ACK, FIN, SYN
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
    TARGETS,
    carry_frame,
    client_packet,
    frames,
    make_agent,
    make_balancer,
    make_route,
    make_view,
    of_kind,
    syn_packet,
    target_packet,
)

KEY = PACKETS.decode(syn_packet()).client_key
ISN = 500  # The default sequence number of the fakes.
NEXT_ISN = 77_000
DATA = client_packet(acknowledgement=77, data=20)


def with_state(state, *hosts):
    """Return the targets, some of them in another state."""
    return tuple(replace(t, state=state) if t.host in hosts else t for t in TARGETS)


def moved_view():
    """Return a newer view whose route leads to another service on the last host."""
    return make_view(
        *TARGETS[:2],
        replace(TARGETS[2], service="proofs"),
        version=4,
        routes={ADDRESS: make_route("proofs")},
    )


def place_confirmed(balancer, among=HOSTS):
    """Open a flow at one of some hosts, and return its host."""
    balancer.gossip.view = make_view(*(t for t in TARGETS if t.host in among))
    (action,) = balancer.receive_packet(syn_packet(), NOW)
    balancer.receive_frame(Taken(KEY, 0.0), action.host, NOW)
    return action.host


def find(balancer, host):
    """Let a search find a flow, and return its host."""
    balancer.receive_packet(DATA, NOW)
    balancer.receive_frame(Located(KEY, Ownership.OWNS), host, NOW)
    return host


def test_new_flow_from_a_reused_port_is_routed_anew():
    """A SYN with another sequence number must not follow an old configuration."""
    balancer = make_balancer()
    place_confirmed(balancer, HOSTS[:1])
    balancer.gossip.view = moved_view()
    syn = syn_packet(sequence=NEXT_ISN)
    (action,) = frames(balancer.receive_packet(syn, NOW + 1), Carry)
    assert action.host == HOSTS[2]
    assert action.frame.service == service_tag("proofs")
    assert not action.frame.must_take


def test_new_flow_from_a_reused_port_is_refused_without_route():
    """A SYN with another sequence number must not run on a dropped route."""
    balancer = make_balancer()
    place_confirmed(balancer)
    balancer.gossip.view = make_view(version=4, routes={})
    actions = balancer.receive_packet(syn_packet(sequence=NEXT_ISN), NOW + 1)
    assert len(of_kind(actions, ToClient)) == len(actions) == 1
    assert not balancer.pending_flows


def test_new_flow_from_a_reused_port_avoids_a_draining_target():
    """A SYN with another sequence number must not follow its port's last flow."""
    balancer = make_balancer()
    host = place_confirmed(balancer, HOSTS[:1])
    targets = with_state(TargetState.DRAINING, host, HOSTS[1])
    balancer.gossip.view = make_view(*targets)
    syn = syn_packet(sequence=NEXT_ISN)
    (action,) = frames(balancer.receive_packet(syn, NOW + 1), Carry)
    assert action.host == HOSTS[2]


def test_retransmission_follows_the_first_syn():
    """A SYN with the same sequence number must not open a second flow elsewhere."""
    balancer = make_balancer()
    host = place_confirmed(balancer, HOSTS[:1])
    balancer.gossip.view = moved_view()
    syn = syn_packet(retransmissions=1)
    (action,) = frames(balancer.receive_packet(syn, NOW + 0.2), Carry)
    assert (action.host, action.frame.must_take) == (host, True)
    assert action.frame.service == service_tag("orders")


@pytest.mark.parametrize(
    ("view", "host"),
    [
        (make_view(), HOSTS[0]),
        (make_view(*with_state(TargetState.DRAINING, *HOSTS[:2])), HOSTS[2]),
        (make_view(TARGETS[1]), HOSTS[1]),
        (moved_view(), HOSTS[2]),
    ],
    ids=["available", "draining", "gone", "other-service"],
)
def test_syn_of_a_found_flow_goes_to_its_agent_only_as_a_new_flow(view, host):
    """A flow found by a search must not draw a reused port's SYN to its target."""
    balancer = make_balancer()
    find(balancer, HOSTS[0])
    balancer.gossip.view = view
    (action,) = frames(balancer.receive_packet(syn_packet(), NOW + 1), Carry)
    assert (action.host, action.frame.must_take) == (host, False)
    (again,) = frames(balancer.receive_packet(syn_packet(), NOW + 1.2), Carry)
    assert (again.host, again.frame.must_take) == (host, True)


def test_late_disowned_syn_does_not_replace_a_newer_flow():
    """A SYN that comes back late must not move the flow that its port has now."""
    balancer = make_balancer()
    place_confirmed(balancer)
    syn = syn_packet(sequence=NEXT_ISN)
    (action,) = frames(balancer.receive_packet(syn, NOW + 1), Carry)
    disowned = Disowned(DisownReason.OTHER_SERVICE, syn_packet())
    assert balancer.receive_frame(disowned, action.host, NOW + 1) == []
    assert balancer.flows.flows[KEY].client_isn == NEXT_ISN
    assert balancer.pending_flows[KEY].packet.sequence == NEXT_ISN


def test_confirmed_syn_of_a_forgotten_flow_does_not_end_a_search():
    """Held packets that the confirming agent disowned must not go there again."""
    balancer = make_balancer()
    (action,) = frames(balancer.receive_packet(syn_packet(), NOW), Carry)
    disowned = Disowned(DisownReason.OTHER_HANDSHAKE, DATA)
    assert frames(balancer.receive_frame(disowned, action.host, NOW), Locate)
    assert balancer.receive_frame(Taken(KEY, 1.0), action.host, NOW) == []
    assert KEY in balancer.searches.searches


def test_confirmed_syn_does_not_end_the_search_for_an_earlier_flow():
    """Packets of the earlier flow must not go to the agent of the port's new flow."""
    balancer = make_balancer()
    balancer.receive_packet(DATA, NOW)
    syn = syn_packet(sequence=NEXT_ISN)
    (action,) = frames(balancer.receive_packet(syn, NOW), Carry)
    assert balancer.receive_frame(Taken(KEY, 1.0), action.host, NOW) == []
    earlier = next(host for host in HOSTS if host != action.host)
    located = Located(KEY, Ownership.OWNS)
    (carry,) = frames(balancer.receive_frame(located, earlier, NOW), Carry)
    assert (carry.host, carry.frame.packet) == (earlier, DATA)
    assert balancer.flows.flows[KEY].host == action.host


# Agents

TARGET_ISN = 9000
DRAINING = make_view(*with_state(TargetState.DRAINING, HOSTS[0]))
STATES = {
    "draining": DRAINING,
    "gone": make_view(*TARGETS[1:]),
    "lapsed": make_view(replace(TARGETS[0], forget_at=NOW), *TARGETS[1:]),
}


def handle(agent, packet, now=NOW, **options):
    """Let an agent handle a client's packet."""
    return agent.receive_frame(carry_frame(packet, **options), BALANCER, now)


def request(sequence=ISN + 1, data=20, flags=ACK):
    """Return a client's packet of the flow that `open_flow` opens."""
    return client_packet(
        flags, sequence=sequence, acknowledgement=TARGET_ISN + 1, data=data
    )


def open_flow(agent, port=40001):
    """Open a flow and send a request on it."""
    handle(agent, syn_packet(port))
    syn_ack = target_packet(SYN | ACK, port=port, sequence=TARGET_ISN)
    agent.receive_from_target(syn_ack, NOW)
    packet = client_packet(
        port=port, sequence=ISN + 1, acknowledgement=TARGET_ISN + 1, data=20
    )
    handle(agent, packet)


def know_flow_by_client(agent):
    """Show a restarted agent a request of an open flow and its answer."""
    handle(agent, request())
    agent.receive_from_target(target_packet(sequence=TARGET_ISN + 1, data=9), NOW)


def know_flow_by_target(agent):
    """Show a restarted agent a packet of the target only."""
    agent.receive_from_target(target_packet(sequence=TARGET_ISN + 1, data=9), NOW)


def know_closed_flow(agent):
    """Show a restarted agent the last request of a flow, closed by both ends."""
    handle(agent, request())
    agent.receive_from_target(
        target_packet(ACK | FIN, sequence=TARGET_ISN + 1, data=9), NOW
    )
    handle(agent, request(ISN + 21, data=0, flags=ACK | FIN))


@pytest.mark.parametrize(
    ("know", "sequence"),
    [
        (know_flow_by_client, NEXT_ISN),
        (know_flow_by_client, (ISN - (1 << 20)) % SEQUENCE_MODULUS),
        (know_flow_by_target, NEXT_ISN),
        (know_closed_flow, NEXT_ISN),
        (know_closed_flow, ISN),
    ],
    ids=["ahead", "far-behind", "target-ahead", "closed-ahead", "closed-behind"],
)
@pytest.mark.parametrize("view", STATES.values(), ids=STATES)
def test_restarted_agent_opens_no_flow_at_an_unavailable_target(know, sequence, view):
    """A restarted agent must not take a reused port's SYN for a retransmission."""
    agent = make_agent(flow_lifetime_s=60.0)
    know(agent)
    agent.gossip.view = view
    actions = handle(agent, syn_packet(sequence=sequence), NOW + 1, must_take=True)
    assert not of_kind(actions, ToTarget)
    (forwarded,) = frames(actions, Carry)
    assert forwarded.host in HOSTS[1:]


@pytest.mark.parametrize("know", [know_flow_by_client, know_flow_by_target])
@pytest.mark.parametrize(
    ("view", "delivered"), [(make_view(), 1), (DRAINING, 0)], ids=["ready", "draining"]
)
def test_restarted_agent_recognizes_a_late_syn_of_an_open_flow(know, view, delivered):
    """A late SYN must not move an open flow whose SYN the agent has not seen."""
    agent = make_agent(flow_lifetime_s=60.0)
    know(agent)
    agent.gossip.view = view
    actions = handle(agent, syn_packet(retransmissions=1), NOW + 0.1)
    assert len(of_kind(actions, ToTarget)) == delivered
    assert len(frames(actions, Taken)) == 1
    assert not frames(actions, Carry)
    (packet,) = of_kind(handle(agent, request(ISN + 21), NOW + 0.2), ToTarget)
    assert packet == ToTarget(request(ISN + 21))


def test_repeated_syn_ack_of_an_older_flow_denies_no_packet():
    """A repeated SYN-ACK must not make a restarted agent disown an open flow."""
    agent = make_agent(flow_lifetime_s=60.0)
    know_flow_by_client(agent)
    handle(agent, syn_packet(retransmissions=1), NOW + 0.1)
    agent.receive_from_target(target_packet(SYN | ACK, sequence=TARGET_ISN), NOW + 0.1)
    packet = client_packet(
        sequence=ISN + 21, acknowledgement=TARGET_ISN + 9_000, data=20
    )
    assert of_kind(handle(agent, packet, NOW + 0.2), ToTarget) == [ToTarget(packet)]
    locate = Locate(KEY, TARGET_ISN + 9_000)
    (located,) = frames(agent.receive_frame(locate, BALANCER, NOW + 0.2), Located)
    assert located.frame.ownership is Ownership.OWNS


def test_agent_learns_the_handshake_from_the_syn_ack():
    """An agent that saw only the SYN-ACK must not take the flow for an open one."""
    agent = make_agent(flow_lifetime_s=60.0)
    agent.receive_from_target(target_packet(SYN | ACK, sequence=TARGET_ISN), NOW)
    # The SYN-ACK was lost, so that the target has to send it again.
    actions = handle(agent, syn_packet(retransmissions=1), NOW + 0.2)
    assert of_kind(actions, ToTarget) == [ToTarget(syn_packet(retransmissions=1))]
    agent.gossip.view = DRAINING
    actions = handle(agent, syn_packet(sequence=NEXT_ISN), NOW + 0.3)
    assert not of_kind(actions, ToTarget)


def make_full_agent():
    """Return an agent of the only target, which has no free slot."""
    agent = make_agent(make_view(TARGETS[0]))
    agent.flows.service_time_s = 0.2
    for port in (1, 2):
        open_flow(agent, port)
    return agent


def test_syn_of_a_reused_port_replaces_a_queued_one():
    """A queued SYN that its client gave up must neither be delivered nor hide one."""
    agent = make_full_agent()
    handle(agent, syn_packet())
    syn = syn_packet(sequence=NEXT_ISN)
    assert not of_kind(handle(agent, syn, NOW + 0.1), ToTarget)
    assert len(agent.queue) == 1
    delivered = []
    for port in (1, 2):
        answer = target_packet(port=port, sequence=TARGET_ISN + 1, data=5)
        delivered += of_kind(agent.receive_from_target(answer, NOW + 0.2), ToTarget)
    assert delivered == [ToTarget(syn)]


def test_queued_syn_is_removed_if_its_port_now_leads_to_another_service():
    """A queued SYN must not stay when the new flow of its port goes elsewhere."""
    agent = make_full_agent()
    handle(agent, syn_packet())
    syn = syn_packet(sequence=NEXT_ISN)
    handle(agent, syn, NOW + 0.1, service=service_tag("proofs"))
    assert not agent.queue


def test_syn_of_a_reused_port_does_not_follow_a_forwarded_one():
    """A new flow must not be told to be taken where its port's last flow went."""
    agent = make_agent(DRAINING)
    handle(agent, syn_packet())
    agent.gossip.view = make_view()
    (again,) = handle(agent, syn_packet(retransmissions=1), NOW + 0.2)
    assert again.frame.must_take
    actions = handle(agent, syn_packet(sequence=NEXT_ISN), NOW + 0.3)
    assert len(of_kind(actions, ToTarget)) == 1


@pytest.mark.parametrize("view", STATES.values(), ids=STATES)
def test_unanswered_syn_is_not_sent_again_to_an_unavailable_target(view):
    """A retransmission must not open a flow at a target that has left since."""
    agent = make_agent()
    handle(agent, syn_packet())
    agent.gossip.view = view
    syn = syn_packet(retransmissions=1)
    actions = handle(agent, syn, NOW + 0.05, must_take=True)
    assert not of_kind(actions, ToTarget)
    (forwarded,) = frames(actions, Carry)
    assert forwarded.host in HOSTS[1:]
    assert not forwarded.frame.must_take


def test_answered_syn_is_sent_again_to_a_draining_target():
    """A flow stays where its handshake began, although the SYN-ACK was lost."""
    agent = make_agent()
    handle(agent, syn_packet())
    agent.receive_from_target(target_packet(SYN | ACK, sequence=TARGET_ISN), NOW)
    agent.gossip.view = DRAINING
    actions = handle(agent, syn_packet(retransmissions=1), NOW + 0.2, must_take=True)
    assert len(of_kind(actions, ToTarget)) == 1


@pytest.mark.parametrize(
    "view",
    [DRAINING, make_view(*with_state(TargetState.DRAINING, *HOSTS))],
    ids=["forwarded", "refused"],
)
def test_late_syn_of_an_earlier_flow_leaves_the_open_flow_known(view):
    """The agent must not deny an open flow after a late SYN of its port."""
    agent = make_agent()
    open_flow(agent)
    agent.gossip.view = view
    assert not of_kind(handle(agent, syn_packet(sequence=NEXT_ISN)), ToTarget)
    locate = Locate(KEY, TARGET_ISN + 1)
    (located,) = frames(agent.receive_frame(locate, BALANCER, NOW), Located)
    assert located.frame.ownership is Ownership.OWNS
    assert len(of_kind(handle(agent, request(ISN + 21)), ToTarget)) == 1


def test_retransmission_does_not_circulate_between_two_agents():
    """A SYN that was passed on must not come back from an agent that now drains."""
    view = make_view(*with_state(TargetState.DRAINING, HOSTS[1])[:2])
    agents = {host: make_agent(view, host=host) for host in HOSTS[:2]}
    agents[HOSTS[0]].forwarded[KEY] = ForwardedFlow(HOSTS[1], ISN, NOW + 2.0)
    carry = carry_frame(syn_packet(retransmissions=1))
    (sent,) = agents[HOSTS[0]].receive_frame(carry, BALANCER, NOW)
    assert (sent.host, sent.frame.must_take) == (HOSTS[1], True)
    actions = agents[HOSTS[1]].receive_frame(sent.frame, HOSTS[0], NOW)
    assert not frames(actions, Carry)
    assert frames(actions, Refused)


def test_late_return_of_a_syn_does_not_move_its_flow():
    """A resumed agent that returns a SYN must not draw off the flow of another one."""
    balancer = make_balancer()
    (first,) = balancer.receive_packet(syn_packet(), NOW)
    (second,) = frames(balancer.tick(balancer.deadline), Carry)
    assert second.host != first.host
    balancer.receive_frame(Taken(KEY, 0.0), second.host, NOW + 0.2)
    late = Disowned(DisownReason.NOT_HERE, syn_packet())
    assert not balancer.receive_frame(late, first.host, NOW + 0.3)
    (action,) = frames(balancer.receive_packet(DATA, NOW + 0.4), Carry)
    assert action.host == second.host
