"""Calls of the platform's store before trio is loaded, as steps of a plain loop."""

from collections.abc import Generator
from errno import EINPROGRESS
from os import strerror
from select import POLLIN, POLLOUT
from socket import AF_INET, SO_ERROR, SOCK_STREAM, SOL_SOCKET
from socket import socket as Socket

from balsamtide.fleet.store import StoreError
from balsamtide.flow_node.http import HttpAnswer, HttpCaller, HttpExchange

__all__ = ["StartupClient", "SocketWait"]

READ_BYTES = 65_536


class SocketWait:
    """What a coroutine awaits from the loop that drives it.

    Parameters
    ----------
    descriptor : int
        The socket.
    events : int
        ``POLLIN`` or ``POLLOUT``.
    """

    def __init__(self, descriptor: int, events: int) -> None:
        self.descriptor = descriptor
        self.events = events

    def __await__(self) -> Generator["SocketWait", None, None]:
        """Hand this object to the loop."""
        yield self


class StartupClient(HttpCaller):
    """Makes a few calls on one connection; the loop ends it at a deadline.

    Parameters
    ----------
    address : tuple of (str, int)
        Address of the server.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.socket: Socket | None = None
        self.exchange = HttpExchange(f"{address[0]}:{address[1]}")

    async def get(self, target: str, *, wait_s: float = 0.0) -> HttpAnswer:
        """Make a GET request.

        Raises
        ------
        StoreError
            If there is no whole answer.
        """
        try:
            if self.socket is None:
                await self._connect()
            return await self._call(target)
        except OSError as error:
            raise StoreError(f"{type(error).__name__}: {error}") from error

    async def _connect(self) -> None:
        self.socket = Socket(AF_INET, SOCK_STREAM)
        self.socket.setblocking(False)
        fault = self.socket.connect_ex(self.address)
        if fault == EINPROGRESS:
            await SocketWait(self.socket.fileno(), POLLOUT)
            fault = self.socket.getsockopt(SOL_SOCKET, SO_ERROR)
        if fault:
            raise OSError(fault, strerror(fault))

    async def _call(self, target: str) -> HttpAnswer:
        if self.socket is None:
            raise StoreError("the connection is closed")
        # A request is shorter than any send buffer.
        self.socket.sendall(self.exchange.request(target))
        answer = None
        while answer is None:
            await SocketWait(self.socket.fileno(), POLLIN)
            answer = self.exchange.receive(self.socket.recv(READ_BYTES))
        return answer

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None
