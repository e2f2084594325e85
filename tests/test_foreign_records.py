"""Tests of odd records that another writer leaves among those of the targets."""

from dataclasses import replace
from json import dumps
from math import inf, nan
from zlib import compress

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from balsamtide.fleet.carry_over import CarryOver
from balsamtide.fleet.change_log import ChangeLog
from balsamtide.fleet.merge import LAPSE_GRACE_S, with_listing, with_update
from balsamtide.fleet.store import EvacuationChange, Listing, StoreError
from balsamtide.fleet.view import FleetView, FlowTarget
from balsamtide.fleet.view_codec import ViewDecodeError, decode_update, encode_update
from balsamtide.flows.placement import LeastLoadedPlacement
from balsamtide.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_target,
)
from balsamtide.protocol.flow_frames import service_tag
from tests.fakes_platform import (
    CONFIGURATION,
    ROUTE,
    TARGET,
    item,
    make_store,
    page,
    raw_item,
    run_to_end,
    to_json,
)

NOW = 100.0
KEY = b"123456789012"
# More digits than a floating-point number can hold, and than `int` converts.
TOO_LARGE, TOO_LONG = "9" * 400, "9" * 5000
DEEPLY_NESTED = b"[" * 200_000 + b"]" * 200_000


def with_number(field: str, number: str) -> bytes:
    """Return a target's record with a number that is inserted as text."""
    return to_json(TARGET | {field: "NUMBER"}).replace(b'"NUMBER"', number.encode())


ODD_RECORDS = {
    **{
        f"{field}-{name}": with_number(field, number)
        for field in ("warmupLeftMs", "capacity", "born", "sequence")
        for name, number in {
            "too-large": TOO_LARGE,
            "too-long": TOO_LONG,
            "infinite": "1e999",
            "nan": "NaN",
        }.items()
    },
    "born-negative": with_number("born", "-1"),
    "port-0": to_json(TARGET | {"address": "10.128.0.9:0"}),
    "port-65536": to_json(TARGET | {"address": "10.128.0.9:65536"}),
    "port-too-long": to_json(TARGET | {"address": f"10.128.0.9:{TOO_LONG}"}),
    "service-surrogate": to_json(TARGET | {"service": "\ud800"}),
    "zone-surrogate": to_json(TARGET | {"zone": "\ud800"}),
    "service-long": to_json(TARGET | {"service": "s" * 500_000}),
    "zone-long": to_json(TARGET | {"zone": "z" * 500_000}),
    "nested": DEEPLY_NESTED,
    "nested-field": to_json(TARGET)[:-1] + b',"x":' + DEEPLY_NESTED + b"}",
    "nested-state": to_json(TARGET | {"state": [[["ready"]]]}),
}


@pytest.mark.parametrize("record", ODD_RECORDS.values(), ids=ODD_RECORDS)
def test_odd_record_names_no_target_and_the_others_hold(record):
    """An odd record is rejected in a listing and in a watch, without other effects."""
    items = [raw_item("servers/odd", record), item("servers/good", TARGET)]
    store, rejected = make_store(
        (200, page(item("op/config", CONFIGURATION))),
        (200, page(*items)),
        (200, {"events": items, "storeRevision": 10}),
    )
    listing = run_to_end(store.read_all())
    assert [target.name for target in listing.targets] == ["good"]
    odd, good = run_to_end(store.watch(9)).changes
    assert odd.target is None
    assert good.target is not None
    assert rejected == ["servers/odd"] * 2


@pytest.mark.parametrize("zone", ["\ud800", "z" * 1025], ids=["surrogate", "long"])
@pytest.mark.parametrize("is_removed", [False, True])
def test_odd_evacuation_evacuates_nothing_and_the_others_hold(zone, is_removed):
    """An evacuation key with an odd zone name is rejected, and no other key."""
    odd = item(f"op/evacuate/{zone}", {}) | {"removed": is_removed}
    keys = [odd, item("op/evacuate/z1", {}), item("op/config", CONFIGURATION)]
    store, rejected = make_store(
        (200, page(*keys)),
        (200, page()),
        (200, {"events": keys, "storeRevision": 10}),
    )
    listing = run_to_end(store.read_all())
    assert listing.evacuated_zones == {"z1"}
    assert listing.configuration is not None
    changes = run_to_end(store.watch(9)).changes
    assert changes[0] == EvacuationChange("z1", True)
    assert len(changes) == 2
    assert rejected == [odd["key"]] * 2


def test_key_that_no_text_encoding_holds_is_rejected():
    """A record whose key has a lone surrogate is rejected like an odd record."""
    store, rejected = make_store(
        (200, {"events": [item("servers/\ud800", TARGET)], "storeRevision": 10})
    )
    assert run_to_end(store.watch(9)).changes[0].target is None
    assert len(rejected) == 1


@pytest.mark.parametrize("prefix", ["op/evacuate/", "servers/"])
def test_key_that_no_text_encoding_holds_may_end_a_page(prefix):
    """The query for the page after an odd key raises no error that ends the process."""
    odd = page(item(f"{prefix}\ud800", TARGET), has_more=True)
    pages = [odd, page()] if prefix == "op/evacuate/" else [page(), odd]
    store, rejected = make_store(
        *((200, one) for one in pages), (200, page(item("servers/c", TARGET)))
    )
    listing = run_to_end(store.read_all())
    assert [target.name for target in listing.targets] == ["c"]
    assert rejected == [f"{prefix}\ud800"]


def configuration_with(number: int, odd: str) -> bytes:
    """Return a configuration with text in place of one of its numbers."""
    return to_json(CONFIGURATION).replace(b": %d" % number, b": " + odd.encode())


ODD_CONFIGURATIONS = {
    "port-too-long": CONFIGURATION | {"routes": [ROUTE | {"prefix": f"/{TOO_LONG}/"}]},
    "route-service": CONFIGURATION | {"routes": [ROUTE | {"service": "\ud800"}]},
    "route-name": CONFIGURATION | {"routes": [ROUTE | {"name": "\ud800"}]},
    "service-name": CONFIGURATION | {"services": [{"name": "\ud800"}]},
    **{
        f"warm-up-{value!r:.9}": CONFIGURATION
        | {"services": [{"name": "orders", "warmupPerS": 2} | {field: value}]}
        for field in ("warmupPerS", "warmupS")
        for value in ("2", -1, True, [], 10**400, float("nan"), float("inf"))
    },
}
ODD_CONFIGURATION_NUMBERS = {
    f"{field}-{name}": configuration_with(number, odd)
    for field, number in {
        "version": CONFIGURATION["version"],
        "idle-timeout": CONFIGURATION["limits"]["idleTimeoutMs"],
        "timeout": ROUTE["timeoutMs"],
    }.items()
    for name, odd in {
        "too-large": TOO_LARGE,
        "too-long": TOO_LONG,
        "infinite": "1e999",
        "nan": "NaN",
        "negative": "-1",
    }.items()
}


@pytest.mark.parametrize(
    "document",
    [*map(to_json, ODD_CONFIGURATIONS.values()), *ODD_CONFIGURATION_NUMBERS.values()],
    ids=[*ODD_CONFIGURATIONS, *ODD_CONFIGURATION_NUMBERS],
)
def test_odd_configuration_is_rejected(document):
    """A configuration with a value out of range is rejected as a whole."""
    assert document != to_json(CONFIGURATION)
    with pytest.raises(DocumentError):
        decode_configuration(document)


def carry_through(target: FlowTarget) -> None:
    """Use a target as a process does: view, update of a peer, choice of a target."""
    view = with_listing(
        FleetView(),
        Listing(9, decode_configuration(to_json(CONFIGURATION)), (target,)),
        grace_until=NOW,
        now=NOW,
    )
    update = ChangeLog().update_for(view, -1, -1)
    data = encode_update(update, now=NOW)
    received = with_update(FleetView(), decode_update(data, encoded_at=NOW), NOW)
    assert received.content_tag == view.content_tag
    chosen = LeastLoadedPlacement(zone="z", random=None)
    for eligible in received.eligible(target.service, NOW):
        chosen.record_placement(eligible, NOW)
    received.homes(target.service, KEY)
    service_tag(target.service)
    dumps(target.name).encode()


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(), max_size=12)
    | st.sampled_from(["\ud800", "10.0.0.1:80", "10.0.0.1:99999", 10**400, -(10**400)]),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=4,
)


@given(st.sampled_from([*TARGET, "other"]), json_values)
@example("warmupLeftMs", 10**400)
@example("service", "\ud800")
@example("capacity", 10**300)
def test_record_that_decodes_can_be_used(field, value):
    """A record with any value in a field is rejected or used like any other."""
    try:
        target = decode_target("i-1", to_json(TARGET | {field: value}), now=NOW)
    except DocumentError:
        return
    carry_through(target)


@pytest.mark.parametrize(
    "row",
    [
        ["i-1", "orders", 1, 80, "z", 1, "ready", "COLD", 0, None],
        ["i-1", "orders", 1, 80, "z", 1, "ready", 0, 0, "COLD"],
    ],
    ids=["warm-up", "grace-period"],
)
@pytest.mark.parametrize(
    "number",
    [TOO_LARGE, TOO_LONG, DEEPLY_NESTED.decode()],
    ids=["large", "long", "deep"],
)
def test_odd_number_in_an_update_of_a_peer_is_rejected(row, number):
    """A peer of another version that accepted an odd record ends no process."""
    document = {
        "base": -1,
        "revision": 9,
        "tag": 0,
        "settles_s": 0.0,
        "configuration": None,
        "targets": [row],
        "removed": [],
    }
    text = dumps(document).replace('"COLD"', number)
    with pytest.raises(ViewDecodeError):
        decode_update(compress(text.encode()), encoded_at=NOW)


@pytest.mark.parametrize("revision", [-1, 2**63, 10**30])
def test_revision_that_no_frame_holds_is_rejected(revision):
    """A revision beyond 64 bits must not end the process with its next digest."""
    store, _ = make_store((200, page(revision=revision)))
    with pytest.raises(StoreError):
        run_to_end(store.read_all())


@pytest.mark.parametrize("field", ["revision", "era"])
@pytest.mark.parametrize("number", [-2, 2**63, 10**30])
def test_position_that_no_frame_holds_is_rejected(field, number):
    """A peer's position beyond 64 bits must not end the process with a digest."""
    update = ChangeLog().update_for(FleetView(revision=9), -1, -1)
    data = encode_update(replace(update, **{field: number}), now=NOW)
    with pytest.raises(ViewDecodeError):
        decode_update(data, encoded_at=NOW)


@pytest.mark.parametrize("ends_s", [nan, inf, 1e9])
def test_grace_time_of_a_peer_ends(ends_s):
    """An odd end of a grace time must not keep a zone evacuated for good."""
    kept = CarryOver(ends_at=NOW + ends_s, targets={}, evacuated_zones=frozenset("z"))
    update = ChangeLog().update_for(FleetView(revision=9, era=2), -1, -1)
    data = encode_update(replace(update, carry_over=kept), now=NOW)
    try:
        decoded = decode_update(data, encoded_at=NOW).carry_over
    except ViewDecodeError:
        return
    assert decoded.ends_at <= NOW + LAPSE_GRACE_S
