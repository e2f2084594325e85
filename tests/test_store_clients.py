"""Tests of the HTTP clients of the store against servers that end connections."""

from collections.abc import Iterator
from contextlib import contextmanager, suppress
from select import poll
from socket import SO_LINGER, SOL_SOCKET, create_server
from socket import socket as Socket
from struct import pack
from threading import Thread

import pytest
from trio import run

from balsamtide.fleet.store import StoreError
from balsamtide.flow_node.http import HttpResponse
from balsamtide.flow_node.http_client import HttpClient
from balsamtide.flow_node.startup_client import StartupClient

TIMEOUT_S = 5.0
READ_BYTES = 4096
ANSWER = HttpResponse(200, b"ok")
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
# Sent before a connection is closed.
RESPONSES = {
    "announced": HEAD + b"Connection: close\r\n\r\nok",
    "http-1.0": b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "http-1.0-without-length": b"HTTP/1.0 200 OK\r\n\r\nok",
    "unannounced": HEAD + b"\r\nok",
}


class ClosingServer:
    """Server that answers one request on each connection and then closes it.

    The connections of the first requests, as many as ``resets``, are reset instead.
    """

    def __init__(self, response: bytes, *, resets: int = 0) -> None:
        self.response = response
        self.resets = resets
        self.requests = 0
        self.listener = create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        Thread(target=self.serve, daemon=True).start()

    def serve(self) -> None:
        """Serve connections one after another until the listener is closed."""
        with suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self.serve_one(connection)

    def serve_one(self, connection: Socket) -> None:
        """Answer one request, or reset the connection instead."""
        with connection, suppress(OSError):
            connection.settimeout(TIMEOUT_S)
            if connection.recv(READ_BYTES):
                self.requests += 1
                if self.requests <= self.resets:
                    connection.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
                    return
                connection.sendall(self.response)


@contextmanager
def serving(response: bytes, **options: int) -> Iterator[ClosingServer]:
    """Run a server for the time of a test."""
    server = ClosingServer(response, **options)
    try:
        yield server
    finally:
        server.listener.close()


def get_at_startup(address: tuple[str, int], count: int) -> list[HttpResponse]:
    """Send requests with the client that runs before trio is imported."""
    client = StartupClient(address)

    async def get_all() -> list[HttpResponse]:
        return [await client.get("/") for _ in range(count)]

    coroutine = get_all()
    try:
        while True:
            wait = coroutine.send(None)
            poller = poll()
            poller.register(wait.descriptor, wait.events)
            assert poller.poll(TIMEOUT_S * 1000)
    except StopIteration as end:
        return end.value
    finally:
        client.close()


def get_with_trio(address: tuple[str, int], count: int) -> list[HttpResponse]:
    """Send requests with the client of the trio tasks."""

    async def get_all() -> list[HttpResponse]:
        client = HttpClient(address, timeout_s=TIMEOUT_S)
        try:
            return [await client.get("/") for _ in range(count)]
        finally:
            await client.close()

    return run(get_all)


CLIENTS = {"startup": get_at_startup, "trio": get_with_trio}


@pytest.mark.parametrize("get", CLIENTS.values(), ids=CLIENTS)
@pytest.mark.parametrize("response", RESPONSES.values(), ids=RESPONSES)
def test_requests_go_on_after_the_server_closed_the_connection(get, response):
    """A server may close its connection after each response, announced or not."""
    with serving(response) as server:
        assert get(server.address, 3) == [ANSWER] * 3
        assert server.requests == 3


@pytest.mark.parametrize("get", CLIENTS.values(), ids=CLIENTS)
def test_request_on_a_fresh_connection_is_not_repeated(get):
    """A server that resets fresh connections gets each request once."""
    with (
        serving(RESPONSES["unannounced"], resets=1) as server,
        pytest.raises(StoreError),
    ):
        get(server.address, 1)
    assert server.requests == 1
