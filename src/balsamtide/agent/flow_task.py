"""Task that owns the flow engine."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from trio import (
    Event,
    WouldBlock,
    current_time,
    move_on_at,
    open_memory_channel,
    open_nursery,
)
from trio.lowlevel import checkpoint

from balsamtide.agent.flow_engine import FlowEngine
from balsamtide.agent.flow_events import (
    AnswerWritable,
    BodyReceived,
    FlowClosed,
    FlowEvent,
    RequestCancelled,
    RequestOpened,
    StreamKey,
)
from balsamtide.agent.metrics import DATAGRAMS_DROPPED
from balsamtide.agent.request_stream import RequestStream
from balsamtide.protocol.actions import Send
from balsamtide.protocol.messages import Forward
from balsamtide.requests.runner import Header
from balsamtide.telemetry.sink import Sink

__all__ = ["FlowTask"]

QUEUE_ITEMS = 8192
# Initials queued beyond this would be answered too late to be useful.
MAX_QUEUED_INITIALS = 256
MAX_BATCH_ITEMS = 256
TIMER_STEP_S = 0.001


class Command(Protocol):
    """Command to the flow engine."""

    def apply(self, engine: FlowEngine, now: float) -> None:
        """Apply the command."""


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Send the status and headers of an answer."""

    key: StreamKey
    headers: tuple[Header, ...]
    is_ended: bool

    def apply(self, engine: FlowEngine, now: float) -> None:
        """Apply the command."""
        engine.start_answer(self.key, self.headers, is_ended=self.is_ended)


@dataclass(frozen=True, slots=True)
class WriteAnswer:
    """Send a chunk of an answer; unless it is the last, report ``AnswerWritable``."""

    key: StreamKey
    data: bytes
    is_ended: bool

    def apply(self, engine: FlowEngine, now: float) -> None:
        """Apply the command."""
        engine.write_answer(self.key, self.data, is_ended=self.is_ended)
        if not self.is_ended:
            engine.notify_when_writable(self.key, now)


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Remove a request; reset its stream if the answer is incomplete."""

    key: StreamKey
    is_aborted: bool

    def apply(self, engine: FlowEngine, now: float) -> None:
        """Apply the command."""
        if self.is_aborted:
            engine.abort(self.key)
        engine.finish(self.key)


@dataclass(frozen=True, slots=True)
class ResumeBody:
    """Resume a paused request body."""

    key: StreamKey

    def apply(self, engine: FlowEngine, now: float) -> None:
        """Apply the command."""
        engine.set_body_paused(self.key, is_paused=False)


@dataclass(frozen=True, slots=True)
class Drain:
    """Accept no new flows and send GOAWAY on the open ones."""

    def apply(self, engine: FlowEngine, now: float) -> None:
        """Apply the command."""
        engine.drain()


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle flows that were sent GOAWAY."""

    idle_s: float

    def apply(self, engine: FlowEngine, now: float) -> None:
        """Apply the command."""
        engine.close_idle(now, idle_s=self.idle_s)


@dataclass(frozen=True, slots=True)
class CloseAll:
    """Close all flows."""

    def apply(self, engine: FlowEngine, now: float) -> None:
        """Apply the command."""
        engine.close_all()


class FlowTask:
    """Drives the flow engine and passes its events to request handlers.

    Parameters
    ----------
    engine : FlowEngine
        Engine whose flows only this task may change.
    send : callable
        Sends messages to balancers and peers.
    on_request : callable
        Starts the handler of a new request.
    sink : Sink
        Receives metrics.
    """

    def __init__(
        self,
        *,
        engine: FlowEngine,
        send: Callable[[list[Send]], None],
        on_request: Callable[[RequestStream], None],
        sink: Sink,
    ) -> None:
        self.engine = engine
        self.send = send
        self.on_request = on_request
        self.sink = sink
        self.streams: dict[int, dict[int, RequestStream]] = {}
        self.commands, self.inbox = open_memory_channel[Command | Forward](QUEUE_ITEMS)
        self.initials: deque[Forward] = deque()
        self.initials_queued = Event()

    # Interface for other tasks

    def deliver(self, forward: Forward) -> None:
        """Queue a datagram; drop it if the queue is full."""
        if self.engine.opens_flow(forward):
            self._queue_initial(forward)
            return
        try:
            self.commands.send_nowait(forward)
        except WouldBlock:
            self.sink.count(DATAGRAMS_DROPPED, reason="queue-full")

    def _queue_initial(self, forward: Forward) -> None:
        if len(self.initials) >= MAX_QUEUED_INITIALS:
            self.sink.count(DATAGRAMS_DROPPED, reason="handshake-queue-full")
            return
        self.initials.append(forward)
        self.initials_queued.set()

    async def start_answer(
        self, key: StreamKey, headers: tuple[Header, ...], *, is_ended: bool
    ) -> None:
        """Send the status and headers of an answer."""
        await self.commands.send(StartAnswer(key, headers, is_ended))

    async def write_answer(
        self, stream: RequestStream, data: bytes, *, is_ended: bool
    ) -> None:
        """Send a chunk of an answer; return once there is room for more.

        Returns at once if the caller has cancelled the request.
        """
        if stream.is_cancelled_by_caller:
            return
        stream.writable = Event()
        await self.commands.send(WriteAnswer(stream.key, data, is_ended))
        if not is_ended:
            await stream.writable.wait()

    async def finish(self, key: StreamKey, *, is_aborted: bool) -> None:
        """Remove a request; reset its stream if ``is_aborted``."""
        await self.commands.send(FinishRequest(key, is_aborted))

    async def resume_body(self, key: StreamKey) -> None:
        """Resume a paused request body."""
        await self.commands.send(ResumeBody(key))

    async def drain(self) -> None:
        """Accept no new flows and send GOAWAY on the open ones."""
        await self.commands.send(Drain())

    async def close_idle(self, *, idle_s: float) -> None:
        """Close idle flows that were sent GOAWAY."""
        await self.commands.send(CloseIdle(idle_s))

    async def close_all(self) -> None:
        """Close all flows."""
        await self.commands.send(CloseAll())

    # Main loop

    async def run(self) -> None:
        """Run until cancelled."""
        async with open_nursery() as nursery:
            nursery.start_soon(self._process_initials)
            await self._serve()

    async def _serve(self) -> None:
        while True:
            # A deadline in the past would cancel ``receive`` before it reads anything.
            wake_at = max(self.engine.deadline, current_time() + TIMER_STEP_S)
            with move_on_at(wake_at):
                self._apply(await self.inbox.receive(), current_time())
                self._apply_waiting()
            self._advance()

    async def _process_initials(self) -> None:
        """Process one Initial per checkpoint, so that open flows are served too."""
        while True:
            await self.initials_queued.wait()
            while self.initials:
                self.engine.receive(self.initials.popleft(), current_time())
                self._advance()
                await checkpoint()
            self.initials_queued = Event()

    def _advance(self) -> None:
        now = current_time()
        self.engine.tick(now)
        self._flush(now)

    def _apply_waiting(self) -> None:
        now = current_time()
        for _ in range(MAX_BATCH_ITEMS):
            try:
                item = self.inbox.receive_nowait()
            except WouldBlock:
                return
            self._apply(item, now)

    def _apply(self, item: Command | Forward, now: float) -> None:
        if isinstance(item, Forward):
            self.engine.receive(item, now)
            return
        item.apply(self.engine, now)
        if isinstance(item, FinishRequest):
            self._remove_stream(item.key)

    def _flush(self, now: float) -> None:
        events, outgoing = self.engine.flush(now)
        self.send(outgoing)
        for event in events:
            self._handle_event(event, now)

    def _handle_event(self, event: FlowEvent, now: float) -> None:
        if isinstance(event, RequestOpened):
            stream = RequestStream(event, now)
            self.streams.setdefault(event.key.flow, {})[event.key.stream] = stream
            self.on_request(stream)
        elif isinstance(event, FlowClosed):
            self._cancel_flow(event.flow)
        else:
            self._notify_stream(event)

    def _notify_stream(
        self, event: BodyReceived | RequestCancelled | AnswerWritable
    ) -> None:
        stream = self.streams.get(event.key.flow, {}).get(event.key.stream)
        if stream is None:
            return
        if isinstance(event, BodyReceived):
            if stream.add_body(event.data, is_ended=event.is_ended):
                self.engine.set_body_paused(event.key, is_paused=True)
        elif isinstance(event, RequestCancelled):
            stream.cancel()
        else:
            stream.loss_stall_s += event.lossy_s
            stream.writable.set()

    def _cancel_flow(self, flow: int) -> None:
        for stream in list(self.streams.get(flow, {}).values()):
            stream.cancel()

    def _remove_stream(self, key: StreamKey) -> None:
        streams = self.streams.get(key.flow)
        if streams is None:
            return
        streams.pop(key.stream, None)
        if not streams:
            del self.streams[key.flow]
