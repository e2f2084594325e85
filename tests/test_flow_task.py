"""Tests of the task that owns the flow engine."""

import pytest
from trio import open_nursery, run
from trio.testing import MockClock

from balsamtide.agent.flow_task import QUEUE_FIRSTS, FlowTask
from balsamtide.protocol.messages import Endpoint, Forward
from tests.fakes_flows import BALANCER, FlowWorld


def make_forward(payload: bytes, port: int) -> Forward:
    """Return a datagram of the caller at ``port``."""
    caller = Endpoint("10.0.0.1", port)
    return Forward(caller, 1, "main", 1, 0, 0, BALANCER, payload)


@pytest.mark.parametrize("reconnecting", [20, 60])
def test_open_flows_are_served_between_handshakes(tmp_path, reconnecting):
    """While many callers reconnect, an open flow's datagram waits for one of them."""
    world = FlowWorld(tmp_path)
    caller = world.connect()
    order: list[str] = []
    receive = world.engine.receive

    def note(forward: Forward, now: float) -> None:
        order.append("open" if forward.caller.port == 1 else "first")
        receive(forward, now)

    world.engine.receive = note
    task = FlowTask(
        engine=world.engine,
        send=lambda sends: None,
        on_request=lambda stream: None,
        sink=world.sink,
    )

    async def scenario() -> None:
        async with open_nursery() as nursery:
            for port in range(2, 2 + reconnecting):
                payload = world.add_caller().take_datagrams(world.now)[0]
                task.deliver(make_forward(payload, port))
            caller.connection.send_ping(1)
            for payload in caller.take_datagrams(world.now):
                task.deliver(make_forward(payload, 1))
            nursery.start_soon(task.run)
            while order.count("first") < reconnecting:
                await task.commands.send(Nothing())
            nursery.cancel_scope.cancel()

    run(scenario, clock=MockClock(autojump_threshold=0))
    assert order.index("open") <= 1


def test_waiting_first_datagrams_are_bounded(tmp_path):
    """First datagrams beyond the bound are dropped and counted."""
    world = FlowWorld(tmp_path)
    task = FlowTask(
        engine=world.engine,
        send=lambda sends: None,
        on_request=lambda stream: None,
        sink=world.sink,
    )

    async def scenario() -> None:
        payload = world.add_caller().take_datagrams(world.now)[0]
        for port in range(QUEUE_FIRSTS + 5):
            task.deliver(make_forward(payload, port + 1))

    run(scenario)
    assert len(task.firsts) == QUEUE_FIRSTS
    assert world.dropped("handshake-queue-full") == 5


class Nothing:
    """A command that only wakes the task."""

    def apply(self, engine, now) -> None:
        """Do nothing."""
