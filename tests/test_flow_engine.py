"""Tests of the flow engine with callers connected in memory."""

from random import Random

import pytest

from balsamtide.agent.events import FLOW_FAULTED
from balsamtide.agent.flow_admission import FlowLimits
from balsamtide.agent.flow_events import (
    AnswerWritable,
    BodyReceived,
    RequestCancelled,
    RequestOpened,
)
from balsamtide.agent.metrics import DATAGRAMS_DROPPED as DROPPED
from balsamtide.agent.steering import PeerSteering
from balsamtide.caller.flow import (
    AnswerPart,
    AnswerStarted,
    FlowEnded,
    RequestRejected,
)
from balsamtide.protocol.connection_id import ConnectionIdCodec, Destination, IdKeys
from balsamtide.protocol.messages import Endpoint
from tests.fakes_flows import BALANCER, ID_KEYS, OTHER_BALANCER, FlowHarness

HEAD = (
    (b":method", b"POST"),
    (b":scheme", b"https"),
    (b":authority", b"service.test"),
    (b":path", b"/x"),
)
PEER = Endpoint("10.9.9.9", 99)


def opened(harness: FlowHarness) -> list[RequestOpened]:
    """Return the requests that the engine reported as opened."""
    return harness.events_of(RequestOpened)


def test_request_and_answer_pass(tmp_path):
    """A request body and its answer are delivered completely."""
    harness = FlowHarness(tmp_path)
    caller = harness.connect()
    caller.open_request(HEAD, b"question")
    harness.steps(5)
    key = opened(harness)[0].key
    assert b"".join(e.data for e in harness.events_of(BodyReceived)) == b"question"
    assert harness.engine.start_answer(key, ((b":status", b"200"),), is_ended=False)
    assert harness.engine.write_answer(key, b"answer", is_ended=True)
    harness.engine.finish(key)
    harness.steps(5)
    kinds = [type(event) for event in harness.caller_events[0][1:]]
    assert kinds == [AnswerStarted, AnswerPart]
    assert harness.caller_events[0][2].data == b"answer"


@pytest.mark.parametrize("callers", [1, 3])
def test_ids_of_a_flow_encode_its_target(tmp_path, callers):
    """Every connection ID that the agent issues encodes its service and target."""
    harness = FlowHarness(tmp_path)
    for _ in range(callers):
        harness.connect()
    ids = ConnectionIdCodec(ID_KEYS)
    for connection in harness.connections():
        found = {ids.read(item.cid) for item in connection._host_cids}
        assert found == {Destination(1, 3)}
        assert len(connection._host_cids) > 1


def test_key_rotation_keeps_flows(tmp_path):
    """During key rotation, connection IDs of the old and the new key are routable."""
    old_harness = FlowHarness(tmp_path)
    old_harness.connect()
    both = ConnectionIdCodec(IdKeys(current=1, keys={0: b"i" * 16, 1: b"n" * 16}))
    issued = old_harness.connections()[0].host_cid
    assert both.read(issued) == Destination(1, 3)
    new_harness = FlowHarness(tmp_path, id_keys=both.keys)
    new_harness.connect()
    assert both.read(new_harness.connections()[0].host_cid) == Destination(1, 3)


@pytest.mark.parametrize(
    ("limits", "callers", "open_callers", "reason"),
    [
        (FlowLimits(flows=2), 4, 2, "full"),
        (FlowLimits(handshakes=1, handshakes_before_retry=1), 3, 1, "handshakes"),
    ],
)
def test_limits_bound_what_is_opened(tmp_path, limits, callers, open_callers, reason):
    """Initials beyond the limits of flows and handshakes are dropped and counted."""
    harness = FlowHarness(tmp_path, limits=limits)
    for _ in range(callers):
        harness.add_caller()
    harness.step()
    assert len(harness.engine.flows) == open_callers
    assert harness.dropped(reason) == callers - open_callers


def test_many_handshakes_require_address_validation(tmp_path):
    """Above the handshake threshold, callers get a Retry and still connect."""
    harness = FlowHarness(tmp_path, limits=FlowLimits(handshakes_before_retry=1))
    callers = [harness.add_caller() for _ in range(4)]
    harness.steps(15)
    assert all(caller.is_open for caller in callers)
    assert callers[3].connection._retry_count == 1
    assert callers[0].connection._retry_count == 0


def test_unfinished_handshakes_expire(tmp_path):
    """Unfinished handshakes time out, free their slots and do not amplify.

    Guards against handshake floods and against amplification: an unvalidated address
    is sent at most three times the bytes received from it.
    """
    harness = FlowHarness(tmp_path, limits=FlowLimits(handshakes=3))
    for index in range(3):
        harness.add_caller()
        harness.paused_callers.add(index)
    for port, caller in enumerate(harness.callers, 1):
        for payload in caller.take_datagrams(harness.now):
            harness.forward(payload, port=port)
    harness.step()
    assert harness.engine.handshakes == 3
    sent = sum(len(reply.payload) for _, reply in harness.replies)
    assert sent <= 3 * 3 * 1280
    for _ in range(130):
        harness.now += 1.0
        harness.step()
    sent = sum(len(reply.payload) for _, reply in harness.replies)
    assert sent <= 3 * 3 * 1280
    assert harness.engine.handshakes == 0
    assert not harness.engine.flows
    assert not harness.engine.by_id


@pytest.mark.parametrize(
    ("is_full", "is_ready", "is_steered"),
    [(False, True, False), (True, True, True), (False, False, True)],
)
def test_initials_are_steered_once(tmp_path, is_full, is_ready, is_steered):
    """An agent that is full or not ready steers Initials that were not yet steered."""
    steering = PeerSteering(sample_peer=lambda now: PEER, is_ready=lambda now: is_ready)
    limits = FlowLimits(flows=0) if is_full else FlowLimits()
    harness = FlowHarness(tmp_path, limits=limits, steering=steering)
    harness.add_caller()
    harness.step()
    # [1] if the Initial is steered, else [].
    assert [message.hops for message in harness.steered] == [1] * is_steered
    before = len(harness.steered)
    payload = harness.add_caller().take_datagrams(harness.now)[0]
    harness.forward(payload, port=2, hops=1)
    harness.engine.flush(harness.now)
    assert len(harness.steered) == before


@pytest.mark.parametrize("is_lease_valid", [False, True])
def test_return_path_avoids_dead_balancer(tmp_path, is_lease_valid):
    """Answers use another balancer after the lease expired or packets were lost."""
    harness = FlowHarness(tmp_path)
    caller = harness.connect()
    harness.engine.leases.renew(OTHER_BALANCER, harness.now)
    caller.open_request(HEAD, b"")
    harness.steps(5)
    key = opened(harness)[0].key
    harness.dead_balancers.add(BALANCER)
    if not is_lease_valid:
        # Otherwise the lease is still valid and only lost packets show the failure.
        harness.now += 2.0
        harness.engine.leases.renew(OTHER_BALANCER, harness.now)
    harness.engine.start_answer(key, ((b":status", b"200"),), is_ended=True)
    harness.balancer = OTHER_BALANCER
    harness.steps(400)
    assert any(isinstance(event, AnswerStarted) for event in harness.caller_events[0])


def test_goaway_rejects_later_requests_and_finishes_earlier_ones(tmp_path):
    """After GOAWAY, open requests are answered and later ones are rejected."""
    harness = FlowHarness(tmp_path)
    caller = harness.connect()
    caller.open_request(HEAD, b"")
    harness.steps(5)
    key = opened(harness)[0].key
    harness.engine.drain()
    late = caller.open_request(HEAD, b"")
    harness.steps(10)
    assert RequestRejected(late) in harness.caller_events[0]
    assert caller.is_going_away
    assert len(opened(harness)) == 1
    harness.engine.start_answer(key, ((b":status", b"200"),), is_ended=True)
    harness.engine.finish(key)
    harness.steps(5)
    assert any(isinstance(event, AnswerStarted) for event in harness.caller_events[0])
    harness.now += 2.0
    harness.engine.close_idle(harness.now, idle_s=1.0)
    harness.step()
    harness.now += 2.0
    harness.step()
    assert not harness.engine.flows


def test_flow_migrates_to_new_caller_port(tmp_path):
    """After path validation, answers are sent to the caller's new port."""
    harness = FlowHarness(tmp_path)
    caller = harness.connect()
    harness.steps(20)
    harness.moved_ports[1] = 4001
    caller.open_request(HEAD, b"moved")
    harness.steps(30)
    key = opened(harness)[0].key
    harness.replies.clear()
    harness.engine.start_answer(key, ((b":status", b"200"),), is_ended=True)
    harness.steps(10)
    assert any(isinstance(event, AnswerStarted) for event in harness.caller_events[0])
    assert {reply.caller.port for _, reply in harness.replies} == {4001}


@pytest.mark.parametrize("method", ["receive_datagram", "datagrams_to_send"])
def test_exception_ends_only_its_flow(tmp_path, method):
    """An exception in one connection is reported and ends only its flow."""
    harness = FlowHarness(tmp_path)
    faulty, sound = harness.connect(), harness.connect()

    def fail(*arguments):
        raise ValueError("injected")

    setattr(harness.connections()[0], method, fail)
    faulty.open_request(HEAD, b"")
    sound.open_request(HEAD, b"sound")
    harness.steps(10)
    assert list(harness.engine.flows) == [2]
    assert [event for event, _ in harness.sink.events].count(FLOW_FAULTED) == 1
    assert b"".join(e.data for e in harness.events_of(BodyReceived)) == b"sound"


def test_lost_flow_is_reset(tmp_path):
    """A datagram of a flow lost in a restart gets a stateless reset."""
    harness = FlowHarness(tmp_path)
    caller = harness.connect()
    harness.steps(20)
    harness.engine.flows.clear()
    harness.engine.by_id.clear()
    caller.open_request(HEAD, b"x" * 100)
    harness.steps(3)
    assert FlowEnded("reset") in harness.caller_events[0]


def test_paused_upload_stops_at_window(tmp_path):
    """A paused upload stops at the flow control window and resumes afterwards."""
    harness = FlowHarness(tmp_path)
    caller = harness.connect()
    caller.open_request(HEAD, b"u" * 2_000_000)
    harness.steps(3)
    key = opened(harness)[0].key
    harness.engine.set_body_paused(key, is_paused=True)
    harness.steps(300)
    held = sum(len(event.data) for event in harness.events_of(BodyReceived))
    # Two windows of 256 KiB, the initial one and one granted before the pause, and a
    # margin.
    assert held <= 600_000
    harness.engine.set_body_paused(key, is_paused=False)
    harness.steps(1500)
    assert (
        sum(len(event.data) for event in harness.events_of(BodyReceived)) == 2_000_000
    )


def test_slow_reader_blocks_the_answer(tmp_path):
    """``AnswerWritable`` is reported only after the caller acknowledged the data."""
    harness = FlowHarness(tmp_path)
    caller = harness.connect()
    caller.open_request(HEAD, b"")
    harness.steps(5)
    key = opened(harness)[0].key
    harness.paused_callers.add(0)
    harness.engine.start_answer(key, ((b":status", b"200"),), is_ended=False)
    harness.engine.write_answer(key, b"a" * 200_000, is_ended=False)
    harness.engine.notify_when_writable(key, harness.now)
    harness.steps(20)
    assert not harness.events_of(AnswerWritable)
    assert harness.engine.unacked_bytes(key) > 100_000
    harness.paused_callers.clear()
    harness.steps(200)
    assert harness.events_of(AnswerWritable)


def test_cancelled_request_is_reported(tmp_path):
    """A request that the caller cancels is reported as cancelled."""
    harness = FlowHarness(tmp_path)
    caller = harness.connect()
    stream = caller.open_request(HEAD, b"")
    harness.steps(5)
    caller.cancel(stream)
    harness.steps(5)
    assert RequestCancelled(opened(harness)[0].key) in harness.events


HOSTILE_DATAGRAMS = 12_000


def test_hostile_datagrams_are_dropped(tmp_path):
    """Random, forged, truncated and replayed datagrams neither open nor close flows."""
    harness = FlowHarness(tmp_path)
    caller = harness.connect()
    random = Random(2026)
    ids = ConnectionIdCodec(ID_KEYS, random=random.randbytes)
    forged = ConnectionIdCodec(
        IdKeys(current=0, keys={0: b"f" * 16}), random=random.randbytes
    )
    recorded = [reply.payload for _, reply in harness.replies]
    flows_before = len(harness.engine.flows)

    def hostile() -> bytes:
        # By kind: random bytes, an ID of a foreign key, of another service, of another
        # target, a truncated replay of an agent's datagram; else the open flow's ID.
        body = random.randbytes(random.randrange(0, 1300))
        kind = random.randrange(6)
        if kind == 0:
            return body
        if kind == 1:
            return b"\x40" + forged.issue(Destination(1, 3)) + body
        if kind == 2:
            return b"\x40" + ids.issue(Destination(2, 3)) + body
        if kind == 3:
            return b"\x40" + ids.issue(Destination(1, 4)) + body
        if kind == 4:
            return random.choice(recorded)[: random.randrange(0, 1300)]
        own = harness.connections()[0].host_cid
        return b"\x40" + own + body

    for number in range(HOSTILE_DATAGRAMS):
        harness.forward(hostile(), port=5000 + number % 7)
        if number % 100 == 0:
            harness.step()
    harness.steps(5)
    assert len(harness.engine.flows) == flows_before
    # A loose lower bound: datagrams with the open flow's ID reach its connection, the
    # other kinds are dropped on receipt.
    assert harness.sink.total(DROPPED) > HOSTILE_DATAGRAMS / 3
    assert not opened(harness)
    caller.open_request(HEAD, b"still there")
    harness.steps(10)
    assert b"".join(e.data for e in harness.events_of(BodyReceived)) == b"still there"
