"""Tests of searches with missing and late answers."""

from dataclasses import replace

import pytest

from balsamtide.flows.flow_cache import CachedFlow
from balsamtide.flows.search import RETURN_TIMEOUT_S, SEARCH_ROUND_S
from balsamtide.protocol.flow_actions import ToClient
from balsamtide.protocol.flow_frames import (
    Carry,
    Disowned,
    DisownReason,
    Locate,
    Located,
    Ownership,
    Taken,
)
from tests.fakes_packets import (
    HOSTS,
    NOW,
    PACKETS,
    TARGETS,
    client_packet,
    frames,
    make_balancer,
    make_view,
    of_kind,
)

DATA = client_packet(acknowledgement=77, data=20)
KEY = PACKETS.decode(DATA).client_key
# By then a guess must have expired: packets of an open flow may go to a wrong target
# for less than 2 s, and the next packet still has to come and search.
MAX_GUESS_S = 0.5
RETURNED = Disowned(DisownReason.RETURNED, DATA)


def answer(balancer, now=NOW, **by_index):
    """Let agents answer; the names are ``h0`` to ``h2``."""
    actions = []
    for name, ownership in by_index.items():
        located = Located(KEY, ownership)
        actions += balancer.receive_frame(located, HOSTS[int(name[1:])], now)
    return actions


def cached_host(balancer):
    """Return the host that the cache has for the flow."""
    flow = balancer.flows.flows.get(KEY)
    return flow.host if flow else None


def start_tentative(balancer, **by_index):
    """Start a search of which some agents do not answer, up to the delivery."""
    balancer.receive_packet(DATA, NOW)
    actions = answer(balancer, **by_index)
    actions += balancer.tick(NOW + SEARCH_ROUND_S)
    assert all(action.frame.is_tentative for action in frames(actions, Carry))
    return [action.host for action in frames(actions, Carry)]


@pytest.mark.parametrize("returned", [(), (0,)], ids=["one-asked", "one-returned"])
def test_unresponsive_target_is_not_taken_for_the_owner(returned):
    """A missing answer must not make a target that is silent the flow's owner."""
    balancer = make_balancer()
    answers = {"h0": Ownership.MAYBE if returned else Ownership.NO}
    delivered = start_tentative(balancer, h1=Ownership.MAYBE, **answers)
    assert HOSTS[1] in delivered
    for index in returned:
        balancer.receive_frame(RETURNED, HOSTS[index], NOW + SEARCH_ROUND_S)
    now = NOW + SEARCH_ROUND_S + RETURN_TIMEOUT_S
    actions = balancer.tick(now)
    assert cached_host(balancer) is None
    assert not of_kind(actions, ToClient)
    again = frames(balancer.receive_packet(DATA, now + 0.1), Locate)
    assert HOSTS[2] in [action.host for action in again]


def test_unresolved_delivery_of_an_earlier_stage_is_no_denial():
    """A target that kept a packet in an earlier stage may have the flow."""
    targets = tuple(
        replace(TARGETS[0], name=f"i-{number:08x}", host=0x0A030000 + number)
        for number in range(17)
    )
    balancer = make_balancer(make_view(*targets))
    asked = frames(balancer.receive_packet(DATA, NOW), Locate)
    now, stages = NOW, 0
    while asked:
        # One agent of each stage can't tell, and its target keeps the packet.
        actions, ownership = [], Ownership.MAYBE
        for action in asked:
            located = Located(KEY, ownership)
            actions += balancer.receive_frame(located, action.host, now)
            ownership = Ownership.NO
        now += RETURN_TIMEOUT_S
        actions += balancer.tick(now)
        assert not of_kind(actions, ToClient)
        asked, stages = frames(actions, Locate), stages + 1
    assert stages > 1
    assert cached_host(balancer) is None


@pytest.mark.parametrize("moment", ["delivery", "ended", "guessed", "next-search"])
def test_late_answer_of_the_owner_counts(moment):
    """The owner's late answer must end the search for its flow, whenever it comes."""
    balancer = make_balancer()
    missing = {} if moment != "guessed" else {"h2": Ownership.NO}
    start_tentative(balancer, h0=Ownership.MAYBE, h1=Ownership.MAYBE, **missing)
    now = NOW + SEARCH_ROUND_S
    if moment == "guessed":
        balancer.receive_frame(RETURNED, HOSTS[0], now)
    if moment != "delivery":
        now += RETURN_TIMEOUT_S
        balancer.tick(now)
    if moment == "next-search":
        balancer.receive_packet(DATA, now)
    assert cached_host(balancer) == (HOSTS[1] if moment == "guessed" else None)
    actions = answer(balancer, now, h2=Ownership.OWNS)
    is_searching = moment in ("delivery", "next-search")
    assert [a.host for a in frames(actions, Carry)] == [HOSTS[2]] * is_searching
    (action,) = frames(balancer.receive_packet(DATA, now + 5.0), Carry)
    assert action.host == HOSTS[2]


def test_late_answer_does_not_move_a_confirmed_flow():
    """A late answer must not replace what another agent has confirmed since."""
    balancer = make_balancer()
    balancer.flows.put(KEY, CachedFlow(HOSTS[0], 1, NOW, is_confirmed=True))
    answer(balancer, h2=Ownership.OWNS)
    assert cached_host(balancer) == HOSTS[0]


def test_late_confirmation_of_a_target_counts():
    """A target that answers after the search has ended must get the next packets."""
    balancer = make_balancer()
    start_tentative(balancer, h0=Ownership.MAYBE, h1=Ownership.MAYBE)
    now = NOW + SEARCH_ROUND_S + RETURN_TIMEOUT_S
    balancer.tick(now)
    assert not balancer.searches.searches
    balancer.receive_frame(Taken(KEY, 0.0), HOSTS[0], now + 0.1)
    (action,) = frames(balancer.receive_packet(DATA, now + 0.2), Carry)
    assert action.host == HOSTS[0]


def test_late_uncertain_agent_gets_the_packet_too():
    """An agent that answers during the delivery may be the owner's."""
    balancer = make_balancer()
    start_tentative(balancer, h0=Ownership.MAYBE, h1=Ownership.NO)
    now = NOW + SEARCH_ROUND_S
    (action,) = answer(balancer, now, h2=Ownership.MAYBE)
    assert (action.host, action.frame.is_tentative) == (HOSTS[2], True)
    assert answer(balancer, now, h2=Ownership.MAYBE) == []
    balancer.receive_frame(Taken(KEY, 0.0), HOSTS[2], now)
    assert cached_host(balancer) == HOSTS[2]


def test_late_denial_completes_a_search():
    """Once the last agent has answered, a flow that nobody has is reset."""
    balancer = make_balancer()
    start_tentative(balancer, h0=Ownership.MAYBE, h1=Ownership.NO)
    now = NOW + SEARCH_ROUND_S
    answer(balancer, now, h2=Ownership.NO)
    actions = balancer.receive_frame(RETURNED, HOSTS[0], now)
    assert len(of_kind(actions, ToClient)) == 1


def guess(balancer, is_delivered):
    """Let a search end with a guess, `HOSTS[2]`, and return its time."""
    balancer.receive_packet(DATA, NOW)
    others = Ownership.MAYBE if is_delivered else Ownership.NO
    answer(balancer, h0=others, h1=others, h2=Ownership.MAYBE)
    if not is_delivered:
        return NOW
    for host in HOSTS[:2]:
        balancer.receive_frame(RETURNED, host, NOW)
    balancer.tick(NOW + RETURN_TIMEOUT_S)
    return NOW + RETURN_TIMEOUT_S


@pytest.mark.parametrize("is_delivered", [True, False], ids=["kept", "others-deny"])
def test_guess_expires_unless_it_is_confirmed(is_delivered):
    """Packets of an open flow must not go to a guessed target for seconds."""
    balancer = make_balancer()
    now = guess(balancer, is_delivered)
    (action,) = frames(balancer.receive_packet(DATA, now + 0.25), Carry)
    assert action.host == HOSTS[2]
    actions = balancer.receive_packet(DATA, now + MAX_GUESS_S)
    assert not frames(actions, Carry)
    assert {action.host for action in frames(actions, Locate)} == set(HOSTS)


@pytest.mark.parametrize("is_delivered", [True, False], ids=["kept", "others-deny"])
@pytest.mark.parametrize(
    "frame",
    [Taken(KEY, 0.0), Located(KEY, Ownership.OWNS)],
    ids=["taken", "located"],
)
@pytest.mark.parametrize("index", [1, 2], ids=["other", "guessed"])
def test_confirmed_guess_does_not_expire(is_delivered, frame, index):
    """A confirmation makes a guess a known flow, at the agent that confirms it."""
    balancer = make_balancer()
    now = guess(balancer, is_delivered)
    balancer.receive_frame(frame, HOSTS[index], now + 0.1)
    (action,) = frames(balancer.receive_packet(DATA, now + 10), Carry)
    assert action.host == HOSTS[index]
