"""End-to-end tests of planned changes and faults, over real sockets."""

from collections.abc import Awaitable, Callable

import pytest
from trio import current_time, open_nursery, run, sleep

from balsamtide.caller import Caller
from balsamtide.protocol.messages import PatchOperation
from balsamtide.protocol.verdict import Verdict
from bench.standins.deployment import Deployment
from tests.test_path import (
    connected_caller,
    run_in_virtual_time,
    running_deployment,
)

PARTS = 40
LEAVING_BOUND_S = 3.0

Change = Callable[[Deployment], Awaitable[None]]


async def stop_balancer(deployment: Deployment) -> None:
    """Stop one balancer gracefully."""
    deployment.stop_balancer("balancer-1")


async def kill_balancer(deployment: Deployment) -> None:
    """Kill one balancer."""
    deployment.kill_balancer("balancer-2")


async def replace_agents(deployment: Deployment) -> None:
    """Replace both agents of the service, starting the second one second later."""
    async with open_nursery() as nursery:
        nursery.start_soon(deployment.replace_agent, "quick-1")
        await sleep(1.0)
        nursery.start_soon(deployment.replace_agent, "quick-2")


async def drain_target(deployment: Deployment) -> None:
    """Drain one target by a configuration patch."""
    path = "/services/quick/targets/quick-1/state"
    await deployment.publish((PatchOperation("replace", path, "draining"),))


async def platform_down(deployment: Deployment) -> None:
    """Make the platform unavailable."""
    deployment.platform.is_down = True


CHANGES = [stop_balancer, kill_balancer, replace_agents, drain_target, platform_down]


async def watch(caller: Caller, results: list[int]) -> None:
    """Read one long stream and record the number of its parts."""
    async with caller.stream("GET", f"/watch?n={PARTS}") as answer:
        body = b"".join([part async for part in answer.parts()])
    results.append(body.count(b"part"))


async def send_keyed_posts(caller: Caller, verdicts: dict[str, Verdict]) -> None:
    """Send keyed requests for about the length of the stream."""
    for number in range(25):
        key = f"key-{number}"
        answer = await caller.request("POST", "/mark", body=b"m", idempotency_key=key)
        verdicts[key] = answer.verdict
        await sleep(0.05)


@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
def test_change_interrupts_no_stream(tmp_path, change: Change):
    """Streams are complete and keyed POSTs run exactly once through each change."""

    async def scenario():
        results: list[int] = []
        verdicts: dict[str, Verdict] = {}
        async with (
            running_deployment(tmp_path) as deployment,
            connected_caller(deployment, "quick") as first,
            connected_caller(deployment, "quick") as second,
        ):
            async with open_nursery() as nursery:
                nursery.start_soon(watch, first, results)
                nursery.start_soon(watch, second, results)
                nursery.start_soon(send_keyed_posts, first, verdicts)
                nursery.start_soon(send_keyed_posts, second, {})
                await sleep(0.4)
                nursery.start_soon(change, deployment)
            record = deployment.records["quick"]
            assert results == [PARTS, PARTS]
            assert set(verdicts.values()) == {Verdict.RAN}
            # Each caller sends the same keys under its own stamps.
            assert set(record.keys.values()) == {2}
            assert len(record.keys) == 25

    run_in_virtual_time(scenario)


def test_leaving_target_gets_no_new_work(tmp_path):
    """A target drained by a patch starts nothing after ``LEAVING_BOUND_S``."""

    async def scenario():
        async with (
            running_deployment(tmp_path) as deployment,
            connected_caller(deployment, "quick") as first,
            connected_caller(deployment, "quick") as second,
        ):
            async with open_nursery() as nursery:
                nursery.start_soon(drain_target, deployment)
                bound = current_time() + LEAVING_BOUND_S
                while current_time() < bound + 1.0:
                    for caller in (first, second):
                        answer = await caller.request("GET", "/short/a")
                        assert answer.verdict is Verdict.RAN
                    await sleep(0.02)
            assert deployment.agents["quick-1"].target.last_started <= bound
            assert deployment.agents["quick-2"].target.last_started > bound

    run(scenario)


def test_silent_connection_is_replaced(tmp_path):
    """A caller abandons a silent flow and repeats its request on another."""

    async def scenario():
        async with (
            running_deployment(tmp_path) as deployment,
            connected_caller(deployment, "quick") as caller,
        ):
            await caller.request("GET", "/short/a")
            fabric = deployment.fabrics["quick"]
            # Drops every datagram on the existing paths.
            fabric.black_holes.update(fabric.upstream)
            answer = await caller.request("GET", "/short/b", timeout_s=20.0)
            assert answer.body == b"/short/b|"
            posted = await caller.request("POST", "/mark", idempotency_key="k")
            assert posted.verdict is Verdict.RAN
            assert deployment.records["quick"].keys == {"k": 1}

    run(scenario)


def test_repeat_after_a_planned_stop_is_replayed_by_the_successor(tmp_path):
    """A repeat is answered from the ledger that the stopped agent transferred."""

    async def scenario():
        async with (
            running_deployment(tmp_path) as deployment,
            connected_caller(deployment, "quick") as caller,
            connected_caller(deployment, "quick") as other,
        ):
            posted = await caller.request(
                "POST", "/mark", body=b"m", idempotency_key="k"
            )
            # A request ID begins with the name of the target.
            home = posted.request_id.rsplit("-", 1)[0]
            await deployment.replace_agent(home)
            answer = await other.request(
                "POST",
                "/mark",
                body=b"m",
                idempotency_key="k",
                stamp=posted.key_stamp,
            )
            assert (answer.status, answer.verdict) == (200, Verdict.RAN)
            assert deployment.records["quick"].keys == {"k": 1}

    run(scenario)
