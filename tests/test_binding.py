"""Tests of sockets whose addresses are in use."""

from contextlib import contextmanager
from functools import partial
from math import inf
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM
from socket import socket as Socket
from threading import Timer

import pytest
from trio import SocketStream, open_nursery, open_tcp_stream, run, sleep

from balsamtide.flow_node.binding import (
    MAX_DELAY_S,
    MIN_DELAY_S,
    BindRetry,
    SocketBinder,
    StopRequestedError,
)
from balsamtide.flow_node.events import ADDRESS_UNAVAILABLE
from balsamtide.flow_node.listener import serve_connections
from balsamtide.flow_node.metrics import BIND_FAILURES
from balsamtide.telemetry.memory_sink import MemorySink
from bench.standins.ports import free_port

HOST = "127.0.0.1"
HELD_S = 0.3


class FlushedSink(MemorySink):
    """Memory sink that can be flushed like that of a daemon."""

    def flush(self) -> None:
        """Do nothing."""


@contextmanager
def held_address(kind=SOCK_DGRAM):
    """Yield an address that a socket holds, and the socket."""
    with Socket(AF_INET, kind) as socket:
        socket.bind((HOST, free_port()))
        if kind != SOCK_DGRAM:
            socket.listen()
        yield socket.getsockname(), socket


def test_socket_is_bound_once_its_address_is_free():
    """A UDP address that is in use at first is bound when it is free."""
    sink = FlushedSink()
    binder = SocketBinder(sink, stop_requested_at=lambda: inf)
    with held_address() as (address, holder):
        Timer(HELD_S, holder.close).start()
        with binder.bind(*address) as bound:
            assert bound.address == address
    assert sink.events
    assert all(event is ADDRESS_UNAVAILABLE for event, _ in sink.events)
    assert sink.total(BIND_FAILURES) == len(sink.events)


def test_stop_ends_the_wait_for_an_address():
    """A planned stop is not delayed by an address that stays in use."""
    binder = SocketBinder(FlushedSink(), stop_requested_at=lambda: 5.0)
    with held_address() as (address, _), pytest.raises(StopRequestedError):
        binder.bind(*address)


def test_attempts_are_paced():
    """The delay doubles up to its maximum."""
    retry = BindRetry(HOST, 1, sink=FlushedSink())
    delays = [retry.delay_after(OSError(98, "in use")) for _ in range(8)]
    assert delays[:2] == [MIN_DELAY_S, 2 * MIN_DELAY_S]
    assert delays[-2:] == [MAX_DELAY_S] * 2


def test_listener_serves_once_its_address_is_free():
    """A listener whose address is in use at first ends no task and serves later."""
    sink = FlushedSink()

    async def answer(stream: SocketStream) -> None:
        await stream.send_all(b"ok")

    async def use() -> bytes:
        with held_address(SOCK_STREAM) as (address, holder):
            async with open_nursery() as nursery:
                serve = partial(serve_connections, answer, address, sink=sink)
                nursery.start_soon(serve)
                await sleep(HELD_S)
                holder.close()
                await sleep(2 * MAX_DELAY_S)
                async with await open_tcp_stream(*address) as stream:
                    received = await stream.receive_some()
                nursery.cancel_scope.cancel()
        return received

    assert run(use) == b"ok"
    assert sink.events
    assert all(event is ADDRESS_UNAVAILABLE for event, _ in sink.events)
