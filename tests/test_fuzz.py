"""Fuzzing of everything that decodes octets from outside the process.

Each decoder gives a value or the one typed error of its kind, whatever it is fed.
"""

from base64 import urlsafe_b64encode
from dataclasses import replace
from hashlib import sha256

from hypothesis import example, given
from hypothesis import strategies as st
from msgspec.json import encode as encode_json
from msgspec.msgpack import encode
from pytest import mark, raises

from balsamtide.agent.flow_events import RequestOpened
from balsamtide.agent.request_facts import InvalidRequestError, parse_request
from balsamtide.balancer.forwarder import Dropped, Forwarded, Forwarder
from balsamtide.config.entries import InvalidEntryError, check_entry, parse_entries
from balsamtide.config.evaluation import EvaluationReason, evaluate_entry
from balsamtide.config.model import Configuration
from balsamtide.config.patch_check import check_patch
from balsamtide.config.port import Snapshot
from balsamtide.config.snapshot import (
    SnapshotError,
    SnapshotManifest,
    join_snapshot,
    split_snapshot,
)
from balsamtide.membership.state_rpc import State, StateChunk, StateRequest
from balsamtide.protocol.connection_id import ConnectionIdCodec, Destination, IdKeys
from balsamtide.protocol.datagram import (
    MAX_DATAGRAM_BYTES,
    DatagramCodec,
    MacKeys,
)
from balsamtide.protocol.errors import DecodeError, DecodeFault
from balsamtide.protocol.messages import Endpoint, Entry, PatchOperation
from balsamtide.protocol.quic_header import read_packet_header
from balsamtide.protocol.rpc import RpcCodec
from balsamtide.requests.messages import LedgerChunk, ReceiverMessage, SenderMessage
from balsamtide.requests.stamp import Stamp, StampCodec
from balsamtide.routing.table import build_table
from tests.fakes_requests import KEYS, make_service
from tests.strategies import json_values, packed_values, patch_operations

CODEC = DatagramCodec(KEYS)
STAMPS = StampCodec(KEYS)
IDS = ConnectionIdCodec(IdKeys(current=0, keys={0: b"i" * 16, 1: b"j" * 16}))
RPC = RpcCodec()
SERVICE = make_service()
CONFIGURATION = Configuration(services={"timetable": SERVICE})
CALLER = Endpoint("127.0.0.1", 4000)
FORWARDER = Forwarder(
    codec=CODEC,
    ids=IDS,
    table=build_table(CONFIGURATION, version=1, is_eligible=lambda *_: True),
    version=1,
    reply_to=CALLER,
)
# Deeper than any decoder should follow.
NESTED = b"\x91" * 2_000 + b"\xc0"
# A push whose one entry has one operation with such a value.
NESTED_PUSH = (
    b"\x95\x05\xa1a\x01\x91\x83\xa6number\x01\xa4base\x00\xa5patch\x91\x83"
    b"\xa2op\xa3add\xa4path\xa1/\xa5value" + NESTED + b"\x90"
)
RPC_TYPES = (
    ReceiverMessage,
    SenderMessage,
    LedgerChunk,
    State,
    StateChunk,
    StateRequest,
)


def sealed(body):
    """Return a datagram with a valid MAC around any body."""
    mac = CODEC.seal_hash.copy()
    mac.update(body)
    return CODEC.prefix + mac.digest() + body


@given(st.one_of(st.binary(max_size=400), packed_values))
@example(NESTED)
@example(NESTED_PUSH)
def test_sealed_datagram_is_a_message_or_an_error(body):
    """A datagram of a peer that holds the key decodes or raises the typed error."""
    datagram = sealed(body)
    try:
        message = CODEC.decode(datagram)
    except DecodeError as error:
        assert error.fault in (DecodeFault.MALFORMED, DecodeFault.TRUNCATED)
        assert len(str(error)) < 500
    else:
        assert CODEC.decode(CODEC.encode(message)) == message


@given(st.integers(MAX_DATAGRAM_BYTES + 1, 70_000))
def test_oversized_datagram_is_refused_unread(size):
    """A datagram above the limit is refused whatever it holds."""
    with raises(DecodeError) as caught:
        CODEC.decode(b"\x01" * size)
    assert caught.value.fault is DecodeFault.OVERSIZED


@given(st.binary(max_size=40), st.integers(0, 16), st.integers(1, 255))
def test_altered_connection_id_leads_nowhere_else(nonce, position, change):
    """An ID with one changed octet never names another service or target."""
    destination = Destination(7, 9)
    issued = bytearray(IDS.issue(destination))
    issued[position] ^= change
    assert IDS.read(bytes(issued)) in (None, destination)
    assert IDS.read(nonce) is None


@given(st.binary(max_size=200))
@example("é".encode() * 20)
def test_any_token_is_a_stamp_or_nothing(token):
    """A token that no agent made gives no stamp and raises nothing."""
    assert STAMPS.decode(token) is None


@given(st.binary(max_size=120))
def test_authentic_token_with_any_body_raises_nothing(body):
    """A token with a valid MAC around any body gives a stamp or nothing."""
    keyed = bytes((KEYS.current,)) + body
    mac = STAMPS._mac(KEYS.keys[KEYS.current], keyed)
    token = STAMPS.encode(Stamp(1, 2, 3, 4))
    assert STAMPS.decode(token) == Stamp(1, 2, 3, 4)
    stamp = STAMPS.decode(_base64(mac + keyed))
    assert stamp is None or isinstance(stamp, Stamp)


def _base64(octets):
    return urlsafe_b64encode(octets).rstrip(b"=")


@mark.parametrize("message_type", RPC_TYPES, ids=str)
@given(body=st.one_of(st.binary(max_size=400), packed_values))
@example(body=NESTED)
@example(body=b"\x96\x01\x01\xc4\x00" + NESTED)
def test_rpc_body_is_a_message_or_an_error(message_type, body):
    """An RPC body decodes or raises the typed error."""
    try:
        message = RPC.decode(body, message_type)
    except DecodeError as error:
        assert error.fault is DecodeFault.MALFORMED
    else:
        RPC.encode(message, message_type)


@given(st.binary(max_size=1500))
def test_any_quic_packet_has_a_header_or_an_error(packet):
    """A packet header is read or refused, with an ID of at most 20 octets."""
    try:
        header = read_packet_header(packet)
    except DecodeError:
        return
    assert len(header.destination_id) <= 20


@given(st.binary(max_size=1500), st.integers(0, 65535))
def test_hostile_packet_never_reaches_another_service(packet, service):
    """Whatever a caller sends goes to the service of its address or nowhere."""
    result = FORWARDER.forward(packet, CALLER, service, "a")
    if service != SERVICE.number:
        assert isinstance(result, Dropped)
    elif isinstance(result, Forwarded):
        assert CODEC.decode(result.datagram).service == service


@given(st.binary(max_size=300), json_values)
@example(b"[" * 2_000, None)
@example(b'[{"number": 1, "patch": ' + b"[" * 2_000, None)
def test_platform_body_gives_entries_or_an_error(body, value):
    """What the platform serves becomes usable entries or the typed error."""
    for octets in (body, encode_json([value]), encode_json(value)):
        try:
            entries = parse_entries(octets)
        except InvalidEntryError:
            continue
        assert all(entry.number >= 1 for entry in entries)


@given(st.lists(patch_operations, max_size=6), st.integers(-2, 3))
def test_any_patch_gets_a_verdict(operations, base):
    """Any patch is in force or rejected, and a rejected one changes nothing."""
    entry = Entry(number=5, base=base, patch=tuple(operations))
    evaluation = evaluate_entry(CONFIGURATION, 0, entry)
    report = check_patch(CONFIGURATION, 0, entry)
    assert report.evaluation == evaluation
    assert evaluation == evaluate_entry(CONFIGURATION, 0, entry)
    if evaluation.is_in_force:
        check_entry(entry)
        assert base == 0
    else:
        assert evaluation.configuration is CONFIGURATION
        assert evaluation.reason is not EvaluationReason.ACCEPTED


@mark.parametrize(
    "value",
    [encode(1), float("nan"), 2**70, {"a": {1: 2}}, "\ud800", object()],
    ids=["octets", "nan", "wide", "key", "surrogate", "foreign"],
)
def test_value_outside_json_is_rejected(value):
    """A patch with a value that JSON lacks is malformed, not an error."""
    operation = PatchOperation(op="add", path="/services/a", value=value)
    entry = Entry(number=1, base=0, patch=(operation,))
    assert evaluate_entry(CONFIGURATION, 0, entry).reason is EvaluationReason.MALFORMED


@given(
    st.binary(max_size=300),
    st.integers(-1, 3),
    st.integers(-1, 3),
    st.one_of(st.text(max_size=40), st.binary(min_size=16, max_size=16).map(bytes.hex)),
    st.integers(-1, 3),
)
@example(b"[" * 2_000, 1, 1, "00" * 16, 1)
@example(b'{"services":' * 2_000, 1, 1, "00" * 16, 1)
def test_any_chunks_are_a_snapshot_or_an_error(content, number, in_force, chain, n):
    """Chunks make a snapshot or raise the typed error, with a right checksum too."""
    manifest = SnapshotManifest(
        number=number,
        in_force=in_force,
        chain=chain,
        checksum=sha256(content).hexdigest(),
        chunk_count=n,
    )
    try:
        snapshot = join_snapshot(manifest, [content])
    except SnapshotError:
        return
    assert 0 <= snapshot.in_force <= snapshot.number


@given(st.integers(0, 200), st.integers(1, 255))
def test_altered_snapshot_is_refused(position, change):
    """A snapshot with one changed octet is refused."""
    evaluation = evaluate_entry(Configuration(), 0, Entry(number=1, base=0, patch=()))
    snapshot = join_snapshot(*_split(evaluation.configuration))
    assert snapshot.configuration == evaluation.configuration
    manifest, chunks = _split(CONFIGURATION)
    octets = bytearray(chunks[0])
    octets[position % len(octets)] ^= change
    with raises(SnapshotError):
        join_snapshot(manifest, [bytes(octets)])


def _split(configuration):
    snapshot = Snapshot(
        number=1, in_force=1, chain=bytes(16), configuration=configuration
    )
    parts = split_snapshot(snapshot)
    return parts.manifest, parts.chunks


header_names = st.sampled_from(
    [
        b":method",
        b":path",
        b"idempotency-key",
        b"balsamtide-attempt",
        b"balsamtide-deadline-ms",
        b"balsamtide-stamp",
    ]
)
header_values = st.one_of(
    st.binary(max_size=60),
    st.sampled_from([b"POST", b"/", b"-1", b"1e9", b"9" * 5000, "٣".encode()]),
)


@given(st.lists(st.tuples(header_names, header_values), max_size=8))
def test_any_headers_are_a_request_or_an_error(headers):
    """Headers make a request with a bounded deadline or raise the typed error."""
    opened = replace(OPENED, headers=tuple(headers))
    try:
        parsed = parse_request(
            opened, service_name="timetable", service=SERVICE, request_id="r", now=5.0
        )
    except InvalidRequestError:
        return
    assert 5.0 <= parsed.facts.deadline <= 5.0 + 24 * 3600
    assert parsed.facts.attempt >= 1


OPENED = RequestOpened(
    key=(0, 0),
    caller=CALLER,
    headers=(),
    is_ended=True,
    forwarding_s=0.0,
    round_trip_s=0.0,
    handshake_s=0.0,
    is_steered=False,
    balancer_version=1,
)


def test_keys_are_apart():
    """A key of one kind opens nothing sealed with another."""
    other = DatagramCodec(MacKeys(current=1, keys={1: b"z" * 32}))
    with raises(DecodeError):
        other.decode(sealed(encode(1)))
