"""Run two whole deployments on loopback and check every promise.

``python -m bench.demo [--seconds S] [--seed N]`` starts stand-ins, balancers and
agents in one process, sends mixed traffic while it publishes patches, drains a
target, kills a balancer, starts one and replaces an agent, prints a table and exits
with 1 if a promise broke.
"""

import sys
from argparse import ArgumentParser
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from hdrh.histogram import HdrHistogram
from trio import Nursery, current_time, open_nursery, run, sleep, sleep_until

from balsamtide.caller import Answer, Caller, CallerError, open_caller
from balsamtide.protocol.messages import PatchOperation
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.errors import AttemptsFailed
from balsamtide.telemetry.memory_sink import MemorySink
from bench.standins.deployment import (
    SERVER_NAME,
    Deployment,
    DeploymentPlan,
    ServicePlan,
)

__all__ = ["PLANS", "Results", "main", "run_demo"]

RULES: dict[str, object] = {
    "routes": [
        {"prefix": "/"},
        {"prefix": "/long", "size_class": "long"},
        {"prefix": "/watch", "frees_slot_at_head": True},
    ]
}
PLANS = (
    DeploymentPlan(
        name="north",
        zones=("north-a", "north-b", "north-c"),
        services=(
            ServicePlan(name="timetable", number=1, targets=7, slots=1, rules=RULES),
            ServicePlan(name="export", number=2, targets=3, slots=1, rules=RULES),
        ),
    ),
    DeploymentPlan(
        name="south",
        zones=("south-a", "south-b", "south-c"),
        services=(
            ServicePlan(name="orders", number=1, targets=7, slots=3, rules=RULES),
            ServicePlan(name="artwork", number=2, targets=3, slots=3, rules=RULES),
        ),
    ),
)
LEAVING_BOUND_S = 3.0
HIGHEST_US = 60_000_000
CALLERS = 3
WATCH_PARTS = 60


@dataclass(slots=True)
class Results:
    """What the callers saw."""

    verdicts: Counter[tuple[str, str]] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    ran: dict[str, list[str]] = field(default_factory=dict)
    not_run: dict[str, list[str]] = field(default_factory=dict)
    times: dict[str, HdrHistogram] = field(default_factory=dict)
    reasons: Counter[str] = field(default_factory=Counter)
    streams: int = 0
    violations: list[str] = field(default_factory=list)

    def record_time(self, service: str, seconds: float) -> None:
        """Add the time of one request."""
        if service not in self.times:
            self.times[service] = HdrHistogram(1, HIGHEST_US, 3)
        self.times[service].record_value(max(1, int(seconds * 1e6)))


class Traffic:
    """Callers of one service.

    Parameters
    ----------
    deployment : Deployment
        Where it runs.
    service : str
        Name of the service.
    results : Results
        Where outcomes go.
    random : Random
        Source of pauses.
    stop_at : float
        When to stop, seconds.
    """

    def __init__(
        self,
        deployment: Deployment,
        service: str,
        *,
        results: Results,
        random: Random,
        stop_at: float,
    ) -> None:
        self.deployment = deployment
        self.service = service
        self.results = results
        self.random = random
        self.stop_at = stop_at
        self.numbers = 0

    def start(self, nursery: Nursery) -> None:
        """Start the callers."""
        for _ in range(CALLERS):
            nursery.start_soon(self._with_caller, self._send_short)
        nursery.start_soon(self._with_caller, self._watch)
        nursery.start_soon(self._with_caller, self._send_long)

    async def _with_caller(self, work: Callable) -> None:
        endpoint = self.deployment.fabrics[self.service].endpoint
        async with open_caller(
            endpoint.host,
            endpoint.port,
            server_name=SERVER_NAME,
            authority=str(self.deployment.certificates.certificate),
            random=self.random,
        ) as caller:
            while current_time() < self.stop_at:
                await work(caller)

    async def _send_short(self, caller: Caller) -> None:
        self.numbers += 1
        number = f"{self.service}-{self.numbers}"
        if self.random.random() < 0.5:
            await self._request(caller, "GET", f"/short/{number}", number, b"")
        else:
            await self._request(caller, "POST", "/mark", number, number.encode())
        await sleep(self.random.uniform(0.2, 0.6))

    async def _send_long(self, caller: Caller) -> None:
        self.numbers += 1
        number = f"{self.service}-{self.numbers}"
        await self._request(caller, "GET", "/long", number, b"")
        await sleep(self.random.uniform(0.5, 1.5))

    async def _request(
        self, caller: Caller, method: str, path: str, number: str, body: bytes
    ) -> None:
        started = current_time()
        service = (b"x-service", self.service.encode())
        try:
            answer = await caller.request(
                method,
                path,
                headers=(service,),
                body=body,
                idempotency_key=number if method == "POST" else None,
                timeout_s=5.0,
            )
        except AttemptsFailed as error:
            for failure in error.exceptions:
                self.results.reasons[f"caller: {failure}"] += 1
            self._count(error.verdict, method, number)
            return
        if answer.reason:
            self.results.reasons[answer.reason] += 1
        self._count(answer.verdict, method, number)
        if answer.verdict is Verdict.RAN:
            kind = "long" if path == "/long" else "short"
            self.results.record_time(f"{self.service} {kind}", current_time() - started)
            self._check_body(answer, path, body)

    def _check_body(self, answer: Answer, path: str, body: bytes) -> None:
        expected = body if body else f"{path}|".encode()
        is_whole = answer.body == expected
        if path == "/long":
            is_whole = answer.body.count(b"part") == 8
        if not is_whole:
            self.results.violations.append(f"{self.service} {path}: not its answer")

    def _count(self, verdict: Verdict, method: str, number: str) -> None:
        self.results.verdicts[self.service, verdict.value] += 1
        if method != "POST":
            return
        if verdict is Verdict.RAN:
            self.results.ran.setdefault(self.service, []).append(number)
        elif verdict is Verdict.NOT_RUN:
            self.results.not_run.setdefault(self.service, []).append(number)

    async def _watch(self, caller: Caller) -> None:
        parts = 0
        self.results.streams += 1
        try:
            async with caller.stream("GET", f"/watch?n={WATCH_PARTS}") as answer:
                async for part in answer.parts():
                    parts += part.count(b"part")
        except CallerError as error:
            self.results.broken.append(f"{self.service}: {error}")
            return
        if parts != WATCH_PARTS:
            self.results.broken.append(f"{self.service}: {parts} of {WATCH_PARTS}")


class Changes:
    """What happens to one deployment while traffic flows.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    results : Results
        Where violations go.
    """

    def __init__(self, deployment: Deployment, results: Results) -> None:
        self.deployment = deployment
        self.results = results
        self.service = deployment.plan.services[0].name

    def _say(self, text: str) -> None:
        print(f"  {self.deployment.plan.name}: {text}", flush=True)

    async def run(self, start: float, step_s: float) -> None:
        """Make one change a step."""
        steps = (
            self._publish,
            self._drain_target,
            self._kill_balancer,
            self._add_balancer,
            self._stop_balancer,
            self._replace_agent,
        )
        for number, step in enumerate(steps, 1):
            await sleep_until(start + number * step_s)
            await step()

    async def _publish(self) -> None:
        path = f"/services/{self.service}/rules/limits"
        before = self.deployment.version
        await self.deployment.publish((PatchOperation("add", path, {"queue": 50}),))
        number = await self.deployment.platform.publish(
            (PatchOperation("remove", "/services"),), base=before
        )
        await self.deployment.wait_ready()
        self._say(f"version {self.deployment.version} in force, {number} rejected")

    async def _drain_target(self) -> None:
        name = f"{self.service}-1"
        path = f"/services/{self.service}/targets/{name}/state"
        await self.deployment.publish((PatchOperation("replace", path, "draining"),))
        target = self.deployment.agents[name].target
        self._say(f"{name} leaves")
        bound = current_time() + LEAVING_BOUND_S
        await sleep_until(bound + 2.0)
        if target.last_started > bound:
            late = target.last_started - bound + LEAVING_BOUND_S
            self.results.violations.append(
                f"{name} got work {late:.1f} s after leaving"
            )

    async def _kill_balancer(self) -> None:
        name = next(iter(self.deployment.balancers))
        self.deployment.kill_balancer(name)
        self._say(f"{name} killed")

    async def _add_balancer(self) -> None:
        name = await self.deployment.add_balancer()
        self._say(f"{name} started")

    async def _stop_balancer(self) -> None:
        name = next(iter(self.deployment.balancers))
        self.deployment.stop_balancer(name)
        self._say(f"{name} leaves")

    async def _replace_agent(self) -> None:
        name = f"{self.service}-2"
        self._say(f"agent of {name} leaves")
        await self.deployment.replace_agent(name)
        self._say(f"agent of {name} replaced")


def check_records(deployment: Deployment, results: Results) -> Counter[str]:
    """Compare what callers were told with what the targets ran."""
    found: Counter[str] = Counter()
    for service, record in deployment.records.items():
        doubled = [key for key, count in record.keys.items() if count > 1]
        lost = [key for key in results.ran.get(service, []) if key not in record.keys]
        false = [key for key in results.not_run.get(service, []) if key in record.keys]
        found["doubled non-idempotent requests"] += len(doubled)
        found["answered but never run"] += len(lost)
        found["said not run but ran"] += len(false)
        found["wrong-service deliveries"] += record.foreign
    return found


def print_results(
    results: Results, found: Counter[str], sinks: dict[str, MemorySink]
) -> None:
    """Print the table."""
    services = sorted({service for service, _ in results.verdicts})
    print(f"\n{'service':12}" + "".join(f"{v.value:>14}" for v in Verdict))
    for service in services:
        counts = [results.verdicts[service, v.value] for v in Verdict]
        print(f"{service:12}" + "".join(f"{count:14}" for count in counts))
    print(f"\n{'answers':20}{'count':>8}{'p50 ms':>10}{'p99 ms':>10}")
    for name, histogram in sorted(results.times.items()):
        p50 = histogram.get_value_at_percentile(50) / 1000
        p99 = histogram.get_value_at_percentile(99) / 1000
        print(f"{name:20}{histogram.total_count:8}{p50:10.1f}{p99:10.1f}")
    print_stages(sinks)
    for reason, count in results.reasons.most_common(8):
        print(f"refused: {reason}: {count}")
    print(f"\nstreams opened: {results.streams}, broken flows: {len(results.broken)}")
    for name, count in found.items():
        print(f"{name}: {count}")
    for line in (*results.broken, *results.violations):
        print(f"BROKEN: {line}")


def print_stages(sinks: dict[str, MemorySink]) -> None:
    """Print where the time of the requests went."""
    seconds: Counter[str] = Counter()
    for sink in sinks.values():
        for record in sink.requests:
            for stage, spent in record.stages.items():
                seconds[stage.value] += spent
    total = sum(seconds.values()) or 1.0
    print(f"\n{'stage':20}{'share':>8}")
    for stage, spent in seconds.most_common():
        print(f"{stage:20}{spent / total:8.1%}")


async def run_demo(folder: Path, *, seconds: float, seed: int) -> int:
    """Run the demo and return the exit code."""
    results = Results()
    sinks: dict[str, MemorySink] = {}
    deployments: list[Deployment] = []
    async with open_nursery() as nursery:
        for plan in PLANS:
            deployment = await start(plan, folder, sinks, seed, nursery)
            deployments.append(deployment)
        begin = current_time()
        async with open_nursery() as work:
            for deployment in deployments:
                for service in deployment.plan.services:
                    Traffic(
                        deployment,
                        service.name,
                        results=results,
                        random=Random(f"{seed}{service.name}"),
                        stop_at=begin + seconds,
                    ).start(work)
                changes = Changes(deployment, results)
                work.start_soon(changes.run, begin, seconds / 9)
            work.start_soon(show_progress, results, begin, seconds)
        nursery.cancel_scope.cancel()
    found: Counter[str] = Counter()
    for deployment in deployments:
        found += check_records(deployment, results)
        for key in ("doubled non-idempotent requests", "wrong-service deliveries"):
            found[key] += 0
    print_results(results, found, sinks)
    is_broken = results.broken or results.violations or sum(found.values())
    print("\nA PROMISE BROKE" if is_broken else "\nall promises held")
    return 1 if is_broken else 0


async def start(
    plan: DeploymentPlan,
    folder: Path,
    sinks: dict[str, MemorySink],
    seed: int,
    nursery: Nursery,
) -> Deployment:
    """Start one deployment."""
    own = folder / plan.name
    own.mkdir()
    deployment = Deployment(
        plan,
        folder=own,
        sink=lambda name: sinks.setdefault(f"{plan.name}/{name}", MemorySink()),
        seed=seed,
    )
    await deployment.start(nursery)
    await deployment.wait_ready()
    nodes = len(deployment.nodes())
    print(f"  {plan.name}: {nodes} processes' roles run", flush=True)
    return deployment


async def show_progress(results: Results, begin: float, seconds: float) -> None:
    """Print a line every few seconds."""
    for second in range(5, int(seconds), 5):
        await sleep_until(begin + second)
        print(f"  {second:3} s: {sum(results.verdicts.values())} requests", flush=True)


def main() -> int:
    """Run the command."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with TemporaryDirectory() as folder:
        return run(
            lambda: run_demo(Path(folder), seconds=options.seconds, seed=options.seed)
        )


if __name__ == "__main__":
    sys.exit(main())
