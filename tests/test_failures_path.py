"""End-to-end tests of pairs of faults and planned changes.

The verdicts of the callers are compared with what the targets ran.
"""

from dataclasses import dataclass, field
from itertools import combinations_with_replacement

from pytest import mark
from trio import current_time, fail_after, open_nursery, run, sleep

from balsamtide.caller import CallerError
from balsamtide.protocol.messages import PatchOperation
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.errors import AttemptsFailed
from bench.standins.deployment import Deployment
from tests.test_path import connected_caller, running_deployment

NEW_WORK_BOUND_S = 3.0
RUN_S = 60.0
PARTS = 30
POST_PAUSE_S = 0.05
FAILURE_PAUSE_S = 0.3
SILENCE_S = 0.5


@dataclass(slots=True)
class Observed:
    """Results that the callers observed."""

    whole_streams: int = 0
    broken: list[str] = field(default_factory=list)
    verdicts: dict[str, Verdict] = field(default_factory=dict)


async def read_stream(deployment, observed):
    """Read one long answer completely."""
    async with connected_caller(deployment, "quick") as caller:
        try:
            async with caller.stream("GET", f"/watch?n={PARTS}") as answer:
                body = b"".join([part async for part in answer.parts()])
        except CallerError as error:
            observed.broken.append(repr(error))
            return
    expected = b"".join(b"part %d\n" % n for n in range(PARTS))
    if body == expected:
        observed.whole_streams += 1
    else:
        observed.broken.append(f"{len(body)} of {len(expected)} bytes")


async def send_keyed_posts_until(deployment, observed, name, is_over):
    """Send keyed POSTs sequentially and record their verdicts."""
    number = 0
    async with connected_caller(deployment, "quick") as caller:
        while not is_over():
            key = f"{name}-{number}"
            number += 1
            try:
                answer = await caller.request(
                    "POST", "/mark", body=key.encode(), idempotency_key=key
                )
            except AttemptsFailed as failed:
                observed.verdicts[key] = failed.verdict
            except CallerError as error:
                observed.verdicts[key] = error.verdict
            else:
                observed.verdicts[key] = answer.verdict
                if answer.status == 200:
                    assert answer.body == key.encode()
            await sleep(POST_PAUSE_S)


async def kill_balancer(deployment: Deployment):
    """Kill one balancer and start another."""
    deployment.kill_balancer(next(iter(deployment.balancers)))
    await deployment.add_balancer()


async def stop_balancer(deployment: Deployment):
    """Start a balancer, then stop another gracefully."""
    name = next(iter(deployment.balancers))
    await deployment.add_balancer()
    deployment.stop_balancer(name)


async def drain_target(deployment: Deployment):
    """Publish a patch that drains a target."""
    path = "/services/quick/targets/quick-1/state"
    # In a JSON patch, "add" replaces a member that exists.
    await deployment.publish((PatchOperation("add", path, "draining"),))


async def replace_agent(deployment: Deployment):
    """Replace an agent gracefully."""
    await deployment.replace_agent("quick-2")


async def silence_target(deployment: Deployment):
    """Make a target accept requests without answering for ``SILENCE_S``."""
    target = deployment.agents["quick-2"].target
    target.is_silent = True
    await sleep(SILENCE_S)
    target.is_silent = False


async def stop_platform(deployment: Deployment):
    """Make the platform unavailable for the rest of the run."""
    deployment.platform.is_down = True


FAILURES = {
    "balancer-dies": kill_balancer,
    "balancer-stops": stop_balancer,
    "target-drains": drain_target,
    "agent-replaced": replace_agent,
    "target-silent": silence_target,
    "platform-down": stop_platform,
}


PAIRS = tuple(combinations_with_replacement(FAILURES, 2))


@mark.parametrize(("first", "second"), PAIRS, ids=map("-and-".join, PAIRS))
def test_any_two_failures_keep_all_guarantees(tmp_path, first, second):
    """Streams are complete, POSTs run at most once and refused ones do not run."""
    observed = Observed()

    async def scenario():
        async with running_deployment(tmp_path) as deployment:
            await _drive(deployment, observed, first, second)
            _check(deployment, observed)

    async def bounded():
        with fail_after(RUN_S):
            await scenario()

    run(bounded)


async def _drive(deployment, observed, first, second):
    is_done = False
    async with open_nursery() as nursery:
        for name in ("a", "b"):
            nursery.start_soon(read_stream, deployment, observed)
            nursery.start_soon(
                send_keyed_posts_until, deployment, observed, name, lambda: is_done
            )
        await sleep(FAILURE_PAUSE_S)
        await FAILURES[first](deployment)
        await FAILURES[second](deployment)
        await sleep(FAILURE_PAUSE_S)
        is_done = True


def _check(deployment, observed):
    record = deployment.records["quick"]
    assert observed.broken == [], "broken flows"
    assert observed.whole_streams == 2
    # Requests of another service that reached the target.
    assert record.foreign == 0
    assert observed.verdicts
    for key, verdict in observed.verdicts.items():
        runs = record.keys[key]
        assert runs <= 1, f"at_most_once: {key} ran {runs} times"
        assert verdict is not Verdict.NOT_RUN or runs == 0, (
            f"not_run_holds: {key} ran despite NOT_RUN"
        )
        assert verdict is not Verdict.RAN or runs == 1, f"answered but not run: {key}"


def test_draining_target_gets_no_new_work(tmp_path):
    """A target starts nothing after ``NEW_WORK_BOUND_S`` from its drain."""

    async def scenario():
        observed = Observed()
        async with (
            running_deployment(tmp_path) as deployment,
            open_nursery() as nursery,
        ):
            is_done = False
            nursery.start_soon(
                send_keyed_posts_until, deployment, observed, "a", lambda: is_done
            )
            await sleep(FAILURE_PAUSE_S)
            await drain_target(deployment)
            drained_at = current_time()
            await sleep(NEW_WORK_BOUND_S + 1.0)
            is_done = True
            target = deployment.agents["quick-1"].target
            assert target.last_started < drained_at + NEW_WORK_BOUND_S
            assert Verdict.RAN in observed.verdicts.values()

    run(scenario)
