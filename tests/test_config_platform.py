"""Tests of the platform client, snapshots and pacing."""

from contextlib import asynccontextmanager
from random import Random
from socket import socket

import pytest
import trio
from httpx import ASGITransport, AsyncBaseTransport, AsyncByteStream, Response
from msgspec import structs
from msgspec.json import decode, encode
from trio.testing import MockClock

from balsamtide.config.entries import malformed_entry
from balsamtide.config.pacing import Backoff, ReadBudget
from balsamtide.config.platform_client import HttpPlatform
from balsamtide.config.port import Instance, InstanceState, PlatformError
from balsamtide.config.replica import ConfigurationReplica
from balsamtide.config.snapshot import (
    SnapshotError,
    SnapshotFault,
    join_snapshot,
    split_snapshot,
)
from balsamtide.protocol.messages import Endpoint
from balsamtide.telemetry.memory_sink import MemorySink
from bench.standins.platform import PlatformStandin
from tests.fakes_config import operation, service

ORDERS = operation("add", "/services/orders", service(1))
WEIGHT = "/services/orders/targets/t-1/weight"
AGENT = Instance(
    name="agent-1",
    role="agent",
    region="region-1",
    zone="zone-a",
    inner=Endpoint("10.0.0.1", 9000),
    rpc=Endpoint("10.0.0.1", 9001),
)
CALLS = {
    "newest": lambda platform: platform.newest(),
    "entries": lambda platform: platform.entries(0),
    "watch": lambda platform: platform.watch(0, 1.0),
    "snapshot": lambda platform: platform.snapshot(),
    "instances": lambda platform: platform.instances(),
}
EVERY_CALL = pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)


def new_standin(**options):
    """Return a platform stand-in with one entry and a snapshot of it."""
    standin = PlatformStandin(**options)
    standin.publish([ORDERS])
    standin.take_snapshot()
    return standin


@asynccontextmanager
async def connected(standin):
    """Yield a client that is connected to ``standin`` in memory."""
    transport = ASGITransport(app=standin.application)
    async with HttpPlatform("http://platform", transport=transport) as platform:
        yield platform


def run(test, *arguments):
    """Run an asynchronous test in virtual time."""
    return trio.run(test, *arguments, clock=MockClock(autojump_threshold=0))


def new_replica():
    """Return an empty replica."""
    return ConfigurationReplica(sink=MemorySink())


def test_all_calls_over_tcp():
    """Every call returns over TCP what the stand-in serves."""

    async def test():
        standin = new_standin()
        async with trio.open_nursery() as nursery:
            url = await nursery.start(standin.serve)
            standin.list_instance(AGENT)
            async with HttpPlatform(url) as platform:
                assert await platform.newest() == 1
                (entry,) = await platform.entries(0)
                assert entry.patch == (ORDERS,)
                assert await platform.watch(0, 1.0) == (entry,)
                assert await platform.snapshot() == standin.replica.snapshot()
                assert await platform.instances() == (AGENT,)
            nursery.cancel_scope.cancel()
        # Five calls; the snapshot takes two requests, for its manifest and one chunk.
        assert standin.reads == 6

    trio.run(test)


def test_watch_returns_the_next_entry():
    """A watch returns as soon as an entry is published."""

    async def test():
        standin = new_standin()
        async with connected(standin) as platform, trio.open_nursery() as nursery:

            async def publish():
                await trio.sleep(7)
                standin.publish([])

            nursery.start_soon(publish)
            started = trio.current_time()
            (entry,) = await platform.watch(1, 20.0)
            assert trio.current_time() - started == pytest.approx(7)
            assert entry.number == 2

    run(test)


def test_watch_without_entries_ends_at_its_timeout():
    """A watch returns nothing at its timeout, and counts as one read."""

    async def test():
        standin = new_standin()
        async with connected(standin) as platform:
            started = trio.current_time()
            assert await platform.watch(1, 20.0) == ()
            assert trio.current_time() - started == pytest.approx(20)
        assert standin.reads == 1

    run(test)


@EVERY_CALL
@pytest.mark.parametrize(
    "fault",
    [
        {"is_out": True},
        {"delay_s": 60.0},
        {"garbage": b""},
        {"garbage": b"\xff\xfe"},
        {"garbage": b"null"},
        {"garbage": b'[{"name": 1}]'},
        {"garbage": b"[" * 100_000},
        {"garbage": b"[" + b" " * 70_000_000 + b"]"},
    ],
    ids=[
        "unavailable",
        "slow",
        "empty",
        "not-utf8",
        "null",
        "type",
        "nested",
        "oversized",
    ],
)
def test_every_failure_is_a_platform_error(call, fault):
    """Each failure of each call raises PlatformError within the timeout."""

    async def test():
        standin = new_standin()
        for name, value in fault.items():
            setattr(standin, name, value)
        async with connected(standin) as platform:
            started = trio.current_time()
            with pytest.raises(PlatformError):
                await call(platform)
            assert trio.current_time() - started <= 6.0

    run(test)


@EVERY_CALL
def test_refused_connection_is_a_platform_error(call):
    """A refused connection raises PlatformError."""

    async def test():
        with socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
            async with HttpPlatform(f"http://127.0.0.1:{port}") as platform:
                with pytest.raises(PlatformError):
                    await call(platform)

    trio.run(test)


class SlowStreamTransport(AsyncBaseTransport, AsyncByteStream):
    """Responds with one byte per second, without end."""

    async def handle_async_request(self, request):
        """Return a response that does not end."""
        return Response(200, stream=self)

    async def __aiter__(self):
        """Yield one byte per second."""
        while True:
            await trio.sleep(1)
            yield b" "


@EVERY_CALL
def test_endless_response_is_a_platform_error(call):
    """A response that takes longer than the timeout raises PlatformError."""

    async def test():
        async with HttpPlatform(
            "http://platform", transport=SlowStreamTransport()
        ) as platform:
            with pytest.raises(PlatformError):
                await call(platform)
            assert trio.current_time() <= 7.0

    trio.run(test, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("base", ["", "platform", "http://[::", "ftp://platform"])
def test_invalid_base_url_is_a_platform_error(base):
    """An invalid base URL raises PlatformError."""

    async def test():
        async with HttpPlatform(base) as platform:
            with pytest.raises(PlatformError):
                await platform.newest()

    trio.run(test)


@pytest.mark.parametrize("length", [0, 1, 3, 5])
def test_older_log_never_lowers_the_version(length):
    """A platform that restarts with an older log does not change the replica."""

    async def test():
        standin = new_standin()
        for weight in (10, 20, 30, 40):
            standin.publish([operation("add", WEIGHT, weight)])
        replica = new_replica()
        async with connected(standin) as platform:
            entries = await platform.entries(0)
            replica.offer_entries(entries, source="platform", now=0.0)
            before = replica.held
            assert before.in_force == 5
            standin.restart_with(length)
            standin.take_snapshot()
            assert await platform.newest() == length
            assert await platform.entries(5) == ()
            entries = await platform.entries(0)
            replica.offer_entries(entries, source="platform", now=1.0)
            snapshot = await platform.snapshot()
            assert not replica.offer_snapshot(snapshot, source="platform", now=1.0)
        assert replica.held is before
        assert replica.conflicts == 0

    run(test)


def test_lagging_platform_serves_part_of_the_log():
    """The log of a platform that lags is taken up to its end and continued later."""

    async def test():
        standin = new_standin()
        standin.publish([])
        standin.served_limit = 1
        replica = new_replica()
        async with connected(standin) as platform:
            assert await platform.newest() == 1
            entries = await platform.entries(0)
            replica.offer_entries(entries, source="platform", now=0.0)
            assert replica.held.number == 1
            standin.served_limit = None
            entries = await platform.entries(1)
            replica.offer_entries(entries, source="platform", now=1.0)
            assert replica.held.number == 2

    run(test)


def test_log_continues_after_an_invalid_entry():
    """An invalid entry is rejected, and the next one comes into force."""

    async def test():
        standin = new_standin()
        standin.publish_raw(b'{"number": 2, "patch": "none"}')
        standin.publish([operation("add", WEIGHT, 7)])
        async with connected(standin) as platform:
            entries = await platform.entries(0)
        assert entries[1] == malformed_entry(2)
        replica = new_replica()
        evaluations = replica.offer_entries(entries, source="platform", now=0.0)
        assert [item.is_in_force for item in evaluations] == [True, False, True]
        assert replica.held == standin.replica.held

    run(test)


def test_list_of_instances_lags():
    """A change of the list of instances is visible after the lag."""

    async def test():
        standin = new_standin(instance_lag_s=10.0)
        standin.list_instance(AGENT)
        async with connected(standin) as platform:
            assert await platform.instances() == ()
            await trio.sleep(10)
            assert await platform.instances() == (AGENT,)
            standin.list_leaving("agent-1")
            (lagging,) = await platform.instances()
            assert lagging.state is InstanceState.LIVE
            await trio.sleep(10)
            (leaving,) = await platform.instances()
            assert leaving.state is InstanceState.LEAVING

    run(test)


def test_snapshot_is_read_in_chunks():
    """A snapshot larger than a chunk is joined from several reads."""

    async def test():
        standin = new_standin(max_chunk_bytes=100)
        async with connected(standin) as platform:
            assert await platform.snapshot() == standin.replica.snapshot()
        assert standin.reads > 5

    run(test)


SNAPSHOT = new_standin().replica.snapshot()
PARTS = split_snapshot(SNAPSHOT, max_chunk_bytes=300)


@pytest.mark.parametrize(
    ("changes", "chunks", "fault"),
    [
        ({"number": -1}, PARTS.chunks, SnapshotFault.MANIFEST),
        ({"in_force": 2}, PARTS.chunks, SnapshotFault.MANIFEST),
        ({"chain": "xy"}, PARTS.chunks, SnapshotFault.MANIFEST),
        ({"chain": "00"}, PARTS.chunks, SnapshotFault.MANIFEST),
        ({"chunk_count": 0}, (), SnapshotFault.CHUNK_COUNT),
        ({"chunk_count": 65}, PARTS.chunks, SnapshotFault.CHUNK_COUNT),
        ({}, PARTS.chunks[:-1], SnapshotFault.CHUNK_COUNT),
        ({"chunk_count": 1}, (bytes(1_000_001),), SnapshotFault.CHUNK_SIZE),
        ({}, PARTS.chunks[::-1], SnapshotFault.CHECKSUM),
        ({"checksum": "0"}, PARTS.chunks, SnapshotFault.CHECKSUM),
        (
            {
                "chunk_count": 1,
                # SHA-256 of b"[]".
                "checksum": "4f53cda18c2baa0c0354bb5f9a3ecbe5"
                "ed12ab4d8e11ba873c2f11161202b945",
            },
            (b"[]",),
            SnapshotFault.CONTENT,
        ),
    ],
)
def test_invalid_chunks_name_their_fault(changes, chunks, fault):
    """An invalid manifest or chunk raises SnapshotError with its fault."""
    manifest = structs.replace(PARTS.manifest, **changes)
    with pytest.raises(SnapshotError) as caught:
        join_snapshot(manifest, chunks)
    assert caught.value.fault is fault


def test_manifest_keeps_its_json_keys():
    """A manifest has the JSON keys that the platform serves."""
    assert sorted(decode(encode(PARTS.manifest))) == [
        "chain",
        "checksum",
        "in_force",
        "number",
        "pieces",
    ]


@pytest.mark.parametrize("size", [1, 300, 1_000_000])
def test_split_and_join_round_trip(size):
    """A snapshot survives splitting and joining with any chunk size."""
    snapshot = SNAPSHOT if size > 1 else new_replica().snapshot()
    parts = split_snapshot(snapshot, max_chunk_bytes=size)
    assert join_snapshot(parts.manifest, parts.chunks) == snapshot


@pytest.mark.parametrize(
    ("times", "taken"),
    [
        ((0, 0, 0, 0), (True, True, False, False)),
        ((0, 0, 0, 0.5, 0.5), (True, True, False, True, False)),
        ((0, 0, 100, 100, 100), (True, True, True, True, False)),
        ((0, 0, -5, 0.1, 0.5), (True, True, False, False, True)),
    ],
)
def test_read_budget_limits_calls(times, taken):
    """Calls beyond the burst are limited to the rate, also if the clock steps back."""
    budget = ReadBudget(per_second=2.0, burst=2.0, now=0.0)
    assert tuple(budget.take(float(now)) for now in times) == taken


def test_read_budget_returns_its_ready_time():
    """A call can be taken at the time that ready_at returns, not before."""
    budget = ReadBudget(per_second=2.0, burst=1.0, now=10.0)
    assert budget.ready_at(10.0) == 10.0
    assert budget.take(10.0)
    assert budget.ready_at(10.0) == 10.5
    assert not budget.take(10.4)
    assert budget.take(budget.ready_at(10.4))


@pytest.mark.parametrize(("per_second", "burst"), [(0.0, 1.0), (-1.0, 1.0), (1.0, 0)])
def test_read_budget_rejects_invalid_rates(per_second, burst):
    """A rate or burst that never permits a call raises ValueError."""
    with pytest.raises(ValueError, match="positive rate"):
        ReadBudget(per_second=per_second, burst=burst, now=0.0)


def test_backoff_doubles_with_jitter_up_to_its_limit():
    """Each failure doubles the maximum delay; jitter shortens it by up to a half."""
    backoff = Backoff(random=Random(1), first_delay_s=1.0, max_delay_s=10.0)
    delays = [backoff.record_failure(100.0) - 100.0 for _ in range(60)]
    for delay, max_delay in zip(delays, [1, 2, 4, 8] + [10] * 56, strict=True):
        assert max_delay / 2 <= delay <= max_delay
    assert len(set(delays)) == 60
    backoff.reset()
    assert backoff.record_failure(0.0) <= 1.0
