"""Property tests of open flows and at-most-once under random failure schedules."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.standins.flow_world import START, FlowWorld, WorldOptions

LOAD_DURATION_S = 2.0
# Requests per second, several milliseconds each, that all deployments can serve.
RATE = 60.0
OPTIONS = WorldOptions(
    balancers=3, targets=4, capacity=2, timeout_s=2.0, late_copies=0.3
)

schedules = st.lists(
    st.tuples(
        st.floats(0.1, LOAD_DURATION_S),
        st.sampled_from(["restart-balancer", "restart-agent", "silence"]),
        st.integers(0, 3),
    ),
    max_size=8,
)


def restart_agent(world, host):
    """Replace an agent by one with empty state."""
    world.agents[host] = world.make_agent(host)


def simulate(options, schedule):
    """Simulate a load with a schedule of failures."""
    world = FlowWorld(options)
    world.offer_load(RATE, START, START + LOAD_DURATION_S)
    balancers, agents = list(world.balancers), list(world.agents)
    for at_s, kind, index in schedule:
        balancer = balancers[index % len(balancers)]
        agent = agents[index % len(agents)]
        calls = {
            "restart-balancer": lambda b=balancer: world.restart_balancer(b),
            "restart-agent": lambda a=agent: restart_agent(world, a),
            "silence": lambda a=agent: setattr(world.targets[a], "is_silent", True),
        }
        world.at(START + at_s, calls[kind])
    world.run_until(START + LOAD_DURATION_S + 3.0)
    return world


@given(schedule=schedules, seed=st.integers(0, 1000))
def test_failures_reset_no_open_flow(schedule, seed):
    """No restart of balancers or agents resets an open flow of a live target."""
    world = simulate(replace(OPTIONS, seed=seed), schedule)
    silent = {host for host, target in world.targets.items() if target.is_silent}
    assert world.finished
    assert all(request.runs <= request.tries for request in world.finished)
    if not silent:
        assert sum(request.resets for request in world.finished) == 0


@pytest.mark.parametrize(
    "options",
    [
        replace(OPTIONS, balancers=1),
        replace(OPTIONS, targets=1, capacity=4),
        replace(OPTIONS, targets=40, capacity=1, balancers=19),
        replace(OPTIONS, capacity=8, server_queue=1),
        replace(OPTIONS, capacity=1, server_queue=0, retries=4),
        replace(OPTIONS, work_s=0.05, objective_s=0.3, loss=0.02),
        replace(OPTIONS, work_s=0.002, objective_s=0.02, timeout_s=0.5),
        replace(OPTIONS, request_packets=20, objective_s=0.6),
    ],
    ids=[
        "one-balancer",
        "one-target",
        "large-fleet",
        "short-queues",
        "no-queues",
        "long-requests-with-loss",
        "tiny-requests",
        "uploads",
    ],
)
def test_deployments_of_any_shape_are_served(options):
    """Deployments of all sizes and service times fail few requests in restarts."""
    world = simulate(options, [(0.5, "restart-balancer", 0), (1.0, "restart-agent", 0)])
    served = world.served(START, START + LOAD_DURATION_S)
    assert served.failed <= 0.02
    assert sum(request.resets for request in world.finished) == 0
    assert all(request.runs <= request.tries for request in world.finished)
