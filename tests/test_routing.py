"""Tests of target pickers and routing tables."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtide.config.evaluation import evaluate_entry
from balsamtide.protocol.connection_id import Destination
from balsamtide.protocol.messages import Endpoint
from balsamtide.routing.maglev import Maglev
from balsamtide.routing.picker import Candidate
from balsamtide.routing.rendezvous import Rendezvous
from balsamtide.routing.table import build_table
from tests.fakes_config import TWO_SERVICES, configuration, entry, operation
from tests.fakes_config import service as plain_service
from tests.fakes_config import target as plain_target

PICKERS = pytest.mark.parametrize("picker", [Rendezvous, Maglev])
RANDOM = Random(7)
KEYS = [RANDOM.randbytes(8) for _ in range(4000)]
CANDIDATES = st.lists(
    st.builds(Candidate, number=st.integers(1, 2**32 - 1), weight=st.integers(1, 1000)),
    min_size=1,
    max_size=12,
    unique_by=lambda candidate: candidate.number,
)


@PICKERS
@given(CANDIDATES, st.binary(max_size=20), st.randoms(use_true_random=False))
def test_pick_is_independent_of_candidate_order(picker, candidates, key, random):
    """Pickers built from reordered candidates return the same target."""
    picked = picker(candidates).pick(key)
    assert picked in {candidate.number for candidate in candidates}
    shuffled = random.sample(candidates, len(candidates))
    assert picker(shuffled).pick(key) == picked


@PICKERS
def test_picker_rejects_empty_candidates(picker):
    """A picker without candidates raises a ValueError."""
    with pytest.raises(ValueError, match="no candidates"):
        picker([])


def test_maglev_rejects_more_candidates_than_slots():
    """A lookup table without a spare slot raises a ValueError."""
    with pytest.raises(ValueError, match="7 candidates for 7 slots"):
        Maglev([Candidate(number, 1) for number in range(7)], slots=7)


@PICKERS
@pytest.mark.parametrize("weights", [(100,) * 9, (100, 200, 300, 400), (1, 1000)])
def test_share_follows_weight(picker, weights):
    """Each candidate gets its weighted share, within four standard deviations."""
    chosen = picker([Candidate(i, weight) for i, weight in enumerate(weights)])
    counts = Counter(chosen.pick(key) for key in KEYS)
    for number, weight in enumerate(weights):
        share = weight / sum(weights)
        deviation = (len(KEYS) * share * (1 - share)) ** 0.5
        assert abs(counts[number] - len(KEYS) * share) <= 4 * deviation + 4


@given(CANDIDATES, st.data())
def test_rendezvous_remaps_only_keys_of_the_removed_candidate(candidates, data):
    """Removing a candidate leaves the keys of all others in place."""
    removed = data.draw(st.sampled_from(candidates))
    rest = [candidate for candidate in candidates if candidate is not removed]
    if not rest:
        return
    before, after = Rendezvous(candidates), Rendezvous(rest)
    for key in KEYS[:50]:
        picked = before.pick(key)
        assert picked == removed.number or after.pick(key) == picked


@pytest.mark.parametrize(("picker", "limit"), [(Rendezvous, 0.0), (Maglev, 0.06)])
def test_removal_remaps_few_keys_of_the_others(picker, limit):
    """Removing one of nine candidates remaps few keys of the other eight."""
    nine = [Candidate(number, 100) for number in range(9)]
    before, after = picker(nine), picker(nine[1:])
    moved = sum(
        before.pick(key) != 0 and before.pick(key) != after.pick(key) for key in KEYS
    )
    assert moved <= limit * len(KEYS)


def always_eligible(name, target):
    """Return True for every target."""
    return True


STATES = configuration(
    orders=plain_service(
        1,
        targets=0,
    )
    | {
        "targets": {
            "t-1": plain_target(1),
            "t-2": plain_target(2, state="draining"),
            "t-3": plain_target(3, state="disabled"),
            "t-4": plain_target(4, zone="zone-b"),
        }
    }
)


@pytest.mark.parametrize(
    ("is_eligible", "numbers"),
    [
        (always_eligible, {1, 4}),
        (lambda name, target: name == "t-4", {4}),
        (lambda name, target: target.zone == "zone-a", {1}),
        (lambda name, target: False, {1, 4}),
        (lambda name, target: target.number == 2, {1, 4}),
    ],
)
def test_new_flows_go_to_active_and_eligible_targets(is_eligible, numbers):
    """A pick is active and eligible, or just active if none of them is eligible."""
    table = build_table(STATES, version=3, is_eligible=is_eligible)
    picked = {table.pick(1, key).target for key in KEYS[:200]}
    assert picked == numbers


@pytest.mark.parametrize(
    ("destination", "name"),
    [
        (Destination(1, 1), "t-1"),
        (Destination(1, 2), "t-2"),
        (Destination(1, 3), None),
        (Destination(1, 9), None),
        (Destination(2, 1), None),
    ],
)
def test_connection_id_finds_targets_that_are_not_disabled(destination, name):
    """A connection ID resolves only to active and draining targets of its service."""
    table = build_table(STATES, version=3, is_eligible=always_eligible)
    route = table.find(destination)
    assert (None if route is None else route.name) == name


def test_route_has_the_addresses_of_the_agent():
    """A route holds the target's numbers and zone and both endpoints of its agent."""
    table = build_table(STATES, version=3, is_eligible=always_eligible)
    route = table.find(Destination(1, 4))
    assert (route.service, route.target, route.zone) == (1, 4, "zone-b")
    assert route.agent == Endpoint("10.0.1.1", 9004)
    assert route.rpc == Endpoint("10.0.1.1", 19004)


@pytest.mark.parametrize(
    ("names", "endpoint"),
    [
        (("orders", "main"), Endpoint("192.0.2.1", 401)),
        (("intake", "main"), Endpoint("192.0.2.1", 402)),
        (("orders", "other"), None),
        (("none", "main"), None),
    ],
)
def test_address_is_found_by_names(names, endpoint):
    """An address is found by service name and address name."""
    table = build_table(TWO_SERVICES, version=1, is_eligible=always_eligible)
    address = table.address_of(*names)
    assert (None if address is None else address.endpoint) == endpoint


@pytest.mark.parametrize(
    "empty", [configuration(orders=plain_service(1, targets=0)), configuration()]
)
def test_service_without_targets_has_no_route(empty):
    """A pick returns None without an active target and for an unknown service."""
    table = build_table(empty, version=1, is_eligible=always_eligible)
    assert table.pick(1, b"key") is None
    assert len(table.addresses) == len(empty.services)


def test_unchanged_services_keep_their_tables():
    """A rebuild reuses the table of each service that did not change."""
    first = build_table(TWO_SERVICES, version=1, is_eligible=always_eligible)
    path = "/services/orders/targets/t-1/state"
    drain = entry(2, 1, operation("add", path, "draining"))
    changed = evaluate_entry(TWO_SERVICES, 1, drain).configuration
    second = build_table(
        changed, version=2, is_eligible=always_eligible, previous=first
    )
    assert second.services["intake"] is first.services["intake"]
    assert second.services["orders"] is not first.services["orders"]
    assert second.version == 2
    assert {second.pick(1, key).target for key in KEYS[:200]} == {2, 3}
    third = build_table(
        changed,
        version=2,
        is_eligible=lambda name, target: target.number != 3,
        previous=second,
    )
    assert {third.pick(1, key).target for key in KEYS[:200]} == {2}


@pytest.mark.parametrize(
    ("recheck", "orders", "intake"),
    [
        (None, {1}, {1}),
        ((), {1, 2, 3}, {1, 2, 3}),
        ({"orders"}, {1}, {1, 2, 3}),
        ({"orders", "intake"}, {1}, {1}),
    ],
)
def test_only_rechecked_services_update_eligibility(recheck, orders, intake):
    """Unchanged services outside ``recheck`` keep their eligible targets."""
    first = build_table(TWO_SERVICES, version=1, is_eligible=always_eligible)
    second = build_table(
        TWO_SERVICES,
        version=1,
        is_eligible=lambda name, target: target.number == 1,
        previous=first,
        recheck=recheck,
    )
    for number, expected in ((1, orders), (2, intake)):
        assert {second.pick(number, key).target for key in KEYS[:200]} == expected


def test_changed_service_is_always_rechecked():
    """A service with changed configuration is rechecked without being listed."""
    first = build_table(TWO_SERVICES, version=1, is_eligible=always_eligible)
    path = "/services/orders/targets/t-1/weight"
    change = entry(2, 1, operation("add", path, 7))
    second = build_table(
        evaluate_entry(TWO_SERVICES, 1, change).configuration,
        version=2,
        is_eligible=lambda name, target: target.number == 1,
        previous=first,
        recheck=(),
    )
    assert {second.pick(1, key).target for key in KEYS[:200]} == {1}


@pytest.mark.parametrize("recheck", [None, (), ("orders", "gone")])
def test_unchanged_input_returns_the_previous_table(recheck):
    """Without a change of configuration or eligibility the table itself is reused."""
    first = build_table(TWO_SERVICES, version=1, is_eligible=always_eligible)
    options = {"is_eligible": always_eligible, "previous": first, "recheck": recheck}
    assert build_table(TWO_SERVICES, version=1, **options) is first
    assert build_table(TWO_SERVICES, version=2, **options).version == 2


def test_other_picker_replaces_all_tables():
    """With another picker no service table is reused."""
    first = build_table(TWO_SERVICES, version=1, is_eligible=always_eligible)
    second = build_table(
        TWO_SERVICES,
        version=1,
        is_eligible=always_eligible,
        previous=first,
        picker=Maglev,
    )
    pickers = {type(table.picker) for table in second.services.values()}
    assert pickers == {Maglev}
