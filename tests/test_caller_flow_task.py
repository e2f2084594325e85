"""Tests of the task that owns one client flow."""

from math import inf

import pytest
from aioquic.quic.configuration import QuicConfiguration
from trio import fail_after, open_nursery, run
from trio.testing import MockClock

from balsamtide.caller.flow import FlowEnded, RequestRejected
from balsamtide.caller.flow_task import (
    MAX_QUEUED_COMMANDS,
    CallerFlowTask,
    CloseFlow,
)
from balsamtide.protocol.messages import Endpoint


class EndingFlow:
    """A flow that ends with the first command, as with a peer's close."""

    is_going_away = False
    deadline = inf

    def __init__(self):
        self.events = []

    def close(self):
        """End the flow."""
        self.events.append(FlowEnded("peer"))

    def tick(self, now):
        """Do nothing."""

    def take_datagrams(self, now):
        """Return no datagrams."""
        return []

    def take_events(self):
        """Return the events since the last call."""
        events, self.events = self.events, []
        return events


@pytest.mark.parametrize(
    "queued", [1, 5, MAX_QUEUED_COMMANDS + 5], ids=["one", "some", "full-queue"]
)
def test_request_that_was_queued_when_its_flow_ended_is_rejected(queued):
    """A request behind the end of its flow was not sent, and is told so at once."""

    async def scenario():
        configuration = QuicConfiguration(is_client=True)
        task = CallerFlowTask(configuration, Endpoint("127.0.0.1", 1))
        task.flow = EndingFlow()
        await task.commands.send(CloseFlow())
        rejected = []

        async def send_request():
            pending = await task.open_request((), b"")
            rejected.append(await pending.events.receive())

        with fail_after(1.0):
            async with open_nursery() as nursery:
                for _ in range(queued):
                    nursery.start_soon(send_request)
                nursery.start_soon(task.run)
        assert len(rejected) == queued
        assert all(isinstance(event, RequestRejected) for event in rejected)

    run(scenario, clock=MockClock(autojump_threshold=0.01))


def test_flow_that_ended_can_be_closed():
    """Closing a flow that ends at the same time raises nothing."""

    async def scenario():
        configuration = QuicConfiguration(is_client=True)
        task = CallerFlowTask(configuration, Endpoint("127.0.0.1", 1))
        task.flow = EndingFlow()
        with fail_after(1.0):
            async with open_nursery() as nursery:
                for _ in range(MAX_QUEUED_COMMANDS + 5):
                    nursery.start_soon(task.close)
                nursery.start_soon(task.run)

    run(scenario, clock=MockClock(autojump_threshold=0.01))
