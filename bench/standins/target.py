"""A stand-in for a target: an HTTP/1.1 server with slots and a record of its own."""

from collections import Counter
from dataclasses import dataclass, field
from functools import partial

from h11 import (
    NEED_DATA,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    ProtocolError,
    Request,
    Response,
)
from trio import (
    TASK_STATUS_IGNORED,
    BrokenResourceError,
    CapacityLimiter,
    ClosedResourceError,
    SocketListener,
    SocketStream,
    TaskStatus,
    current_time,
    open_tcp_listeners,
    serve_listeners,
    sleep,
)

__all__ = ["StandInTarget", "TargetRecord"]

READ_BYTES = 65_536


@dataclass(slots=True)
class TargetRecord:
    """What all targets of one service ran, from their own point of view."""

    keys: Counter[str] = field(default_factory=Counter)
    paths: Counter[str] = field(default_factory=Counter)
    foreign: int = 0


class StandInTarget:
    """Serves the paths of its service.

    ``GET /short`` and ``POST /mark`` take ``short_s`` of a slot; ``GET /long`` streams
    ``long_parts`` parts and holds a slot; ``GET /watch?n=N`` streams N parts without
    a slot.

    Parameters
    ----------
    service : str
        Name of the service it belongs to.
    slots : int
        Requests that it runs at a time.
    record : TargetRecord
        Shared by the targets of a service.
    short_s, long_s, part_s : float
        Service times and pause between parts, seconds.
    """

    def __init__(
        self,
        service: str,
        *,
        slots: int,
        record: TargetRecord,
        short_s: float = 0.004,
        long_s: float = 0.4,
        part_s: float = 0.05,
    ) -> None:
        self.service = service
        self.record = record
        self.limiter = CapacityLimiter(slots)
        self.short_s = short_s
        self.long_s = long_s
        self.part_s = part_s
        self.is_silent = False
        self.last_started = 0.0
        self.port = 0

    async def run(
        self, host: str, *, task_status: TaskStatus[int] = TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; reports the port."""
        listeners: list[SocketListener] = await open_tcp_listeners(0, host=host)
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started(self.port)
        await serve_listeners(self._serve, listeners)

    async def _serve(self, stream: SocketStream) -> None:
        http = Connection(our_role=SERVER)
        try:
            while await self._serve_one(stream, http):
                http.start_next_cycle()
        except (BrokenResourceError, ClosedResourceError, ProtocolError):
            pass
        finally:
            await stream.aclose()

    async def _serve_one(self, stream: SocketStream, http: Connection) -> bool:
        request, body = await self._read(stream, http)
        if request is None:
            return False
        while self.is_silent:
            await sleep(0.1)
        self.last_started = current_time()
        path = request.target.decode()
        headers = dict(request.headers)
        self.record.paths[path.split("?")[0]] += 1
        expected = headers.get(b"x-service", self.service.encode()).decode()
        if expected != self.service:
            self.record.foreign += 1
        send = partial(self._send, stream, http)
        if path.startswith("/mark"):
            async with self.limiter:
                self.record.keys[headers[b"idempotency-key"].decode()] += 1
                await sleep(self.short_s)
            await self._answer(send, body)
        elif path.startswith("/long"):
            async with self.limiter:
                await self._stream(send, 8, self.long_s / 8)
        elif path.startswith("/watch"):
            await self._stream(send, int(path.split("n=")[1]), self.part_s)
        else:
            async with self.limiter:
                await sleep(self.short_s)
            await self._answer(send, path.encode() + b"|" + body)
        return http.our_state is http.their_state

    async def _read(
        self, stream: SocketStream, http: Connection
    ) -> tuple[Request | None, bytes]:
        request = None
        body = bytearray()
        while True:
            event = http.next_event()
            if event is NEED_DATA:
                http.receive_data(await stream.receive_some(READ_BYTES))
            elif isinstance(event, Request):
                request = event
            elif isinstance(event, Data):
                body += event.data
            elif isinstance(event, EndOfMessage):
                return request, bytes(body)
            elif isinstance(event, ConnectionClosed):
                return None, b""

    @staticmethod
    async def _send(stream: SocketStream, http: Connection, event) -> None:
        octets = http.send(event)
        if octets:
            await stream.send_all(octets)

    @staticmethod
    async def _answer(send, body: bytes) -> None:
        length = str(len(body)).encode()
        headers = [(b"content-length", length), (b"content-type", b"text/plain")]
        await send(Response(status_code=200, headers=headers))
        await send(Data(data=body))
        await send(EndOfMessage())

    @staticmethod
    async def _stream(send, parts: int, pause_s: float) -> None:
        headers = [(b"transfer-encoding", b"chunked")]
        await send(Response(status_code=200, headers=headers))
        for number in range(parts):
            await sleep(pause_s)
            await send(Data(data=f"part {number}\n".encode()))
        await send(EndOfMessage())
