"""Tests of the platform's packets, documents, settings and store client."""

from json import loads

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtide.fleet.store import (
    ConfigurationChange,
    EvacuationChange,
    HistoryGoneError,
    StoreError,
    TargetChange,
)
from balsamtide.fleet.view import TargetState, WarmUp
from balsamtide.flow_node.settings import FlowRole, FlowSettingsError
from balsamtide.flows.packet import FlowPacketError, format_key
from balsamtide.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_target,
)
from balsamtide.platform.packets import HEADER_BYTES, MAX_DATA_BYTES, WirePackets
from balsamtide.platform.settings import decode_settings
from balsamtide.platform.store import StoreEra
from balsamtide.protocol.flow_frames import service_tag
from balsamtide.transport.addresses import parse_ipv4
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

PACKETS = WirePackets()
SYN_PACKET = bytes.fromhex(
    "00000000d5c3b2a14007004064bb01419c010012c600004433221100000000"
)
RESET_PACKET = bytes.fromhex(
    "000000000000000001010012c6419cbb010700406400000000000000000000"
)
SETTINGS = {
    "nodeId": "front-1",
    "servedRoles": ["front", "control"],
    "ipAddr": "10.1.0.10",
    "zone": "z1",
    "bindAddrs": {
        "datagramAddr": "10.1.0.10:8172",
        "ready": "10.1.0.10:8167",
        "control": "10.1.0.10:8166",
    },
    "internalPorts": [7720, 7735],
    "seedAddrs": ["10.2.0.40:8166"],
    "bounds": {"drainTimeoutMs": 3000, "gracePeriodS": 6, "flowTtlS": 60},
    "platform": {"address": "10.200.1.7:8169", "readsPerS": 2000, "historyS": 20},
    "somethingNew": True,
}


def test_published_syn_decodes():
    """The example SYN of the platform decodes and yields the example reset."""
    packet = PACKETS.decode(SYN_PACKET)
    assert packet.is_opening
    assert packet.sequence == 0x11223344
    assert format_key(packet.client_key) == "100.64.0.7:40001>198.18.0.1:443"
    assert PACKETS.reset(packet) == RESET_PACKET


@pytest.mark.parametrize("retransmissions", [0, 1, 2, 3, 2**32 - 1])
def test_retransmitted_syn_carries_its_age(retransmissions):
    """A retransmission count yields the SYN's age; counts above two yield the last."""
    raw = SYN_PACKET[:27] + retransmissions.to_bytes(4, "little")
    assert PACKETS.decode(raw).age_s == (0.0, 0.2, 0.6)[min(retransmissions, 2)]


@pytest.mark.parametrize(
    "data",
    [b"", SYN_PACKET[:-1], SYN_PACKET + b"x", SYN_PACKET + bytes(MAX_DATA_BYTES + 1)],
    ids=["empty", "truncated", "length", "oversized"],
)
def test_invalid_packets_are_rejected(data):
    """A packet with a wrong length raises `FlowPacketError`."""
    with pytest.raises(FlowPacketError):
        PACKETS.decode(data)


@given(st.binary(max_size=HEADER_BYTES + 40))
def test_arbitrary_bytes_decode_or_are_rejected(data):
    """Arbitrary bytes raise only `FlowPacketError`, or decode without loss."""
    try:
        packet = PACKETS.decode(data)
    except FlowPacketError:
        return
    assert packet.raw == data


@given(st.integers(0, 255), st.integers(0, 2**32 - 1))
def test_restore_returned_clears_flag_and_echo(flags, echo):
    """Restoring a returned packet changes only the RETURNED flag and the echo field."""
    raw = echo.to_bytes(4, "little") + SYN_PACKET[4:8] + bytes([flags]) + SYN_PACKET[9:]
    again = PACKETS.decode(PACKETS.restore_returned(raw))
    assert not again.is_returned
    assert again.raw[9:] == raw[9:]
    assert again.raw[8] == flags & ~32


def test_target_record_decodes():
    """A target's record decodes, and its remaining warm-up becomes a local deadline."""
    target = decode_target("i-1", to_json(TARGET), now=10.0)
    assert target.service == "orders"
    assert str(target) == "i-1@10.128.0.9"
    assert (target.port, target.capacity) == (8080, 2)
    assert target.state is TargetState.READY
    assert target.warm_at == 11.5


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"service": 5},
        {"address": "10.128.0.9"},
        {"address": "host:80"},
        {"address": "10.128.0.9:99999"},
        {"state": "gone"},
        {"capacity": 0},
        {"capacity": "2"},
        {"capacity": True},
        {"warmupLeftMs": "1"},
        {"sequence": 1.5},
        {"born": 1.5},
        {"zone": []},
        {"version": None},
    ],
    ids=str,
)
def test_invalid_target_records_are_rejected(change):
    """A target record with a field of a wrong type or value is rejected."""
    with pytest.raises(DocumentError):
        decode_target("i-1", to_json(TARGET | change), now=0.0)


@given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
def test_arbitrary_bytes_are_rejected_as_documents(data):
    """Arbitrary bytes raise `DocumentError` and nothing else."""
    with pytest.raises(DocumentError):
        decode_target("i-1", data, now=0.0)
    with pytest.raises(DocumentError):
        decode_configuration(data)


def test_configuration_decodes():
    """Routes are keyed by address and port, and weights split new flows."""
    split = ROUTE | {
        "prefix": "/8080/",
        "service": None,
        "backends": [
            {"service": "orders", "weight": 90},
            {"service": "proofs", "weight": 10},
        ],
    }
    configuration = decode_configuration(
        to_json(CONFIGURATION | {"routes": [ROUTE, split]})
    )
    host = 0xC6120001
    assert configuration.version == 7
    assert configuration.idle_timeout_s == 15.0
    assert configuration.routes[host, 8443].service_for(b"key") == "orders"
    route = configuration.routes[host, 8080]
    chosen = [route.service_for(n.to_bytes(4, "big")) for n in range(1000)]
    # 10% of 1000 keys, with a tolerance for the hash.
    assert 60 <= chosen.count("proofs") <= 140


@pytest.mark.parametrize(
    "change",
    [
        {"version": "7"},
        {"routes": {}},
        {"routes": [5]},
        {"routes": [ROUTE | {"prefix": "/x/"}]},
        {"routes": [ROUTE | {"host": "x"}]},
        {"routes": [ROUTE | {"service": None}]},
        {"services": None},
        {"limits": {}},
    ],
    ids=str,
)
def test_invalid_configurations_are_rejected(change):
    """A configuration with one invalid part is rejected as a whole."""
    with pytest.raises(DocumentError):
        decode_configuration(to_json(CONFIGURATION | change))


def test_settings_of_a_balancer():
    """Settings of a balancer decode, and unknown fields are ignored."""
    settings = decode_settings(to_json(SETTINGS))
    assert settings.role is FlowRole.BALANCER
    assert settings.inner == ("10.1.0.10", 7720)
    assert settings.seeds == ("10.2.0.40",)
    assert settings.agent is None


def test_settings_of_an_agent():
    """Settings of an agent contain its target."""
    document = SETTINGS | {
        "servedRoles": ["side"],
        "bindAddrs": SETTINGS["bindAddrs"] | {"outbound": "10.1.0.10:8162"},
        "app": "10.1.0.10:8165",
        "service": "orders",
    }
    agent = decode_settings(to_json(document)).agent
    assert agent.service == "orders"
    assert agent.target_address == ("10.1.0.10", 8165)


@pytest.mark.parametrize(
    ("change", "problems"),
    [
        ({"nodeId": None}, 1),
        # nodeId, zone and the three fields of bounds.
        ({"nodeId": 5, "zone": None, "bounds": {}}, 5),
        ({"servedRoles": ["control"]}, 1),
        # service, bindAddrs.outbound and app, which an agent needs.
        ({"servedRoles": ["side"]}, 3),
        # The address, readsPerS and historyS.
        ({"platform": {}}, 3),
        ({"zone": "\ud800"}, 1),
        ({"ipAddr": "front-1"}, 1),
        ({"internalPorts": []}, 1),
        ({"internalPorts": ["x"]}, 1),
        ({"internalPorts": [70_000]}, 1),
        ({"seedAddrs": ["10.2.0.40:8166", "front-2:8166", 5]}, 2),
        (
            {"bindAddrs": SETTINGS["bindAddrs"] | {"ready": "10.1.0.10:" + "9" * 5000}},
            1,
        ),
        ({"bounds": SETTINGS["bounds"] | {"gracePeriodS": 10**400}}, 1),
        ({"bounds": SETTINGS["bounds"] | {"flowTtlS": float("nan")}}, 1),
    ],
    ids=str,
)
def test_all_settings_problems_are_reported(change, problems):
    """Invalid settings raise one error that lists every problem."""
    with pytest.raises(FlowSettingsError) as caught:
        decode_settings(to_json(SETTINGS | change))
    assert len(caught.value.problems) == problems


def test_listing_joins_pages_and_skips_invalid_records():
    """A listing has the valid targets of all pages and the first call's revision."""
    store, rejected = make_store(
        (200, page(item("op/config", CONFIGURATION), has_more=True)),
        (200, page(item("op/evacuate/z1", {}), raw_item("op/other", b""), revision=10)),
        (200, page(item("servers/a", TARGET), revision=10, has_more=True)),
        (
            200,
            page(item("servers/b", {"x": 1}), item("servers/c", TARGET), revision=11),
        ),
    )
    listing = run_to_end(store.read_all())
    assert listing.revision == 9
    assert [target.name for target in listing.targets] == ["a", "c"]
    assert rejected == ["servers/b"]
    assert listing.configuration.version == 7
    assert listing.evacuated_zones == {"z1"}
    assert "after=op%2Fconfig" in store.client.paths[1]
    assert "after=servers%2Fa" in store.client.paths[3]


@pytest.mark.parametrize(
    "value", [b"{}", b"", b"\xff", b"[" * 9], ids=["object", "empty", "bytes", "cut"]
)
def test_zone_is_evacuated_while_its_key_exists(value):
    """The value of an evacuation key does not matter, and no target has to be there."""
    key = raw_item("op/evacuate/zone/1", value)
    store, rejected = make_store(
        (200, page(key)),
        (200, page()),
        (200, {"events": [key], "storeRevision": 10}),
        (200, {"events": [key | {"removed": True}], "storeRevision": 11}),
    )
    assert run_to_end(store.read_all()).evacuated_zones == {"zone/1"}
    for is_evacuated in (True, False):
        (change,) = run_to_end(store.watch(9)).changes
        assert change == EvacuationChange("zone/1", is_evacuated)
    assert rejected == []


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"warmupS": 20, "warmupPerS": 2.5}, WarmUp(lasts_s=20.0, rate=2.5)),
        ({"warmupPerS": 2}, WarmUp(lasts_s=0.0, rate=2.0)),
        ({"warmupS": 20}, None),
        ({"warmupS": 20, "warmupPerS": 0}, None),
        ({"warmupS": None, "warmupPerS": None}, None),
    ],
    ids=["both", "rate", "no-rate", "rate-0", "null"],
)
def test_warm_up_of_a_service_needs_a_rate(fields, expected):
    """Without a rate, or with 0, the cold targets of a service have no limit."""
    service = CONFIGURATION["services"][0] | fields
    document = CONFIGURATION | {"services": [service]}
    configuration = decode_configuration(to_json(document))
    assert configuration.services == {"orders"}
    assert configuration.warm_ups.get("orders") == expected


def test_watch_decodes_changes():
    """A watch returns writes, removals and invalid records, and skips other keys."""
    events = [
        item("servers/a", TARGET | {"state": "draining"}),
        {"key": "servers/b", "rev": 4, "removed": True},
        item("servers/c", {"state": "odd"}),
        item("op/config", CONFIGURATION),
        item("my/own", 5),
    ]
    store, _ = make_store((200, {"events": events, "storeRevision": 12}))
    changes = run_to_end(store.watch(9))
    assert changes.revision == 12
    first, second, third, fourth = changes.changes
    assert first.target.state is TargetState.DRAINING
    assert second == TargetChange("b", None, is_removed=True)
    assert third == TargetChange("c", None)
    assert isinstance(fourth, ConfigurationChange)


@pytest.mark.parametrize(
    ("values", "eras", "reasons"),
    [
        ([b"3", b"4"], [3, 4], 0),
        ([None, None], [0, 0], 2),
        ([b"3", None], [3, 3], 1),
        ([b"3", b"-1"], [3, 3], 1),
        ([b"3", b"4, 4"], [3, 3], 1),
        ([b"3", b"9" * 5000], [3, 3], 1),
        ([b"", b"0"], [0, 0], 1),
        ([b"\xb2", b"2"], [0, 2], 1),
    ],
    ids=str,
)
def test_era_of_a_response(values, eras, reasons):
    """A header that is missing or odd is counted, and the era read last counts."""
    unreadable: list[str] = []
    era = StoreEra(unreadable.append)
    read = []
    for value in values:
        era.record({} if value is None else {b"store-era": value})
        read.append(era.latest)
    assert read == eras
    assert len(unreadable) == reasons


@pytest.mark.parametrize(
    ("eras", "expected"),
    [("11", 1), ("1222", 2), ("123444", 4), ("123456", None)],
    ids=["one", "restored", "twice", "again-and-again"],
)
def test_listing_has_pages_of_one_era(eras, expected):
    """A listing that a restore interrupts begins anew, a few times at most."""
    store, _ = make_store(*((200, page(revision=int(era)), era) for era in eras))
    if expected is None:
        with pytest.raises(StoreError):
            run_to_end(store.read_all())
        return
    listing = run_to_end(store.read_all())
    assert (listing.era, listing.revision) == (expected, expected)


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (410, {}, HistoryGoneError),
        (429, {}, StoreError),
        (503, {}, StoreError),
        (200, b"{", StoreError),
        (200, [], StoreError),
        (200, {"events": []}, StoreError),
        (200, {"events": {}, "storeRevision": 4}, StoreError),
    ],
)
def test_invalid_store_responses_raise(status, body, error):
    """An error status or a malformed body raises `StoreError` or its subclass."""
    store, _ = make_store((status, body))
    with pytest.raises(error):
        run_to_end(store.watch(3))


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


@given(st.sampled_from([*SETTINGS, "app", "service"]), json_values)
def test_settings_that_decode_can_be_used(field, value):
    """Any value of a field is reported or can be used, so that no reload raises."""
    is_agent = field in ("app", "service")
    document = SETTINGS | {"service": "orders", "app": "10.1.0.10:8165"}
    if is_agent:
        outbound = SETTINGS["bindAddrs"] | {"outbound": "10.1.0.10:8162"}
        document |= {"servedRoles": ["side"], "bindAddrs": outbound}
    try:
        settings = decode_settings(to_json(document | {field: value}))
    except FlowSettingsError:
        return
    for host in (settings.host, *settings.seeds):
        parse_ipv4(host)
    if settings.agent is not None:
        service_tag(settings.agent.service)


def test_settings_template_is_one_json_placeholder():
    """The settings template of the deploy file renders all fields as JSON."""
    with open("deploy/node.yaml") as file:
        assert file.read().strip() == "{{.|json}}"
    # The settings of the tests above survive the rendering as JSON.
    assert loads(to_json(SETTINGS)) == SETTINGS
