"""Tests of the shares of a target's time among classes of callers."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamtide.fleet.view import FlowConfiguration
from balsamtide.flows.events import FLOW_CLASS_DECIDED, FLOW_REFUSED, FLOW_TAKEN
from balsamtide.flows.fair_share import (
    MAX_GUARANTEED_OVERCOMMIT,
    MIN_SHARE_RATIO,
    WINDOW_S,
    FairShareOrder,
)
from balsamtide.flows.flow_queue import FlowClass, ObjectiveOrder, QueuedFlow
from balsamtide.protocol.flow_actions import ToClient
from balsamtide.protocol.flow_frames import (
    CARRY,
    MAX_CLIENT_ZONE,
    Refused,
    decode_frame,
)
from balsamtide.telemetry.memory_sink import MemorySink
from bench.competing_callers import REPLAYS, outcomes, play
from tests.fakes_packets import (
    ADDRESS,
    NOW,
    OTHER_ADDRESS,
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

SLOW = replace(make_route(), objective_s=0.3, timeout_s=2.0)
ORDERS = replace(SLOW, name="orders", priority=1)
READS = replace(SLOW, name="reads", priority=2)
ROUTES = {ADDRESS: ORDERS, OTHER_ADDRESS: READS}
SERVICE_TIME_S = 0.03


def configuration(*routes):
    """Return a configuration with these routes to one service."""
    return FlowConfiguration(
        version=1,
        routes={(1, port): route for port, route in enumerate(routes)},
        services=frozenset({"orders"}),
        idle_timeout_s=15.0,
    )


def make_order(*routes):
    """Return an order with fair shares for the routes."""
    order = FairShareOrder(sink=MemorySink(), zones=("a", "b"))
    order.configure(configuration(*routes or (ORDERS, READS)), "orders")
    order.set_target(capacity=1, service_time_s=SERVICE_TIME_S)
    return order


def queued(route, zone=1, *, arrived_at=NOW):
    """Return a queued flow of a class."""
    return QueuedFlow(
        packet=PACKETS.decode(syn_packet()),
        carry=carry_frame(syn_packet()),
        arrived_at=arrived_at,
        start_by=arrived_at + route.objective_s,
        give_up_at=arrived_at + 1.3,
        priority=route.priority,
        flow_class=FlowClass(route.name, zone),
    )


def make_fair_agent(routes=None):
    """Return an agent with fair shares and one slot, alone in its service."""
    view = make_view(TARGETS[0], routes=routes or ROUTES)
    agent = make_agent(view)
    agent.fair_share = FairShareOrder(sink=agent.sink, zones=("a", "b"))
    agent.queue.order = agent.fair_share
    return agent


def open_syn(agent, port, *, address=ADDRESS, zone=1, now=NOW, must_take=True):
    """Let a new flow arrive at an agent."""
    packet = syn_packet(port, address=address)
    carry = carry_frame(packet, client_zone=zone, must_take=must_take)
    return agent.receive_frame(carry, 1, now)


@settings(max_examples=30, deadline=None)
@given(
    weights=st.lists(st.integers(1, 30), min_size=2, max_size=6),
    served_first=st.integers(0, 5),
    lengths=st.lists(st.sampled_from([0.02, 0.05, 0.2]), min_size=6, max_size=6),
)
def test_each_class_with_queued_flows_keeps_its_minimum_share(
    weights, served_first, lengths
):
    """A class with a lower priority or fewer queued flows must not starve.

    Requests are served whole and earlier ones decay, so that the time may fall below
    the minimum by two requests and a tenth.
    """
    routes = [
        replace(SLOW, name=f"r{index}", priority=index)
        for index, _ in enumerate(weights)
    ]
    order = make_order(*routes)
    for route, length_s in zip(routes, lengths, strict=False):
        order.service_times_s[route.name] = length_s
    served_first %= len(routes)
    for _ in range(50):
        order.record_start(
            FlowClass(routes[served_first].name, 1), NOW, is_on_open_flow=True
        )
    now, total, times = NOW, 0.0, dict.fromkeys((r.name for r in routes), 0.0)
    # The time served before is forgotten after several windows.
    while now < NOW + 12 * WINDOW_S:
        # Flows that were served are replaced, so that every class is always queued.
        entries = {
            b"%d-%d" % (index, number): queued(route, arrived_at=now)
            for index, route in enumerate(routes)
            for number in range(min(3, weights[index]))
        }
        chosen = entries[order.choose_next(entries, now)]
        shares = order.served.shares((one.flow_class for one in entries.values()), now)
        below = {
            one.flow_class
            for one in entries.values()
            if shares.is_below_minimum(one.flow_class)
        }
        assert not below or chosen.flow_class in below
        order.record_start(chosen.flow_class, now, is_on_open_flow=False)
        took_s = order.service_time_s(chosen.flow_class.route)
        now += took_s
        if now >= NOW + 6 * WINDOW_S:
            total += took_s
            times[chosen.flow_class.route] += took_s
    minimum = MIN_SHARE_RATIO / len(routes)
    for route in routes:
        assert times[route.name] >= 0.9 * minimum * total - 2 * max(lengths)


@pytest.mark.parametrize(
    ("routes", "is_enabled"),
    [
        ((ORDERS, READS), True),
        ((ORDERS, replace(ORDERS, name="more")), False),
        ((ORDERS, replace(READS, shares=(("other", 1),))), False),
        ((ORDERS, replace(READS, shares=(("other", 1), ("orders", 0)))), False),
        ((), False),
    ],
)
def test_shares_need_routes_of_several_priorities(routes, is_enabled):
    """A deployment without competing routes must keep the order by objective."""
    order = FairShareOrder(sink=MemorySink())
    order.configure(configuration(*routes), "orders")
    order.set_target(capacity=1, service_time_s=SERVICE_TIME_S)
    assert order.is_enabled is is_enabled
    order.record_start(FlowClass("orders", 1), NOW, is_on_open_flow=True)
    assert bool(order.served.weighted) is is_enabled
    if not is_enabled:
        entries = {b"a": queued(READS), b"b": queued(ORDERS)}
        expected = ObjectiveOrder().choose_next(entries, NOW)
        assert order.choose_next(entries, NOW) == expected
        assert order.hopeless(entries, NOW + 9) == []


def test_above_the_minimum_the_order_by_objective_applies():
    """Equal shares must not put late flows before those that can meet objectives."""
    order = make_order()
    for route in (ORDERS, READS):
        order.record_start(FlowClass(route.name, 1), NOW, is_on_open_flow=False)
    entries = {
        b"late": queued(ORDERS, arrived_at=NOW - 0.5),
        b"low": queued(READS),
        b"high": queued(ORDERS),
    }
    assert order.choose_next(entries, NOW) == b"high"
    del entries[b"high"]
    assert order.choose_next(entries, NOW) == b"low"


def test_full_queue_takes_the_place_of_the_class_furthest_above_its_share():
    """A burst of one class must not push out flows of others."""
    order = make_order()
    for _ in range(20):
        order.record_start(FlowClass("orders", 1), NOW, is_on_open_flow=False)
    entries = {b"%d" % n: queued(ORDERS, arrived_at=NOW + n / 1000) for n in range(5)}
    assert order.choose_displaced(entries, queued(READS), NOW) == b"4"
    assert order.choose_displaced(entries, queued(ORDERS), NOW) is None


def test_flows_that_cannot_start_in_time_are_found_at_once():
    """A flow must not be held until its client gives up."""
    order = make_order()
    entries = {b"%03d" % n: queued(READS) for n in range(250)}
    entries[b"own-share"] = queued(ORDERS, zone=2)
    hopeless = order.hopeless(entries, NOW)
    assert 0 < len(hopeless) < 250
    assert b"own-share" not in hopeless
    assert not set(hopeless) & {b"%03d" % n for n in range(40)}


def test_class_below_its_minimum_is_served_while_open_flows_take_all_slots():
    """Requests on open flows must not keep new flows of other classes waiting."""
    agent = make_fair_agent()
    for port in range(1, 13):
        address = OTHER_ADDRESS
        agent._new_flow(
            PACKETS.decode(client_packet(port=port, address=address)).client_key,
            1,
            NOW,
            is_open=True,
        )
        request = client_packet(port=port, data=10, address=address)
        agent.receive_frame(carry_frame(request, client_zone=1), 1, NOW)
    assert agent.flows.busy(NOW) == 12
    open_syn(agent, 100)
    assert len(agent.queue) == 1
    agent.flows.active = dict(list(agent.flows.active.items())[:3])
    agent.receive_from_target(target_packet(port=1, data=5), NOW)
    assert len(agent.queue) == 0
    assert agent.flows.busy(NOW) <= 1 + MAX_GUARANTEED_OVERCOMMIT
    decided = [e for e in agent.sink.events if e[0] is FLOW_CLASS_DECIDED]
    fields = decided[-1][1]
    assert (fields["route"], fields["zone"]) == ("orders", "a")
    assert (fields["why"], fields["share"]) == ("minimum-share", 0.0)


def test_refused_flow_was_never_delivered():
    """A refusal states that the request has not run, so its SYN went to no target."""
    agent = make_fair_agent()
    refused, taken = set(), set()
    for port in range(1, 400):
        actions = open_syn(agent, port, must_take=False, now=NOW + port / 1000)
        refused |= {action.frame.key for action in frames(actions, Refused)}
        assert len(of_kind(actions, ToClient)) == len(frames(actions, Refused))
    taken = {e[1]["flow"] for e in agent.sink.events if e[0] is FLOW_TAKEN}
    lost = {e[1]["flow"] for e in agent.sink.events if e[0] is FLOW_REFUSED}
    assert refused and taken and len(lost) == len(refused)
    assert not lost & taken


@pytest.mark.parametrize(
    ("zone", "expected"), [(0, 0), (1, 1), (MAX_CLIENT_ZONE, 63), (64, 0)]
)
def test_client_zone_travels_in_bits_that_earlier_builds_ignore(zone, expected):
    """Flags of earlier builds must not change with the zone."""
    frame = carry_frame(b"abc", must_take=True, client_zone=zone)
    data = frame.encode()
    assert decode_frame(data) == replace(frame, client_zone=expected)
    assert CARRY.unpack_from(data)[1] & 3 == 1


def test_balancer_states_its_zone():
    """Agents know the zone of a client only from the balancer."""
    balancer = make_balancer()
    balancer.client_zone = 2
    (action,) = frames(
        balancer.receive_packet(syn_packet(), NOW), type(carry_frame(b""))
    )
    assert action.frame.client_zone == 2


@pytest.mark.parametrize("name", ["first-reads-2.2", "second-reads-1.7"])
def test_burst_leaves_other_kinds_served(name):
    """In a burst of one kind, no kind loses more than the worst kind gains."""
    before = outcomes([play(REPLAYS[name], seed, None) for seed in (1, 2)])
    after = outcomes([play(REPLAYS[name], seed) for seed in (1, 2)])
    kinds = ("reads", "orders", "uploads")
    worst = min(kinds, key=lambda kind: before[kind].in_objective)
    gain = after[worst].in_objective - before[worst].in_objective
    losses = [before[kind].in_objective - after[kind].in_objective for kind in kinds]
    assert gain >= 30.0
    assert max(losses) < gain
    assert after["orders"].failed < before["orders"].failed
