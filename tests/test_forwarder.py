"""Tests of how the balancer routes each datagram."""

from random import Random

import pytest

from balsamtide.balancer.forwarder import (
    MAX_CACHED_ROUTES,
    Dropped,
    DropReason,
    Forwarded,
    Forwarder,
)
from balsamtide.config.model import Configuration, Service, Target, TargetState
from balsamtide.protocol.connection_id import ConnectionIdCodec, Destination, IdKeys
from balsamtide.protocol.datagram import DatagramCodec, MacKeys
from balsamtide.protocol.messages import Endpoint, Forward
from balsamtide.routing.table import build_table

CALLER = Endpoint("10.0.0.1", 9)
CODEC = DatagramCodec(MacKeys(current=1, keys={1: b"m" * 32}))
IDS = ConnectionIdCodec(
    IdKeys(current=0, keys={0: b"i" * 16}), random=Random(1).randbytes
)
FORGED_IDS = ConnectionIdCodec(
    IdKeys(current=0, keys={0: b"f" * 16}), random=Random(2).randbytes
)
AGENT_PORTS = {1: (101, 102, 103), 2: (201, 202)}
HOSTILE_DATAGRAMS = 20_000


def make_target(number: int, port: int, state: TargetState) -> Target:
    """Return a target whose agent listens on ``port``."""
    return Target(
        number=number,
        zone="z",
        host="10.1.0.1",
        port=1,
        agent_host="10.1.0.1",
        agent_port=port,
        agent_rpc_port=1,
        state=state,
    )


def make_forwarder(state: TargetState = TargetState.ACTIVE) -> Forwarder:
    """Return a forwarder of two services; ``state`` is that of the first target."""
    services = {
        f"s{number}": Service(
            number=number,
            targets={
                f"t{index}": make_target(
                    index, port, state if index == 1 else TargetState.ACTIVE
                )
                for index, port in enumerate(ports, 1)
            },
        )
        for number, ports in AGENT_PORTS.items()
    }
    table = build_table(
        Configuration(services=services),
        version=4,
        is_eligible=lambda name, target: True,
    )
    return Forwarder(
        codec=CODEC, ids=IDS, table=table, version=4, reply_to=Endpoint("10.2.0.1", 7)
    )


def short(connection_id: bytes) -> bytes:
    """Return a short-header packet with a fake payload."""
    return b"\x40" + connection_id + b"x" * 40


def initial(connection_id: bytes) -> bytes:
    """Return an Initial packet with a fake payload."""
    length = bytes((len(connection_id),))
    return b"\xc0\0\0\0\1" + length + connection_id + b"x" * 1180


@pytest.mark.parametrize(
    ("datagram", "service", "expected"),
    [
        (short(IDS.issue(Destination(1, 2))), 1, 102),
        (short(IDS.issue(Destination(2, 1))), 2, 201),
        (initial(IDS.issue(Destination(1, 3))), 1, 103),
        (short(IDS.issue(Destination(1, 2))), 2, DropReason.WRONG_SERVICE),
        (initial(IDS.issue(Destination(1, 2))), 2, DropReason.WRONG_SERVICE),
        (short(IDS.issue(Destination(1, 9))), 1, DropReason.NO_TARGET),
        (initial(b"12345678"), 9, DropReason.NO_TARGET),
        (short(FORGED_IDS.issue(Destination(1, 2))), 1, DropReason.UNKNOWN_ID),
        (b"", 1, DropReason.NOT_QUIC),
        (b"\x00" * 60, 1, DropReason.NOT_QUIC),
        (initial(b"123"), 1, DropReason.NOT_QUIC),
        (b"\xc0\0\0\0\1\x15" + b"x" * 60, 1, DropReason.NOT_QUIC),
    ],
    ids=[
        "short",
        "other-service",
        "initial-with-issued-id",
        "short-to-wrong-service",
        "initial-to-wrong-service",
        "unknown-target",
        "unknown-service",
        "forged",
        "empty",
        "quic-fixed-bit-not-set",
        "id-too-short",
        "id-too-long",
    ],
)
def test_datagrams_are_routed_by_connection_id(datagram, service, expected):
    """A connection ID routes to its agent, but never across services."""
    forwarder = make_forwarder()
    for _ in range(2):
        result = forwarder.forward(datagram, CALLER, service, "main")
        if isinstance(expected, DropReason):
            assert result == Dropped(expected)
        else:
            assert isinstance(result, Forwarded)
            assert result.destination == ("10.1.0.1", expected)
            message = CODEC.decode(result.datagram)
            assert isinstance(message, Forward)
            assert message.payload == datagram
            assert (message.caller, message.service) == (CALLER, service)


@pytest.mark.parametrize(
    ("state", "is_routed_by_id", "is_picked"),
    [
        (TargetState.ACTIVE, True, True),
        (TargetState.DRAINING, True, False),
        (TargetState.DISABLED, False, False),
    ],
)
def test_draining_target_keeps_its_flows(state, is_routed_by_id, is_picked):
    """A draining target is found by connection ID but not picked for new flows."""
    forwarder = make_forwarder(state)
    known = forwarder.forward(short(IDS.issue(Destination(1, 1))), CALLER, 1, "main")
    assert isinstance(known, Forwarded) is is_routed_by_id
    ports = set()
    for number in range(200):
        result = forwarder.forward(
            initial(number.to_bytes(8, "big")), CALLER, 1, "main"
        )
        assert isinstance(result, Forwarded)
        ports.add(result.destination[1])
    assert (101 in ports) is is_picked


def test_new_table_replaces_cached_routes():
    """A cached route is not used after the routing table was replaced."""
    forwarder = make_forwarder()
    datagram = short(IDS.issue(Destination(1, 1)))
    assert isinstance(forwarder.forward(datagram, CALLER, 1, "main"), Forwarded)
    forwarder.use_table(make_forwarder(TargetState.DISABLED).table, 5)
    result = forwarder.forward(datagram, CALLER, 1, "main")
    assert result == Dropped(DropReason.NO_TARGET)


def make_hostile(random: Random, recorded: list[bytes]) -> bytes:
    """Return random bytes, a forged or truncated packet, or a corrupted copy."""
    body = random.randbytes(random.randrange(0, 200))
    issuer = random.choice((IDS, FORGED_IDS))
    destination = Destination(random.randrange(0, 4), random.randrange(0, 5))
    kind = random.randrange(5)
    if kind == 0:
        return body
    if kind == 1:
        return b"\x40" + issuer.issue(destination) + body
    if kind == 2:
        return initial(issuer.issue(destination))[: random.randrange(0, 1200)]
    if kind == 3:
        return initial(random.randbytes(random.randrange(0, 30)))
    replayed = bytearray(random.choice(recorded))
    replayed[random.randrange(len(replayed))] ^= 1 << random.randrange(8)
    return bytes(replayed)


def test_hostile_datagrams_never_reach_another_service():
    """Hostile datagrams reach only agents of the service they were sent to."""
    random = Random(2026)
    forwarder = make_forwarder()
    recorded = [short(IDS.issue(Destination(s, 1))) for s in (1, 2) for _ in range(8)]
    delivered = 0
    for _ in range(HOSTILE_DATAGRAMS):
        service = random.choice((1, 2, 3))
        result = forwarder.forward(
            make_hostile(random, recorded), CALLER, service, "main"
        )
        if isinstance(result, Forwarded):
            delivered += 1
            assert result.destination[1] in AGENT_PORTS[service]
    assert 0 < delivered < HOSTILE_DATAGRAMS
    assert len(forwarder.route_cache) <= MAX_CACHED_ROUTES
