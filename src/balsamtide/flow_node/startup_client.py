"""HTTP client of the platform's store that runs before trio is imported.

Its coroutines are driven by `StartupLoop`; see there why the startup can't wait for
trio.
"""

from collections.abc import Generator
from errno import EINPROGRESS
from os import strerror
from select import POLLIN, POLLOUT
from socket import AF_INET, SO_ERROR, SOCK_STREAM, SOL_SOCKET
from socket import socket as Socket

from balsamtide.fleet.store import StoreError
from balsamtide.flow_node.http import HttpResponse, PersistentHttpClient

__all__ = ["SocketWait", "StartupClient"]

READ_BYTES = 65_536


class SocketWait:
    """Awaitable that suspends a coroutine until its socket is ready.

    Parameters
    ----------
    descriptor : int
        File descriptor of the socket.
    events : int
        ``POLLIN`` or ``POLLOUT``.
    """

    def __init__(self, descriptor: int, events: int) -> None:
        self.descriptor = descriptor
        self.events = events

    def __await__(self) -> Generator["SocketWait", None, None]:
        """Yield this object to the loop that drives the coroutine."""
        yield self


class StartupClient(PersistentHttpClient):
    """Sends requests on one connection; `StartupLoop` enforces the deadline.

    Parameters
    ----------
    address : tuple of (str, int)
        Address of the server.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.socket: Socket | None = None

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open for the next request."""
        return self.socket is not None

    async def _exchange(self, path: str, wait_s: float) -> HttpResponse:
        """Send one request; ``wait_s`` is ignored."""
        keep_open = False
        try:
            if self.socket is None:
                await self._connect()
            response = await self._call(path)
            keep_open = self.connection.is_reusable
            return response
        except OSError as error:
            reason = f"{type(error).__name__}: {error}"
            raise self.connection.failure(reason) from error
        finally:
            if not keep_open:
                self.close()

    async def _connect(self) -> None:
        # Most processes get their view from a peer and need no HTTP before they serve.
        from balsamtide.flow_node.http_connection import HttpConnection

        self.connection = HttpConnection(f"{self.address[0]}:{self.address[1]}")
        self.socket = Socket(AF_INET, SOCK_STREAM)
        self.socket.setblocking(False)
        error_number = self.socket.connect_ex(self.address)
        if error_number == EINPROGRESS:
            await SocketWait(self.socket.fileno(), POLLOUT)
            error_number = self.socket.getsockopt(SOL_SOCKET, SO_ERROR)
        if error_number:
            raise OSError(error_number, strerror(error_number))

    async def _call(self, path: str) -> HttpResponse:
        if self.socket is None:
            raise StoreError("the connection is not open")
        # A request fits into any send buffer, so that `sendall` does not block.
        self.socket.sendall(self.connection.request(path))
        response = None
        while response is None:
            await SocketWait(self.socket.fileno(), POLLIN)
            response = self.connection.receive(self.socket.recv(READ_BYTES))
        return response

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None
