"""Tests of real daemons under restarts, kills, freezes and a black-holed connection."""

from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from pytest import mark
from trio import fail_after, open_nursery, run, sleep

from balsamtide.caller import CallerError, open_caller
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.errors import AttemptsFailed
from bench.standins.deployment import SERVER_NAME
from tests.fakes_processes import ProcessFleet

TARGETS = {"quick": 3, "bulk": 2}
RUN_S = 85.0
STREAM_PARTS = 40
REQUEST_PAUSE_S = 0.1
FREEZE_S = 1.5
SETTLE_S = 1.0
REQUEST_TIMEOUT_S = 8.0
MAX_REFUSED_SHARE = 0.1


@dataclass(slots=True)
class Results:
    """Outcomes that the callers observed."""

    complete: int = 0
    broken: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    verdicts: dict[tuple[str, str], Verdict] = field(default_factory=dict)
    exit_codes: dict[str, int] = field(default_factory=dict)
    is_done: bool = False


@asynccontextmanager
async def open_service_caller(fleet, service):
    """Yield a caller of one service."""
    endpoint = fleet.fabrics[service].endpoint
    async with open_caller(
        endpoint.host,
        endpoint.port,
        server_name=SERVER_NAME,
        authority=fleet.authority,
    ) as caller:
        yield caller


async def stream_until_done(fleet, results, service):
    """Read long responses one after another."""
    expected = b"".join(b"part %d\n" % n for n in range(STREAM_PARTS))
    headers = ((b"x-service", service.encode()),)
    async with open_service_caller(fleet, service) as caller:
        while not results.is_done:
            try:
                async with caller.stream(
                    "GET", f"/watch?n={STREAM_PARTS}", headers=headers
                ) as response:
                    body = b"".join([part async for part in response.parts()])
            except CallerError as error:
                results.broken.append(f"{service}: {error!r}")
                continue
            results.complete += body == expected
            if response.status >= 500 and response.verdict is Verdict.NOT_RUN:
                results.refused.append(
                    f"{service}: {response.status} {response.headers}"
                )
            elif body != expected:
                results.broken.append(f"{service}: {len(body)} bytes")


async def call_until_done(fleet, results, service, name):
    """Send requests with idempotency keys one after another."""
    async with open_service_caller(fleet, service) as caller:
        number = 0
        while not results.is_done:
            number += 1
            key = f"{name}-{number}"
            results.verdicts[service, key] = await _send_keyed_request(
                caller, service, key
            )
            await sleep(REQUEST_PAUSE_S)


async def _send_keyed_request(caller, service, key):
    try:
        response = await caller.request(
            "POST",
            "/mark",
            headers=((b"x-service", service.encode()),),
            body=key.encode(),
            idempotency_key=key,
        )
    except AttemptsFailed as failed:
        return failed.verdict
    except CallerError as error:
        return error.verdict
    if response.status == 200:
        assert response.body == key.encode()
    return response.verdict


async def _black_hole_connection(fleet, results):
    """Drop all datagrams of one connection; the caller must recover on a new one.

    The first request opens the connection, which is the only new one at the fabric.
    """
    fabric = fleet.fabrics["quick"]
    before = set(fabric.upstream)
    async with open_service_caller(fleet, "quick") as caller:
        results.verdicts["quick", "black-holed-0"] = await _send_keyed_request(
            caller, "quick", "black-holed-0"
        )
        fabric.black_holes |= set(fabric.upstream) - before
        with fail_after(REQUEST_TIMEOUT_S * 3):
            for number in range(1, 4):
                key = f"black-holed-{number}"
                results.verdicts["quick", key] = await _send_keyed_request(
                    caller, "quick", key
                )
    assert results.verdicts["quick", "black-holed-3"] is Verdict.RAN


def check_guarantees(fleet, results):
    """Compare the outcomes that callers observed with what the targets ran."""
    assert results.broken == [], "broken responses"
    assert len(results.refused) <= MAX_REFUSED_SHARE * results.complete, results.refused
    assert all(code == 0 for code in results.exit_codes.values()), results.exit_codes
    for service, record in fleet.records.items():
        assert record.foreign == 0, "a target got requests of another service"
        assert any(count for count in record.keys.values())
        for (owner, key), verdict in results.verdicts.items():
            if owner == service:
                _check_keyed_request(key, verdict, record.keys[key])
    verdicts = list(results.verdicts.values())
    assert verdicts.count(Verdict.RAN) > 0.9 * len(verdicts)


def _check_keyed_request(key, verdict, runs):
    assert runs <= 1, f"{key} ran {runs} times"
    assert verdict is not Verdict.NOT_RUN or runs == 0, (
        f"{key} was reported as not run, but ran"
    )
    assert verdict is not Verdict.RAN or runs == 1, (
        f"{key} was reported as run, but did not run"
    )


async def _restart_all(fleet, results):
    for name in fleet.processes:
        results.exit_codes[name] = await fleet.replace(name)
    assert len(results.exit_codes) == sum(TARGETS.values()) + fleet.balancers


async def _kill_balancer(fleet, results):
    fleet.processes["balancer-1"].kill()
    await sleep(SETTLE_S)
    fleet.in_rotation["balancer-1"] = False
    await sleep(SETTLE_S)


async def _freeze_some(fleet, results):
    await fleet.freeze("balancer-1", FREEZE_S)
    await sleep(SETTLE_S)
    await fleet.freeze("agent-quick-1", FREEZE_S)
    await sleep(SETTLE_S)


SCENARIOS = {
    "rolling-restart": _restart_all,
    "balancer-killed": _kill_balancer,
    "freeze": _freeze_some,
    "black-holed-connection": _black_hole_connection,
}


@mark.processes
@mark.parametrize("scenario", SCENARIOS.values(), ids=SCENARIOS)
def test_daemons_keep_guarantees(tmp_path, scenario):
    """Streams stay intact and verdicts match the executions during each scenario."""
    fleet = ProcessFleet(folder=tmp_path, targets_per_service=TARGETS)
    results = Results()

    async def run_scenario():
        async with open_nursery() as nursery:
            await fleet.start(nursery)
            async with open_nursery() as callers:
                for service in TARGETS:
                    callers.start_soon(stream_until_done, fleet, results, service)
                    callers.start_soon(call_until_done, fleet, results, service, "m")
                await sleep(SETTLE_S)
                await scenario(fleet, results)
                results.is_done = True
            nursery.cancel_scope.cancel()

    async def run_with_timeout():
        with fail_after(RUN_S):
            await run_scenario()

    try:
        run(run_with_timeout)
    finally:
        fleet.stop()
    check_guarantees(fleet, results)
