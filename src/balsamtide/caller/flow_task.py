"""Task that owns one client flow and its socket."""

from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol

from aioquic.quic.configuration import QuicConfiguration
from trio import (
    BrokenResourceError,
    Event,
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
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

MAX_QUEUED_COMMANDS = 1024
MIN_TIMER_WAIT_S = 0.001
NO_STREAM = -1

StreamEvent = AnswerStarted | AnswerPart | RequestRejected | StreamBroken | FlowEnded


@dataclass(slots=True)
class PendingRequest:
    """A request on a flow, and the channel of its events."""

    events: MemoryReceiveChannel[StreamEvent]
    stream: int | None = None


class Command(Protocol):
    """An operation on the flow, applied by its task."""

    def apply(self, task: "CallerFlowTask") -> None:
        """Run the operation on the flow of ``task``."""


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """Sends a request."""

    pending: PendingRequest
    event_sender: MemorySendChannel[StreamEvent]
    headers: tuple[Header, ...]
    body: bytes

    def apply(self, task: "CallerFlowTask") -> None:
        """Send the request, or report it as rejected if the flow takes no more."""
        if task.flow.is_going_away:
            self.reject()
            return
        stream = task.flow.open_request(self.headers, self.body)
        self.pending.stream = stream
        task.event_senders[stream] = self.event_sender

    def reject(self) -> None:
        """Report the request as rejected: it was not sent."""
        self.event_sender.send_nowait(RequestRejected(NO_STREAM))


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancels a request."""

    pending: PendingRequest

    def apply(self, task: "CallerFlowTask") -> None:
        """Cancel the request; one that is still queued is sent all the same."""
        if self.pending.stream is not None:
            task.event_senders.pop(self.pending.stream, None)
            task.flow.cancel_request(self.pending.stream)


@dataclass(frozen=True, slots=True)
class CloseFlow:
    """Closes the flow."""

    def apply(self, task: "CallerFlowTask") -> None:
        """Close the flow."""
        task.flow.close()


@dataclass(frozen=True, slots=True)
class ReceiveDatagrams:
    """Passes received datagrams to the flow."""

    batch: list[Received]

    def apply(self, task: "CallerFlowTask") -> None:
        """Pass the datagrams to the flow."""
        now = current_time()
        for datagram, source in self.batch:
            task.flow.receive(datagram, source, now)


class CallerFlowTask:
    """Runs one flow and its socket.

    Parameters
    ----------
    configuration : QuicConfiguration
        QUIC configuration of the flow.
    remote : Endpoint
        Service address.
    """

    def __init__(self, configuration: QuicConfiguration, remote: Endpoint) -> None:
        # An IPv6 flow uses the loopback address, an IPv4 flow any address.
        host = "::1" if ":" in remote.host else "0.0.0.0"
        self.socket = DatagramSocket(Endpoint(host, 0))
        self.remote = (remote.host, remote.port)
        self.flow = CallerFlow(configuration, remote, current_time())
        self.event_senders: dict[int, MemorySendChannel[StreamEvent]] = {}
        self.commands, self.command_receiver = open_memory_channel[Command](
            MAX_QUEUED_COMMANDS
        )
        self.opened = Event()
        self.ended = Event()
        self.end_reason = ""

    # Called from other tasks

    async def open_request(
        self, headers: tuple[Header, ...], body: bytes
    ) -> PendingRequest:
        """Queue a request and return it with the channel of its events."""
        event_sender, events = open_memory_channel[StreamEvent](float("inf"))
        pending = PendingRequest(events)
        request = OpenRequest(pending, event_sender, headers, body)
        try:
            await self.commands.send(request)
        except BrokenResourceError:
            request.reject()
        return pending

    def cancel_request(self, pending: PendingRequest) -> None:
        """Cancel a request at once.

        It does not go through the queue: without a checkpoint no other task can run
        in between.
        """
        if not self.ended.is_set():
            self._apply(CancelRequest(pending))
            self._transmit()

    async def close(self) -> None:
        """Close the flow."""
        with suppress(BrokenResourceError):
            await self.commands.send(CloseFlow())

    # Run by the task of the flow

    async def run(self) -> None:
        """Run until the flow ends."""
        with self.socket:
            async with open_nursery() as nursery:
                nursery.start_soon(self._receive)
                await self._run_commands()
                nursery.cancel_scope.cancel()
        self._reject_queued()

    def _reject_queued(self) -> None:
        """Reject the requests that were queued behind the end of the flow."""
        with self.command_receiver, suppress(WouldBlock):
            while True:
                command = self.command_receiver.receive_nowait()
                if isinstance(command, OpenRequest):
                    command.reject()

    async def _receive(self) -> None:
        while True:
            await self.commands.send(ReceiveDatagrams(await self.socket.receive()))

    async def _run_commands(self) -> None:
        self._transmit()
        while not self.ended.is_set():
            deadline = max(self.flow.deadline, current_time() + MIN_TIMER_WAIT_S)
            with move_on_at(deadline):
                self._apply(await self.command_receiver.receive())
            self.flow.tick(current_time())
            self._transmit()

    def _apply(self, command: Command) -> None:
        command.apply(self)

    def _transmit(self) -> None:
        """Send the datagrams that are due and dispatch the flow's events."""
        for datagram in self.flow.take_datagrams(current_time()):
            self.socket.send(datagram, self.remote)
        for event in self.flow.take_events():
            self._dispatch(event)

    def _dispatch(self, event: StreamEvent | FlowOpened) -> None:
        if isinstance(event, FlowOpened):
            self.opened.set()
        elif isinstance(event, FlowEnded):
            self._end(event)
        else:
            event_sender = self.event_senders.get(event.stream)
            if event_sender is not None:
                event_sender.send_nowait(event)

    def _end(self, event: FlowEnded) -> None:
        self.end_reason = event.reason
        self.ended.set()
        for event_sender in self.event_senders.values():
            event_sender.send_nowait(event)
        self.event_senders.clear()
