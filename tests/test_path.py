"""End-to-end tests on loopback: caller, fabric, balancer, agent and target.

The fabric stands in for the network between callers and balancers.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from trio import open_nursery, run, sleep
from trio.testing import MockClock

from balsamtide.caller import Caller, open_caller
from balsamtide.protocol.verdict import Verdict
from balsamtide.telemetry.memory_sink import MemorySink
from bench.standins.deployment import (
    SERVER_NAME,
    Deployment,
    DeploymentPlan,
    ServicePlan,
)
from bench.standins.fabric import PathFaults

PLAN = DeploymentPlan(
    name="region",
    zones=("zone-a", "zone-b"),
    services=(
        ServicePlan(name="quick", number=1, targets=2, slots=1),
        ServicePlan(name="bulk", number=2, targets=2, slots=1),
    ),
    balancers=2,
)
FAULTY = PathFaults(loss=0.03, duplicate=0.05, reorder=0.1)
# The clock advances by a tick once no task had anything to do for this long.  Beside
# many busy processes, datagrams and segments need some milliseconds over loopback; a
# clock that jumped to the next timer at once would run far ahead of them.
IDLE_S = 0.005
TICK_S = 0.01


async def tick() -> None:
    """Wake up at each tick, which limits how far the clock jumps."""
    while True:
        await sleep(TICK_S)


def run_in_virtual_time(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario whose clock advances only while no task has anything to do.

    Time that the machine spends on other processes does not count, so that deadlines
    limit what was promised and not the load of the machine.
    """

    async def run_with_ticks() -> None:
        async with open_nursery() as nursery:
            nursery.start_soon(tick)
            await scenario()
            nursery.cancel_scope.cancel()

    run(run_with_ticks, clock=MockClock(autojump_threshold=IDLE_S))


@asynccontextmanager
async def running_deployment(
    folder: Path, faults: PathFaults | None = None
) -> AsyncIterator[Deployment]:
    """Run a deployment until it is ready, and yield it."""
    async with open_nursery() as nursery:
        deployment = Deployment(
            PLAN, folder=folder, sink=lambda name: MemorySink(), seed=7, faults=faults
        )
        await deployment.start(nursery)
        await deployment.wait_ready()
        yield deployment
        nursery.cancel_scope.cancel()


@asynccontextmanager
async def connected_caller(
    deployment: Deployment, service: str
) -> AsyncIterator[Caller]:
    """Open a caller of one service."""
    endpoint = deployment.fabrics[service].endpoint
    async with open_caller(
        endpoint.host,
        endpoint.port,
        server_name=SERVER_NAME,
        # File of the CA certificate.
        authority=str(deployment.certificates.certificate),
    ) as caller:
        yield caller


@pytest.mark.parametrize("faults", [None, FAULTY], ids=["clean", "faulty"])
@pytest.mark.parametrize("service", ["quick", "bulk"])
def test_requests_are_answered_by_their_service(tmp_path, service, faults):
    """Each request gets its own complete answer and each keyed POST runs once."""

    async def scenario():
        async with (
            running_deployment(tmp_path, faults) as deployment,
            connected_caller(deployment, service) as caller,
        ):
            for number in range(6):
                answer = await caller.request("GET", f"/short/{number}")
                assert answer.body == f"/short/{number}|".encode()
                # The target counts the runs of each key of ``POST /mark``.
                posted = await caller.request(
                    "POST", "/mark", body=b"x" * 3000, idempotency_key=f"k{number}"
                )
                assert (posted.status, posted.verdict) == (200, Verdict.RAN)
                assert posted.body == b"x" * 3000
            record = deployment.records[service]
            assert record.keys == {f"k{number}": 1 for number in range(6)}
            # Requests of another service that reached the target.
            assert record.foreign == 0

    run(scenario)


def test_stream_survives_the_loss_of_a_balancer(tmp_path):
    """A long answer is complete although a balancer is killed and one is added."""

    async def scenario():
        async with (
            running_deployment(tmp_path) as deployment,
            connected_caller(deployment, "quick") as caller,
            caller.stream("GET", "/watch?n=30") as answer,
        ):
            parts = []
            async for part in answer.parts():
                parts.append(part)
                if len(parts) == 5:
                    deployment.kill_balancer("balancer-1")
                if len(parts) == 10:
                    await deployment.add_balancer()
            assert b"".join(parts).count(b"part") == 30

    run(scenario)


@pytest.mark.parametrize("path", ["/watch?n=30", "/long"])
def test_deadline_limits_only_the_start_of_an_answer(tmp_path, path):
    """An answer that starts before the deadline is complete, however long it takes."""

    async def scenario():
        async with (
            running_deployment(tmp_path) as deployment,
            connected_caller(deployment, "quick") as caller,
            caller.stream("GET", path, timeout_s=0.3) as answer,
        ):
            # The target answers /long with 8 parts.
            parts = [part async for part in answer.parts()]
            assert b"".join(parts).count(b"part") == (8 if path == "/long" else 30)

    run_in_virtual_time(scenario)
