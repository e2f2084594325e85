"""The task that owns one caller flow and its socket."""

from dataclasses import dataclass
from typing import Protocol

from aioquic.quic.configuration import QuicConfiguration
from trio import (
    Event,
    MemoryReceiveChannel,
    MemorySendChannel,
    current_time,
    move_on_at,
    open_memory_channel,
    open_nursery,
)

from balsamtide.caller.flow import (
    AnswerPart,
    AnswerStarted,
    CallerFlow,
    FlowEnded,
    FlowOpened,
    RequestRejected,
    StreamBroken,
)
from balsamtide.protocol.messages import Endpoint
from balsamtide.requests.runner import Header
from balsamtide.transport.datagram_socket import DatagramSocket, Received

__all__ = ["CallerFlowTask", "PendingRequest", "StreamEvent"]

QUEUE_ITEMS = 1024
TIMER_STEP_S = 0.001

StreamEvent = AnswerStarted | AnswerPart | RequestRejected | StreamBroken | FlowEnded


@dataclass(slots=True)
class PendingRequest:
    """A request on this flow and the channel of what happens to it."""

    events: MemoryReceiveChannel[StreamEvent]
    stream: int | None = None


class Command(Protocol):
    """Something to do on the flow."""

    def apply(self, task: "CallerFlowTask") -> None:
        """Do it."""


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """Send a request."""

    pending: PendingRequest
    sink: MemorySendChannel[StreamEvent]
    headers: tuple[Header, ...]
    body: bytes

    def apply(self, task: "CallerFlowTask") -> None:
        """Do it."""
        if task.flow.is_going_away:
            self.sink.send_nowait(RequestRejected(-1))
            return
        stream = task.flow.open_request(self.headers, self.body)
        self.pending.stream = stream
        task.sinks[stream] = self.sink


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Give a request up."""

    pending: PendingRequest

    def apply(self, task: "CallerFlowTask") -> None:
        """Do it."""
        if self.pending.stream is not None:
            task.sinks.pop(self.pending.stream, None)
            task.flow.cancel(self.pending.stream)


@dataclass(frozen=True, slots=True)
class CloseFlow:
    """Close the flow."""

    def apply(self, task: "CallerFlowTask") -> None:
        """Do it."""
        task.flow.close()


@dataclass(frozen=True, slots=True)
class TakeDatagrams:
    """Feed what the socket received."""

    batch: list[Received]

    def apply(self, task: "CallerFlowTask") -> None:
        """Do it."""
        now = current_time()
        for datagram, source in self.batch:
            task.flow.receive(datagram, source, now)


class CallerFlowTask:
    """Runs one flow.

    Parameters
    ----------
    configuration : QuicConfiguration
        Of the flow.
    remote : Endpoint
        Service address.
    """

    def __init__(self, configuration: QuicConfiguration, remote: Endpoint) -> None:
        host = "::1" if ":" in remote.host else "0.0.0.0"
        self.socket = DatagramSocket(Endpoint(host, 0))
        self.remote = (remote.host, remote.port)
        self.flow = CallerFlow(configuration, remote, current_time())
        self.sinks: dict[int, MemorySendChannel[StreamEvent]] = {}
        self.commands, self.inbox = open_memory_channel[Command](QUEUE_ITEMS)
        self.opened = Event()
        self.ended = Event()
        self.end_reason = ""

    # Called by other tasks

    async def open_request(
        self, headers: tuple[Header, ...], body: bytes
    ) -> PendingRequest:
        """Send a request; its events arrive on the returned channel."""
        sink, events = open_memory_channel[StreamEvent](float("inf"))
        pending = PendingRequest(events)
        if self.ended.is_set():
            sink.send_nowait(RequestRejected(-1))
            return pending
        await self.commands.send(OpenRequest(pending, sink, headers, body))
        return pending

    def cancel_request(self, pending: PendingRequest) -> None:
        """Give a request up; never blocks."""
        if not self.ended.is_set():
            self._apply(CancelRequest(pending))
            self._transmit()

    async def close(self) -> None:
        """Close the flow."""
        if not self.ended.is_set():
            await self.commands.send(CloseFlow())

    # The task

    async def run(self) -> None:
        """Run until the flow ends."""
        with self.socket:
            async with open_nursery() as nursery:
                nursery.start_soon(self._receive)
                await self._drive()
                nursery.cancel_scope.cancel()

    async def _receive(self) -> None:
        while True:
            await self.commands.send(TakeDatagrams(await self.socket.receive()))

    async def _drive(self) -> None:
        self._transmit()
        while not self.ended.is_set():
            wake_at = max(self.flow.deadline, current_time() + TIMER_STEP_S)
            with move_on_at(wake_at):
                self._apply(await self.inbox.receive())
            self.flow.tick(current_time())
            self._transmit()

    def _apply(self, command: Command) -> None:
        command.apply(self)

    def _transmit(self) -> None:
        for datagram in self.flow.take_datagrams(current_time()):
            self.socket.send(datagram, self.remote)
        for event in self.flow.take_events():
            self._publish(event)

    def _publish(self, event: StreamEvent | FlowOpened) -> None:
        if isinstance(event, FlowOpened):
            self.opened.set()
        elif isinstance(event, FlowEnded):
            self._finish(event)
        else:
            sink = self.sinks.get(event.stream)
            if sink is not None:
                sink.send_nowait(event)

    def _finish(self, event: FlowEnded) -> None:
        self.end_reason = event.reason
        self.ended.set()
        for sink in self.sinks.values():
            sink.send_nowait(event)
        self.sinks.clear()
