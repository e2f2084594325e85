"""The platform's formats: packets, documents, settings and calls of its store."""

from base64 import b64encode
from json import dumps, loads

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtide.fleet.store import (
    ConfigurationRead,
    HistoryGoneError,
    StoreError,
    TargetRead,
)
from balsamtide.fleet.view import TargetState
from balsamtide.flow_node.http import HttpAnswer, HttpCaller
from balsamtide.flow_node.settings import FlowRole, FlowSettingsError
from balsamtide.flows.packet import FlowPacketError, format_key
from balsamtide.platform.documents import (
    DocumentError,
    decode_configuration,
    decode_target,
)
from balsamtide.platform.packets import HEADER_BYTES, MAX_DATA_BYTES, WirePackets
from balsamtide.platform.settings import decode_settings
from balsamtide.platform.store import PlatformStore

PACKETS = WirePackets()
OPENING = bytes.fromhex(
    "00000000d5c3b2a14007004064bb01419c010012c600004433221100000000"
)
RESET = bytes.fromhex("000000000000000001010012c6419cbb010700406400000000000000000000")
TARGET = {
    "service": "orders",
    "address": "10.128.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "warmupLeftMs": 1500,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
ROUTE = {
    "name": "r-1",
    "host": "198.18.0.1",
    "prefix": "/8443/",
    "type": "idempotent",
    "timeoutMs": 500,
    "goalMs": 100,
    "priority": 2,
    "service": "orders",
    "maxAttempts": 2,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "orders", "healthPath": "/health", "maxConns": 2000}],
    "limits": {"idleTimeoutMs": 15000},
}
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


def encoded(document: object) -> bytes:
    """Return a document as the platform holds it."""
    return dumps(document).encode()


def test_opening_packet_of_the_platform_is_understood():
    """The published example decodes, and its reset is the published one."""
    packet = PACKETS.decode(OPENING)
    assert packet.is_opening
    assert packet.sequence == 0x11223344
    assert format_key(packet.client_key) == "100.64.0.7:40001>198.18.0.1:443"
    assert PACKETS.reset(packet) == RESET


@pytest.mark.parametrize("copies", [0, 1, 2, 3, 2**32 - 1])
def test_copies_tell_their_age(copies):
    """Each copy of an opening is older; more copies than are sent change nothing."""
    raw = OPENING[:27] + copies.to_bytes(4, "little")
    assert PACKETS.decode(raw).age_s == (0.0, 0.2, 0.6)[min(copies, 2)]


@pytest.mark.parametrize(
    "data",
    [b"", OPENING[:-1], OPENING + b"x", OPENING + bytes(MAX_DATA_BYTES + 1)],
    ids=["empty", "truncated", "length", "oversized"],
)
def test_invalid_packets_are_rejected(data):
    """A packet with a wrong length raises the error of the codec."""
    with pytest.raises(FlowPacketError):
        PACKETS.decode(data)


@given(st.binary(max_size=HEADER_BYTES + 40))
def test_any_octets_decode_or_are_rejected(data):
    """Arbitrary octets never raise another error, and decode without loss."""
    try:
        packet = PACKETS.decode(data)
    except FlowPacketError:
        return
    assert packet.raw == data


@given(st.integers(0, 255), st.integers(0, 2**32 - 1))
def test_returned_packets_are_sent_as_the_client_wrote_them(flags, echo):
    """Only the mark of the return and the echo change."""
    raw = echo.to_bytes(4, "little") + OPENING[4:8] + bytes([flags]) + OPENING[9:]
    again = PACKETS.decode(PACKETS.resend(raw))
    assert not again.is_returned
    assert again.raw[9:] == raw[9:]
    assert again.raw[8] == flags & ~32


def test_target_record():
    """A record of a target decodes, with its cold start as a local deadline."""
    target = decode_target("i-1", encoded(TARGET), now=10.0)
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
def test_unusable_target_records_are_rejected(change):
    """A field of another type or value makes a record unusable."""
    with pytest.raises(DocumentError):
        decode_target("i-1", encoded(TARGET | change), now=0.0)


@given(st.binary(max_size=60) | st.text(max_size=60).map(str.encode))
def test_any_octets_are_no_target_or_rejected(data):
    """Arbitrary octets raise nothing but the error of documents."""
    with pytest.raises(DocumentError):
        decode_target("i-1", data, now=0.0)
    with pytest.raises(DocumentError):
        decode_configuration(data)


def test_configuration():
    """Routes are found by address, and weights split new flows."""
    split = ROUTE | {
        "prefix": "/8080/",
        "service": None,
        "backends": [
            {"service": "orders", "weight": 90},
            {"service": "proofs", "weight": 10},
        ],
    }
    configuration = decode_configuration(
        encoded(CONFIGURATION | {"routes": [ROUTE, split]})
    )
    host = 0xC6120001
    assert configuration.version == 7
    assert configuration.idle_timeout_s == 15.0
    assert configuration.routes[host, 8443].service_for(b"key") == "orders"
    route = configuration.routes[host, 8080]
    chosen = [route.service_for(n.to_bytes(4, "big")) for n in range(1000)]
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
def test_unusable_configurations_are_rejected(change):
    """A configuration without the described form is not used in part."""
    with pytest.raises(DocumentError):
        decode_configuration(encoded(CONFIGURATION | change))


def test_settings_of_a_balancer():
    """Settings decode; fields that are not known are ignored."""
    settings = decode_settings(encoded(SETTINGS))
    assert settings.role is FlowRole.BALANCER
    assert settings.inner == ("10.1.0.10", 7720)
    assert settings.seeds == ("10.2.0.40",)
    assert settings.agent is None


def test_settings_of_an_agent():
    """The target beside an agent stands in its settings."""
    document = SETTINGS | {
        "servedRoles": ["side"],
        "bindAddrs": SETTINGS["bindAddrs"] | {"outbound": "10.1.0.10:8162"},
        "app": "10.1.0.10:8165",
        "service": "orders",
    }
    agent = decode_settings(encoded(document)).agent
    assert agent.service == "orders"
    assert agent.to_target == ("10.1.0.10", 8165)


@pytest.mark.parametrize(
    ("change", "problems"),
    [
        ({"nodeId": None}, 1),
        ({"nodeId": 5, "zone": None, "bounds": {}}, 5),
        ({"servedRoles": ["control"]}, 1),
        ({"servedRoles": ["side"]}, 3),
        ({"platform": {}}, 3),
    ],
    ids=str,
)
def test_problems_of_settings_are_reported_at_once(change, problems):
    """All that is missing or wrong is listed."""
    with pytest.raises(FlowSettingsError) as caught:
        decode_settings(encoded(SETTINGS | change))
    assert len(caught.value.problems) == problems


class ScriptedCaller(HttpCaller):
    """Answers calls from a list."""

    def __init__(self, *answers: tuple[int, object]) -> None:
        self.answers = list(answers)
        self.targets: list[str] = []

    async def get(self, target: str, *, wait_s: float = 0.0) -> HttpAnswer:
        """Return the next answer."""
        self.targets.append(target)
        status, document = self.answers.pop(0)
        body = document if isinstance(document, bytes) else encoded(document)
        return HttpAnswer(status, body)


def finish(call):
    """Run a coroutine that does not wait."""
    try:
        call.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the call waits")


def item(key: str, value: object, **fields: object) -> dict[str, object]:
    """Return an item of the store."""
    return {"key": key, "value": b64encode(encoded(value)).decode(), "rev": 3} | fields


def make_store(*answers: tuple[int, object]) -> tuple[PlatformStore, list]:
    """Return a store with scripted answers, and the list of rejected keys."""
    rejected: list[str] = []
    store = PlatformStore(
        ScriptedCaller(*answers),
        watch_s=1.0,
        on_reject=lambda key, reason: rejected.append(key),
    )
    return store, rejected


def test_listing_takes_all_pages_and_leaves_out_foreign_records():
    """Pages are joined; the revision is that of the first call."""
    store, rejected = make_store(
        (200, item("op/config", CONFIGURATION, storeRevision=9)),
        (
            200,
            {
                "items": [item("servers/a", TARGET)],
                "morePages": True,
                "storeRevision": 9,
            },
        ),
        (
            200,
            {
                "items": [item("servers/b", {"x": 1}), item("servers/c", TARGET)],
                "morePages": False,
                "storeRevision": 11,
            },
        ),
    )
    listing = finish(store.read_all())
    assert listing.revision == 9
    assert [target.name for target in listing.targets] == ["a", "c"]
    assert rejected == ["servers/b"]
    assert "after=servers%2Fa" in store.client.targets[2]


def test_watch_translates_changes():
    """Writes, removals and foreign keys of a watch are told apart."""
    events = [
        item("servers/a", TARGET | {"state": "draining"}),
        {"key": "servers/b", "rev": 4, "removed": True},
        item("servers/c", {"state": "odd"}),
        item("op/config", CONFIGURATION),
        item("my/own", 5),
    ]
    store, _ = make_store((200, {"events": events, "storeRevision": 12}))
    changes = finish(store.watch(9))
    assert changes.revision == 12
    first, second, third, fourth = changes.changes
    assert first.target.state is TargetState.DRAINING
    assert second == TargetRead("b", None, is_removed=True)
    assert third == TargetRead("c", None)
    assert isinstance(fourth, ConfigurationRead)


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
def test_failures_of_the_store_are_typed(status, body, error):
    """Each kind of unusable answer raises the store's error."""
    store, _ = make_store((status, body))
    with pytest.raises(error):
        finish(store.watch(3))


def test_template_renders_all_settings_as_json():
    """The deploy file's template is one placeholder for all fields."""
    with open("deploy/node.yaml") as file:
        assert file.read().strip() == "{{.|json}}"
    assert loads(encoded(SETTINGS)) == SETTINGS
