"""Whether the stages of a request add up to what its caller saw.

Real sockets and clocks on loopback: one caller sends requests one after the other, and
the sum of the stages that the agent recorded is compared with the caller's own time.
"""

from collections.abc import Iterable
from pathlib import Path
from random import Random
from statistics import median
from tempfile import TemporaryDirectory

from trio import current_time, open_nursery, run, sleep

from balsamtide.caller import open_caller
from balsamtide.telemetry.memory_sink import MemorySink
from bench.figures import Figure
from bench.standins.deployment import (
    SERVER_NAME,
    Deployment,
    DeploymentPlan,
    ServicePlan,
)

__all__ = ["figures"]

PLAN = DeploymentPlan(
    name="region",
    zones=("zone-a",),
    services=(ServicePlan(name="quick", number=1, targets=1, slots=1),),
    balancers=1,
)
REQUESTS = 200
PAUSE_S = 0.02
SHARE_BOUND = 0.05
ABSOLUTE_BOUND_S = 0.002
SETTLE_S = 0.3


async def _measure(folder: Path) -> list[tuple[float, float]]:
    """Return the caller's time and the sum of the stages of each request, seconds."""
    sinks: dict[str, MemorySink] = {}
    seen: dict[str, float] = {}
    async with open_nursery() as nursery:
        deployment = Deployment(
            PLAN,
            folder=folder,
            sink=lambda name: sinks.setdefault(name, MemorySink()),
            seed=3,
        )
        await deployment.start(nursery)
        await deployment.wait_ready()
        endpoint = deployment.fabrics["quick"].endpoint
        async with open_caller(
            endpoint.host,
            endpoint.port,
            server_name=SERVER_NAME,
            authority=str(deployment.certificates.certificate),
            random=Random(1),
        ) as caller:
            await caller.request("GET", "/short/first")
            for _ in range(REQUESTS):
                started = current_time()
                answer = await caller.request("GET", "/short/a")
                seen[answer.request_id] = current_time() - started
                await sleep(PAUSE_S)
            await sleep(SETTLE_S)
        nursery.cancel_scope.cancel()
    records = {r.request_id: r for sink in sinks.values() for r in sink.requests}
    return [(time, records[name].total_s) for name, time in seen.items()]


def figures() -> Iterable[Figure]:
    """Compare sums of stages with callers' times."""
    with TemporaryDirectory() as folder:
        pairs = run(_measure, Path(folder))
    close = [
        abs(seen - told) <= max(ABSOLUTE_BOUND_S, SHARE_BOUND * seen)
        for seen, told in pairs
    ]
    share = 100 * sum(close) / len(close)
    yield Figure(
        name="stages: sum within 5% or 2 ms of the caller's time",
        figure=share,
        unit="% of requests",
        target="100",
        met=share == 100,
    )
    yield Figure(
        name="stages: caller's time less the sum, median",
        figure=1000 * median(seen - told for seen, told in pairs),
        unit="ms",
    )
    yield Figure(
        name="stages: caller's time, median",
        figure=1000 * median(seen for seen, _ in pairs),
        unit="ms",
    )
