"""Minimal HTTP/1.1 server for readiness and metrics."""

from collections.abc import Callable
from dataclasses import dataclass

from h11 import (
    DONE,
    NEED_DATA,
    PAUSED,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    ProtocolError,
    Request,
    Response,
)
from trio import BrokenResourceError, SocketStream, move_on_after

__all__ = ["HttpServer", "ServerResponse"]

READ_BYTES = 4096
# Connections that send nothing for this long are closed.
IDLE_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """Status code, body and content type of a response."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


class HttpServer:
    """Serves requests one after another on each connection.

    Parameters
    ----------
    respond : callable
        Returns the response for the path of a request.
    """

    def __init__(self, respond: Callable[[str], ServerResponse]) -> None:
        self.respond = respond

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection until it is closed."""
        connection = Connection(SERVER)
        try:
            while await self._serve_request(connection, stream):
                connection.start_next_cycle()
        except (BrokenResourceError, ProtocolError):
            # The client disconnected or sent invalid HTTP; no response is needed.
            pass
        finally:
            # Close without waiting for the client.
            with move_on_after(0):
                await stream.aclose()

    async def _serve_request(
        self, connection: Connection, stream: SocketStream
    ) -> bool:
        path = ""
        while True:
            event = connection.next_event()
            if event is NEED_DATA:
                with move_on_after(IDLE_TIMEOUT_S) as scope:
                    connection.receive_data(await stream.receive_some(READ_BYTES))
                if scope.cancelled_caught:
                    return False
            elif isinstance(event, Request):
                path = event.target.decode("ascii", "replace")
            elif isinstance(event, EndOfMessage):
                break
            elif isinstance(event, ConnectionClosed) or event is PAUSED:
                return False
        await self._send_response(connection, stream, self.respond(path))
        return connection.our_state is connection.their_state is DONE

    async def _send_response(
        self, connection: Connection, stream: SocketStream, response: ServerResponse
    ) -> None:
        head = Response(
            status_code=response.status,
            headers=[
                ("Content-Type", response.content_type),
                ("Content-Length", str(len(response.body))),
            ],
        )
        events = (head, Data(data=response.body), EndOfMessage())
        await stream.send_all(b"".join(connection.send(e) or b"" for e in events))
