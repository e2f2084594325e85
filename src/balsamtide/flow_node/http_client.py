"""HTTP client of the platform's store for trio tasks."""

from socket import IPPROTO_TCP, TCP_NODELAY

from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    SocketStream,
    TooSlowError,
    aclose_forcefully,
    current_time,
    fail_after,
)
from trio.socket import SOCK_STREAM, socket

from balsamtide.fleet.store import StoreError
from balsamtide.flow_node.http import HttpResponse, PersistentHttpClient
from balsamtide.flow_node.http_connection import HttpConnection

__all__ = ["HttpClient"]

READ_BYTES = 65_536


class HttpClient(PersistentHttpClient):
    """Sends requests on one persistent connection; a failed request closes it.

    Parameters
    ----------
    address : tuple of (str, int)
        Address of the server.
    timeout_s : float
        Longest time without a byte of the response, in addition to the time that the
        server may hold the request.  A slow link may take longer for all of it.
    """

    def __init__(self, address: tuple[str, int], *, timeout_s: float) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self.stream: SocketStream | None = None
        self.connection = self._new_connection()

    def _new_connection(self) -> HttpConnection:
        return HttpConnection(f"{self.address[0]}:{self.address[1]}")

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open for the next request."""
        return self.stream is not None

    async def _exchange(self, path: str, wait_s: float) -> HttpResponse:
        keep_open = False
        try:
            with fail_after(self.timeout_s + wait_s) as scope:
                response = await self._call(path, scope)
            keep_open = self.connection.is_reusable
            return response
        except TooSlowError as error:
            raise StoreError(
                f"no response from {self.connection.host} "
                f"for {self.timeout_s + wait_s:g} s"
            ) from error
        except (OSError, BrokenResourceError, ClosedResourceError) as error:
            reason = f"{type(error).__name__}: {error}"
            raise self.connection.failure(reason) from error
        finally:
            if not keep_open:
                await self.close()

    async def close(self) -> None:
        """Close the connection, if one is open."""
        if self.stream is not None:
            stream, self.stream = self.stream, None
            await aclose_forcefully(stream)

    async def _call(self, path: str, scope: CancelScope) -> HttpResponse:
        if self.stream is None:
            self.connection = self._new_connection()
            self.stream = await self._connect()
        await self.stream.send_all(self.connection.request(path))
        response = None
        while response is None:
            data = await self.stream.receive_some(READ_BYTES)
            response = self.connection.receive(data)
            scope.deadline = max(scope.deadline, current_time() + self.timeout_s)
        return response

    async def _connect(self) -> SocketStream:
        connection_socket = socket(type=SOCK_STREAM)
        try:
            connection_socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            await connection_socket.connect(self.address)
        except BaseException:
            connection_socket.close()
            raise
        return SocketStream(connection_socket)
