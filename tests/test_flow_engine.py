"""Tests of the flow engine against callers in memory."""

from random import Random

import pytest

from balsamtide.agent.events import FLOW_FAULTED
from balsamtide.agent.flow_admission import FlowLimits
from balsamtide.agent.flow_events import (
    AnswerDrained,
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
from tests.fakes_flows import BALANCER, ID_KEYS, OTHER_BALANCER, FlowWorld

HEAD = (
    (b":method", b"POST"),
    (b":scheme", b"https"),
    (b":authority", b"service.test"),
    (b":path", b"/x"),
)
PEER = Endpoint("10.9.9.9", 99)


def opened(world: FlowWorld) -> list[RequestOpened]:
    """Return the requests that the engine reported."""
    return world.events_of(RequestOpened)


def test_request_and_answer_pass(tmp_path):
    """A request's body arrives and its answer comes back whole."""
    world = FlowWorld(tmp_path)
    caller = world.connect()
    caller.open_request(HEAD, b"question")
    world.steps(5)
    key = opened(world)[0].key
    assert b"".join(e.data for e in world.events_of(BodyReceived)) == b"question"
    assert world.engine.start_answer(key, ((b":status", b"200"),), is_ended=False)
    assert world.engine.write_answer(key, b"answer", is_ended=True)
    world.engine.finish(key)
    world.steps(5)
    kinds = [type(event) for event in world.answers[0][1:]]
    assert kinds == [AnswerStarted, AnswerPart]
    assert world.answers[0][2].data == b"answer"


@pytest.mark.parametrize("rounds", [1, 3])
def test_ids_of_a_flow_name_its_target(tmp_path, rounds):
    """Every connection ID that the agent issues can be routed by any balancer."""
    world = FlowWorld(tmp_path)
    for _ in range(rounds):
        world.connect()
    ids = ConnectionIdCodec(ID_KEYS)
    for connection in world.connections():
        found = {ids.read(item.cid) for item in connection._host_cids}
        assert found == {Destination(1, 3)}
        assert len(connection._host_cids) > 1


def test_key_rotation_keeps_flows(tmp_path):
    """A flow with IDs of the old key is found by balancers that hold both keys."""
    old_world = FlowWorld(tmp_path)
    old_world.connect()
    both = ConnectionIdCodec(IdKeys(current=1, keys={0: b"i" * 16, 1: b"n" * 16}))
    issued = old_world.connections()[0].host_cid
    assert both.read(issued) == Destination(1, 3)
    new_world = FlowWorld(tmp_path, id_keys=both.keys)
    new_world.connect()
    assert both.read(new_world.connections()[0].host_cid) == Destination(1, 3)


@pytest.mark.parametrize(
    ("limits", "callers", "open_callers", "reason"),
    [
        (FlowLimits(flows=2), 4, 2, "full"),
        (FlowLimits(handshakes=1, validated_handshakes=1), 3, 1, "handshakes"),
    ],
)
def test_limits_bound_what_is_opened(tmp_path, limits, callers, open_callers, reason):
    """No more flows or handshakes are begun than the limits allow."""
    world = FlowWorld(tmp_path, limits=limits)
    for _ in range(callers):
        world.add_caller()
    world.step()
    assert len(world.engine.flows) == open_callers
    assert world.dropped(reason) == callers - open_callers


def test_many_handshakes_ask_for_proof_of_address(tmp_path):
    """Above a number of handshakes, callers prove their address and still connect."""
    world = FlowWorld(tmp_path, limits=FlowLimits(validated_handshakes=1))
    callers = [world.add_caller() for _ in range(4)]
    world.steps(15)
    assert all(caller.is_open for caller in callers)
    assert callers[3].connection._retry_count == 1
    assert callers[0].connection._retry_count == 0


def test_unfinished_handshakes_end_and_free_their_place(tmp_path):
    """Callers that open and never finish take places only for a while."""
    world = FlowWorld(tmp_path, limits=FlowLimits(handshakes=3))
    for index in range(3):
        world.add_caller()
        world.held_callers.add(index)
    for port, caller in enumerate(world.callers, 1):
        for payload in caller.take_datagrams(world.now):
            world.forward(payload, port=port)
    world.step()
    assert world.engine.handshakes == 3
    sent = sum(len(reply.payload) for _, reply in world.replies)
    assert sent <= 3 * 3 * 1280
    for _ in range(130):
        world.now += 1.0
        world.step()
    sent = sum(len(reply.payload) for _, reply in world.replies)
    assert sent <= 3 * 3 * 1280
    assert world.engine.handshakes == 0
    assert not world.engine.flows
    assert not world.engine.by_id


@pytest.mark.parametrize(
    ("is_full", "is_ready", "is_steered"),
    [(False, True, False), (True, True, True), (False, False, True)],
)
def test_first_datagrams_are_steered_once(tmp_path, is_full, is_ready, is_steered):
    """An agent that is full or not ready steers, but never what was steered to it."""
    steering = PeerSteering(best_peer=lambda now: PEER, is_ready=lambda now: is_ready)
    limits = FlowLimits(flows=0) if is_full else FlowLimits()
    world = FlowWorld(tmp_path, limits=limits, steering=steering)
    world.add_caller()
    world.step()
    assert [message.hops for message in world.steered] == [1] * is_steered
    before = len(world.steered)
    payload = world.add_caller().take_datagrams(world.now)[0]
    world.forward(payload, port=2, hops=1)
    world.engine.flush(world.now)
    assert len(world.steered) == before


@pytest.mark.parametrize("is_losing", [False, True])
def test_way_back_leaves_a_dead_balancer(tmp_path, is_losing):
    """Answers go through another balancer once the last one is dead."""
    world = FlowWorld(tmp_path)
    caller = world.connect()
    world.engine.leases.heard(OTHER_BALANCER, world.now)
    caller.open_request(HEAD, b"")
    world.steps(5)
    key = opened(world)[0].key
    world.lost_balancers.add(BALANCER)
    if not is_losing:
        world.now += 2.0
        world.engine.leases.heard(OTHER_BALANCER, world.now)
    world.engine.start_answer(key, ((b":status", b"200"),), is_ended=True)
    world.balancer = OTHER_BALANCER
    world.steps(400)
    assert any(isinstance(event, AnswerStarted) for event in world.answers[0])


def test_goaway_rejects_later_requests_and_finishes_earlier_ones(tmp_path):
    """After a drain, open requests are answered and later ones are rejected."""
    world = FlowWorld(tmp_path)
    caller = world.connect()
    caller.open_request(HEAD, b"")
    world.steps(5)
    key = opened(world)[0].key
    world.engine.drain()
    late = caller.open_request(HEAD, b"")
    world.steps(10)
    assert RequestRejected(late) in world.answers[0]
    assert caller.is_going_away
    assert len(opened(world)) == 1
    world.engine.start_answer(key, ((b":status", b"200"),), is_ended=True)
    world.engine.finish(key)
    world.steps(5)
    assert any(isinstance(event, AnswerStarted) for event in world.answers[0])
    world.now += 2.0
    world.engine.close_idle(world.now, idle_s=1.0)
    world.step()
    world.now += 2.0
    world.step()
    assert not world.engine.flows


def test_flow_follows_its_caller_to_another_port(tmp_path):
    """Answers go to a caller's new address once it has proved it."""
    world = FlowWorld(tmp_path)
    caller = world.connect()
    world.steps(20)
    world.moved_ports[1] = 4001
    caller.open_request(HEAD, b"moved")
    world.steps(30)
    key = opened(world)[0].key
    world.replies.clear()
    world.engine.start_answer(key, ((b":status", b"200"),), is_ended=True)
    world.steps(10)
    assert any(isinstance(event, AnswerStarted) for event in world.answers[0])
    assert {reply.caller.port for _, reply in world.replies} == {4001}


@pytest.mark.parametrize("method", ["receive_datagram", "datagrams_to_send"])
def test_fault_ends_its_flow_only(tmp_path, method):
    """A fault in one flow's connection ends that flow and is reported."""
    world = FlowWorld(tmp_path)
    faulty, sound = world.connect(), world.connect()

    def fail(*arguments):
        raise ValueError("a fault")

    setattr(world.connections()[0], method, fail)
    faulty.open_request(HEAD, b"")
    sound.open_request(HEAD, b"sound")
    world.steps(10)
    assert list(world.engine.flows) == [2]
    assert [event for event, _ in world.sink.events].count(FLOW_FAULTED) == 1
    assert b"".join(e.data for e in world.events_of(BodyReceived)) == b"sound"


def test_lost_flow_is_reset(tmp_path):
    """A caller whose agent restarted learns so from a stateless reset."""
    world = FlowWorld(tmp_path)
    caller = world.connect()
    world.steps(20)
    world.engine.flows.clear()
    world.engine.by_id.clear()
    caller.open_request(HEAD, b"x" * 100)
    world.steps(3)
    assert FlowEnded("reset") in world.answers[0]


def test_upload_waits_for_its_reader(tmp_path):
    """A held upload stops at the window and goes on when it is released."""
    world = FlowWorld(tmp_path)
    caller = world.connect()
    caller.open_request(HEAD, b"u" * 2_000_000)
    world.steps(3)
    key = opened(world)[0].key
    world.engine.hold_body(key, is_held=True)
    world.steps(300)
    held = sum(len(event.data) for event in world.events_of(BodyReceived))
    assert held <= 600_000
    world.engine.hold_body(key, is_held=False)
    world.steps(1500)
    assert sum(len(event.data) for event in world.events_of(BodyReceived)) == 2_000_000


def test_slow_reader_is_not_sent_more_than_its_window(tmp_path):
    """Room for more of an answer is reported only as the caller acknowledges."""
    world = FlowWorld(tmp_path)
    caller = world.connect()
    caller.open_request(HEAD, b"")
    world.steps(5)
    key = opened(world)[0].key
    world.held_callers.add(0)
    world.engine.start_answer(key, ((b":status", b"200"),), is_ended=False)
    world.engine.write_answer(key, b"a" * 200_000, is_ended=False)
    world.engine.await_drained(key, world.now)
    world.steps(20)
    assert not world.events_of(AnswerDrained)
    assert world.engine.unsent_bytes(key) > 100_000
    world.held_callers.clear()
    world.steps(200)
    assert world.events_of(AnswerDrained)


def test_cancelled_request_is_reported(tmp_path):
    """A caller that gives a request up cancels it at the agent."""
    world = FlowWorld(tmp_path)
    caller = world.connect()
    stream = caller.open_request(HEAD, b"")
    world.steps(5)
    caller.cancel(stream)
    world.steps(5)
    assert RequestCancelled(opened(world)[0].key) in world.events


HOSTILE_DATAGRAMS = 12_000


def test_hostile_datagrams_change_nothing(tmp_path):
    """Garbage, forged, truncated and replayed datagrams are dropped and counted."""
    world = FlowWorld(tmp_path)
    caller = world.connect()
    random = Random(2026)
    ids = ConnectionIdCodec(ID_KEYS, random=random.randbytes)
    forged = ConnectionIdCodec(
        IdKeys(current=0, keys={0: b"f" * 16}), random=random.randbytes
    )
    recorded = [reply.payload for _, reply in world.replies]
    flows_before = len(world.engine.flows)

    def hostile() -> bytes:
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
        own = world.connections()[0].host_cid
        return b"\x40" + own + body

    for number in range(HOSTILE_DATAGRAMS):
        world.forward(hostile(), port=5000 + number % 7)
        if number % 100 == 0:
            world.step()
    world.steps(5)
    assert len(world.engine.flows) == flows_before
    assert world.sink.total(DROPPED) > HOSTILE_DATAGRAMS / 3
    assert not opened(world)
    caller.open_request(HEAD, b"still there")
    world.steps(10)
    assert b"".join(e.data for e in world.events_of(BodyReceived)) == b"still there"
