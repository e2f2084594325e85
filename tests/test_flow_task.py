"""Tests of the task that owns the flow engine."""

import pytest
from trio import open_nursery, run
from trio.testing import MockClock

from balsamtide.agent.flow_task import MAX_QUEUED_INITIALS, FlowTask
from balsamtide.protocol.messages import Endpoint, Forward
from tests.fakes_flows import BALANCER, FlowHarness


def make_forward(payload: bytes, port: int) -> Forward:
    """Return a datagram of the caller at ``port``."""
    caller = Endpoint("10.0.0.1", port)
    return Forward(caller, 1, "main", 1, 0, 0, BALANCER, payload)


@pytest.mark.parametrize("reconnecting", [20, 60])
def test_open_flows_are_served_between_handshakes(tmp_path, reconnecting):
    """An open flow's datagram waits for at most one queued handshake.

    Guards against many reconnecting callers delaying the flows that are open.
    """
    harness = FlowHarness(tmp_path)
    caller = harness.connect()
    order: list[str] = []
    receive = harness.engine.receive

    def note(forward: Forward, now: float) -> None:
        order.append("open" if forward.caller.port == 1 else "initial")
        receive(forward, now)

    harness.engine.receive = note
    task = FlowTask(
        engine=harness.engine,
        send=lambda sends: None,
        on_request=lambda stream: None,
        sink=harness.sink,
    )

    async def scenario() -> None:
        async with open_nursery() as nursery:
            for port in range(2, 2 + reconnecting):
                payload = harness.add_caller().take_datagrams(harness.now)[0]
                task.deliver(make_forward(payload, port))
            caller.connection.send_ping(1)
            for payload in caller.take_datagrams(harness.now):
                task.deliver(make_forward(payload, 1))
            nursery.start_soon(task.run)
            while order.count("initial") < reconnecting:
                await task.commands.send(NoOp())
            nursery.cancel_scope.cancel()

    run(scenario, clock=MockClock(autojump_threshold=0))
    assert order.index("open") <= 1


def test_initial_queue_is_bounded(tmp_path):
    """Initials beyond ``MAX_QUEUED_INITIALS`` are dropped and counted."""
    harness = FlowHarness(tmp_path)
    task = FlowTask(
        engine=harness.engine,
        send=lambda sends: None,
        on_request=lambda stream: None,
        sink=harness.sink,
    )

    async def scenario() -> None:
        payload = harness.add_caller().take_datagrams(harness.now)[0]
        for port in range(MAX_QUEUED_INITIALS + 5):
            task.deliver(make_forward(payload, port + 1))

    run(scenario)
    assert len(task.initials) == MAX_QUEUED_INITIALS
    assert harness.dropped("handshake-queue-full") == 5


class NoOp:
    """A command that only wakes the task."""

    def apply(self, engine, now) -> None:
        """Do nothing."""
