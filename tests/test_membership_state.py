"""Bulk transfer of state over grpclib on loopback."""

from contextlib import nullcontext
from random import Random
from ssl import PROTOCOL_TLS_CLIENT, PROTOCOL_TLS_SERVER, SSLContext

import pytest
import trio
from grpclib.server import Server
from trio_asyncio import aio_as_trio, open_loop
from trustme import CA

from balsamtide.config.port import Instance
from balsamtide.membership import Membership
from balsamtide.membership.bulk_fetcher import BulkFetcher, make_fetch
from balsamtide.membership.state_rpc import (
    CHUNK_BYTES,
    State,
    StateError,
    StateService,
    fetch_state,
)
from balsamtide.protocol.messages import Endpoint, Mark
from balsamtide.protocol.rpc import RpcCodec
from balsamtide.telemetry.memory_sink import MemorySink
from bench.standins.members import make_instances
from tests.fakes_membership import SnapshotFakeLog, make_entry

MARKS = (Mark("i", "leaving", "i", 1, 30_000_000),)


async def serve(
    service: StateService, ssl: SSLContext | None = None
) -> tuple[Server, Endpoint]:
    """Serve ``service`` on a free port; return the server and its endpoint."""
    server = Server([service], codec=RpcCodec())
    await aio_as_trio(server.start)("127.0.0.1", 0, ssl=ssl)
    port = server._server.sockets[0].getsockname()[1]
    return server, Endpoint("127.0.0.1", port)


def make_log(entries: int, padding: int) -> SnapshotFakeLog:
    """Return a log with ``entries`` entries of ``padding`` bytes."""
    log = SnapshotFakeLog()
    made = [make_entry(number + 1, padding=padding) for number in range(entries)]
    log.offer_entries(made, source="", now=0.0)
    return log


@pytest.mark.parametrize(
    ("after", "padding", "entries", "has_snapshot"),
    [
        (0, 10, 0, True),
        (5, 10, 4, False),
        (5, CHUNK_BYTES, 4, False),
        (9, 10, 0, False),
    ],
)
def test_state_is_fetched(
    after: int, padding: int, entries: int, has_snapshot: bool
) -> None:
    """A joiner gets a snapshot, others get the missing entries; all get the marks."""

    async def main() -> State:
        async with open_loop():
            service = StateService(make_log(9, padding), marks=lambda: MARKS)
            server, endpoint = await serve(service)
            deadline = trio.current_time() + 10.0
            state = await fetch_state(endpoint, after=after, deadline=deadline)
            server.close()
            await aio_as_trio(server.wait_closed)()
            assert service.transfers == 0
            return state

    state = trio.run(main)
    assert state.number == 9
    assert len(state.entries) == entries
    assert (state.snapshot is not None) == has_snapshot
    assert state.marks == MARKS


@pytest.mark.parametrize("is_trusted", [True, False])
def test_state_is_fetched_over_tls(is_trusted: bool) -> None:
    """State is fetched over TLS, but not from a peer with an untrusted certificate."""
    authority, other = CA(), CA()
    server_side = SSLContext(PROTOCOL_TLS_SERVER)
    authority.issue_cert("127.0.0.1").configure_cert(server_side)
    client_side = SSLContext(PROTOCOL_TLS_CLIENT)
    (authority if is_trusted else other).configure_trust(client_side)
    for context in (server_side, client_side):
        context.set_alpn_protocols(["h2"])

    async def main() -> None:
        async with open_loop():
            service = StateService(make_log(9, 10), marks=lambda: MARKS)
            server, endpoint = await serve(service, server_side)
            deadline = trio.current_time() + 10.0
            expected = nullcontext() if is_trusted else pytest.raises(StateError)
            with expected:
                state = await fetch_state(
                    endpoint, after=0, deadline=deadline, ssl=client_side
                )
                assert state.number == 9
            server.close()

    trio.run(main)


def test_unreachable_peer_raises_state_error() -> None:
    """A fetch from a peer that does not listen raises `StateError`."""

    async def main() -> None:
        async with open_loop():
            deadline = trio.current_time() + 5.0
            with pytest.raises(StateError):
                await fetch_state(Endpoint("127.0.0.1", 1), after=0, deadline=deadline)

    trio.run(main)


def test_excess_transfers_are_rejected() -> None:
    """A peer at its transfer limit rejects a further fetch."""

    async def main() -> None:
        async with open_loop():
            service = StateService(make_log(1, 10), marks=lambda: ())
            service.transfers = 100
            server, endpoint = await serve(service)
            deadline = trio.current_time() + 5.0
            with pytest.raises(StateError, match="too many transfers"):
                await fetch_state(endpoint, after=0, deadline=deadline)
            server.close()

    trio.run(main)


def test_joiner_fetches_state_from_a_live_peer() -> None:
    """A joiner skips unreachable peers and adopts the snapshot and marks."""

    async def main() -> None:
        async with open_loop():
            service = StateService(make_log(9, 10), marks=lambda: MARKS)
            server, endpoint = await serve(service)
            own, dead, live = make_instances(3, zones=("a",))
            listed = [
                own,
                dead,
                Instance(
                    name=live.name,
                    role=live.role,
                    region=live.region,
                    zone=live.zone,
                    inner=live.inner,
                    rpc=endpoint,
                ),
            ]
            log = SnapshotFakeLog()
            membership = Membership(
                own,
                incarnation=1,
                log=log,
                sink=MemorySink(),
                random=Random(1),
                now=trio.current_time(),
            )
            membership.update_instances(listed, trio.current_time())
            real_fetch = make_fetch()

            async def fetch(peer: Instance, after: int, deadline: float) -> State:
                if peer.name == dead.name:
                    raise StateError("dead")
                return await real_fetch(peer, after, deadline)

            fetcher = BulkFetcher(
                membership,
                log=log,
                fetch=fetch,
                deliver=lambda sends: None,
                random=Random(1),
            )
            assert await fetcher.join()
            assert log.snapshots[0].number == 9
            assert not membership.is_eligible("i", "a", trio.current_time())
            server.close()

    trio.run(main)
