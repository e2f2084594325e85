"""Tests of what tells the flows of one client port apart."""

from dataclasses import replace

import pytest

from balsamtide.fleet.view import TargetState
from balsamtide.protocol.flow_actions import ToClient
from balsamtide.protocol.flow_frames import (
    Carry,
    Disowned,
    DisownReason,
    Located,
    Ownership,
    Taken,
    service_tag,
)
from tests.fakes_packets import (
    ADDRESS,
    HOSTS,
    NOW,
    PACKETS,
    TARGETS,
    client_packet,
    frames,
    make_balancer,
    make_route,
    make_view,
    of_kind,
    syn_packet,
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
