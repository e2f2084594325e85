"""Tests of the questions among agents, over real sockets on loopback."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from socket import AF_INET, SOCK_STREAM
from socket import socket as make_socket

import pytest
import trio
from grpclib.server import Server
from httpx import AsyncClient
from msgspec.json import decode
from trio_asyncio import aio_as_trio, open_loop

from balsamtide.protocol.messages import Endpoint
from balsamtide.protocol.rpc import RpcCodec
from balsamtide.telemetry.admin import AdminApplication, serve_admin
from balsamtide.telemetry.events import PEER_SILENT
from balsamtide.telemetry.memory_sink import MemorySink
from balsamtide.telemetry.query_rpc import Peer, PeerQuery, TelemetryService
from balsamtide.telemetry.request_log import RequestLog
from balsamtide.telemetry.status import Status
from balsamtide.telemetry.summary import Summary
from tests.fakes_telemetry import FakeClock, make_record, make_telemetry

DEADLINE_S = 0.3


def make_log(instance: str) -> RequestLog:
    """Return a log with one request, whose ID is the instance's name."""
    log = RequestLog(instance=instance, clock=FakeClock())
    log.add(make_record(instance))
    return log


def make_status() -> Status:
    """Return the status of an agent."""
    return Status(
        instance="self",
        role="agent",
        region="east",
        zone="east-a",
        state="ready",
        version=7,
        entry=7,
    )


def listen() -> make_socket:
    """Return a listening socket on loopback."""
    listener = make_socket(AF_INET, SOCK_STREAM)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener


def peer_at(instance: str, listener: make_socket) -> Peer:
    """Return the peer that listens there."""
    return Peer(instance, Endpoint("127.0.0.1", listener.getsockname()[1]))


@asynccontextmanager
async def query(
    answering: Sequence[str], silent: Sequence[str], sink: MemorySink
) -> AsyncIterator[PeerQuery]:
    """Serve the answering peers; the silent ones accept and never answer."""
    listeners = {name: listen() for name in (*answering, *silent)}
    servers = []
    async with open_loop():
        for name in answering:
            server = Server([TelemetryService(make_log(name))], codec=RpcCodec())
            await aio_as_trio(server.start)(sock=listeners[name])
            servers.append(server)
        yield PeerQuery(
            make_log("self"),
            peers=lambda: [peer_at(*item) for item in listeners.items()],
            sink=sink,
            deadline_s=DEADLINE_S,
        )
        for server in servers:
            server.close()
            await aio_as_trio(server.wait_closed)()
    for listener in listeners.values():
        listener.close()


@pytest.mark.parametrize(
    ("answering", "silent"),
    [
        ((), ()),
        (("agent-2", "agent-3"), ()),
        (("agent-2",), ("agent-4",)),
        ((), ("agent-4", "agent-5")),
    ],
)
def test_summary_names_who_answered(
    answering: tuple[str, ...], silent: tuple[str, ...]
) -> None:
    """A summary holds those who answered and names those who did not."""
    sink = MemorySink()

    async def main() -> None:
        async with query(answering, silent, sink) as peers:
            summary = await peers.summary("timetable")
            assert summary.instances == (*answering, "self")
            assert summary.silent == silent
            assert sum(group.count for group in summary.recent) == 1 + len(answering)

    trio.run(main)
    assert [event for event, _ in sink.events] == [PEER_SILENT] * len(silent)


@pytest.mark.parametrize(
    ("request_id", "agent"),
    [("self", "self"), ("agent-2", "agent-2"), ("unknown", None)],
)
def test_request_is_found_at_a_peer(request_id: str, agent: str | None) -> None:
    """A request is found wherever it is kept, also if a peer is silent."""

    async def main() -> None:
        async with query(("agent-2",), ("agent-4",), MemorySink()) as peers:
            view = await peers.request(request_id)
            assert (view.agent if view else None) == agent

    trio.run(main)


def test_admin_listener_asks_the_peers() -> None:
    """One HTTP question to an agent is answered for all agents of its service."""

    async def main() -> None:
        async with (
            query(("agent-2",), ("agent-4",), MemorySink()) as peers,
            trio.open_nursery() as nursery,
        ):
            application = AdminApplication(
                make_telemetry(),
                status=make_status,
                ask_summary=peers.summary,
                ask_request=peers.request,
            )
            endpoint = Endpoint("127.0.0.1", 0)
            urls = await nursery.start(serve_admin, application, endpoint)
            async with AsyncClient(base_url=urls[0], trust_env=False) as client:
                answer = await client.get("/summary?service=timetable&peers=1")
                found = await client.get("/requests/agent-2")
            summary = decode(answer.content, type=Summary)
            assert summary.instances == ("agent-2", "self")
            assert summary.silent == ("agent-4",)
            assert found.json()["agent"] == "agent-2"
            nursery.cancel_scope.cancel()

    trio.run(main)
