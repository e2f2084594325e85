"""Tests of queued flows while the targets of a service come back one by one."""

from dataclasses import replace
from random import Random

import pytest

from balsamtide.fleet.view import FleetView
from balsamtide.flows.events import FLOW_PASSED_ON
from balsamtide.flows.rebalancing import MoveAll, MoveShareOfNewTargets
from bench.standins.flow_world import START, FlowWorld, WorldOptions

# A service of 42 targets with 2 slots at half of its load.
RETURNING = WorldOptions(
    balancers=8,
    targets=42,
    capacity=2,
    work_s=0.06,
    objective_s=0.37,
    timeout_s=3.2,
)
REQUESTS_PER_S = 700.0
RETURN_PERIOD_S = 0.04


@pytest.mark.parametrize(
    ("queued", "new", "available", "low", "high"),
    [
        (20, 1, 2, 10, 11),
        (20, 1, 40, 0, 1),
        (20, 10, 40, 5, 6),
        (20, 0, 40, 0, 0),
        (20, 40, 40, 20, 20),
        (0, 3, 40, 0, 0),
    ],
)
def test_share_that_moves_follows_the_new_targets(queued, new, available, low, high):
    """The number of flows that move is the new targets' share, rounded at random."""
    policy = MoveShareOfNewTargets(random=Random(1))
    hosts = range(100, 100 + new)
    counts = []
    for _ in range(500):
        destinations = policy.destinations(queued, hosts, available)
        assert set(destinations) <= set(hosts)
        counts.append(len(destinations))
    assert low <= min(counts) <= max(counts) <= high
    expected = queued * new / available
    assert sum(counts) / len(counts) == pytest.approx(expected, abs=0.1)


def play_return(policy, seed):
    """Let 42 targets come back one by one under load; return the world."""
    options = replace(RETURNING, seed=seed)
    world = FlowWorld(options, rebalancing=lambda random: policy(random=random))
    whole = world.view
    names = sorted(whole.targets)

    def publish(count: int) -> None:
        world.publish(
            FleetView(
                revision=count + 1,
                configuration=whole.configuration,
                targets={name: whole.targets[name] for name in names[:count]},
                settles_at=START + 10,
            )
        )

    publish(4)
    for count in range(4, len(names) + 1):
        world.at(START + RETURN_PERIOD_S * (count - 3), lambda c=count: publish(c))
    world.offer_load(REQUESTS_PER_S, START, START + 3)
    world.run_until(START + 8)
    return world


@pytest.mark.parametrize("seed", range(2))
def test_returning_targets_cause_few_forwards(seed):
    """Each flow is forwarded a few times at most, and callers are served no worse."""
    share, everything = (
        play_return(policy, seed) for policy in (MoveShareOfNewTargets, MoveAll)
    )
    served = share.served(START, START + 3)
    before = everything.served(START, START + 3)
    passed = [
        sum(1 for event in world.sink.events if event[0] is FLOW_PASSED_ON)
        for world in (share, everything)
    ]
    assert passed[0] <= passed[1] / 2
    assert served.in_objective >= before.in_objective
    assert served.failed <= before.failed
