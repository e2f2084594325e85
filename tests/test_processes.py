"""Real daemons under rolling restarts, freezes and a connection that falls silent."""

from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from pytest import mark
from trio import fail_after, open_nursery, run, sleep

from balsamtide.caller import CallerError, open_caller
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.errors import AttemptsFailed
from bench.standins.deployment import SERVER_NAME
from tests.fakes_processes import ProcessFleet

PLAN = {"quick": 3, "bulk": 2}
RUN_S = 85.0
PARTS = 40
MARK_PAUSE_S = 0.1
FREEZE_S = 1.5
SETTLE_S = 1.0
SILENT_S = 8.0
MOST_REFUSED_SHARE = 0.1


@dataclass(slots=True)
class Observed:
    """What all callers saw."""

    whole: int = 0
    broken: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    marks: dict[tuple[str, str], Verdict] = field(default_factory=dict)
    exit_codes: dict[str, int] = field(default_factory=dict)
    is_over: bool = False


@asynccontextmanager
async def calling(fleet, service):
    """Yield a caller of one service."""
    endpoint = fleet.fabrics[service].endpoint
    async with open_caller(
        endpoint.host,
        endpoint.port,
        server_name=SERVER_NAME,
        authority=fleet.authority,
    ) as caller:
        yield caller


async def stream_until_over(fleet, seen, service):
    """Read long answers one after the other."""
    expected = b"".join(b"part %d\n" % n for n in range(PARTS))
    headers = ((b"x-service", service.encode()),)
    async with calling(fleet, service) as caller:
        while not seen.is_over:
            try:
                async with caller.stream(
                    "GET", f"/watch?n={PARTS}", headers=headers
                ) as answer:
                    body = b"".join([part async for part in answer.parts()])
            except CallerError as error:
                seen.broken.append(f"{service}: {error!r}")
                continue
            seen.whole += body == expected
            if answer.status >= 500 and answer.verdict is Verdict.NOT_RUN:
                seen.refused.append(f"{service}: {answer.status} {answer.headers}")
            elif body != expected:
                seen.broken.append(f"{service}: {len(body)} octets")


async def mark_until_over(fleet, seen, service, name):
    """Send keyed marks one after the other."""
    async with calling(fleet, service) as caller:
        number = 0
        while not seen.is_over:
            number += 1
            key = f"{name}-{number}"
            seen.marks[service, key] = await _mark(caller, service, key)
            await sleep(MARK_PAUSE_S)


async def _mark(caller, service, key):
    try:
        answer = await caller.request(
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
    if answer.status == 200:
        assert answer.body == key.encode()
    return answer.verdict


async def fall_silent(fleet, seen):
    """Use a connection that nothing passes on any more, and see new ones work."""
    fabric = fleet.fabrics["quick"]
    before = set(fabric.upstream)
    async with calling(fleet, "quick") as caller:
        seen.marks["quick", "silent-0"] = await _mark(caller, "quick", "silent-0")
        fabric.black_holes |= set(fabric.upstream) - before
        with fail_after(SILENT_S * 3):
            for number in range(1, 4):
                key = f"silent-{number}"
                seen.marks["quick", key] = await _mark(caller, "quick", key)
    assert seen.marks["quick", "silent-3"] is Verdict.RAN


def check(fleet, seen):
    """Compare what callers were told with what targets ran."""
    assert seen.broken == [], "broken flows"
    assert len(seen.refused) <= MOST_REFUSED_SHARE * seen.whole, seen.refused
    assert all(code == 0 for code in seen.exit_codes.values()), seen.exit_codes
    for service, record in fleet.records.items():
        assert record.foreign == 0, "another service's request arrived"
        assert any(count for count in record.keys.values())
        for (owner, key), verdict in seen.marks.items():
            if owner == service:
                _check_mark(key, verdict, record.keys[key])
    told = list(seen.marks.values())
    assert told.count(Verdict.RAN) > 0.9 * len(told)


def _check_mark(key, verdict, runs):
    assert runs <= 1, f"at_most_once: {key} ran {runs} times"
    assert verdict is not Verdict.NOT_RUN or runs == 0, f"not_run_holds: {key}"
    assert verdict is not Verdict.RAN or runs == 1, f"answered, not run: {key}"


async def _restart_all(fleet, seen):
    for name in fleet.processes:
        seen.exit_codes[name] = await fleet.replace(name)
    assert len(seen.exit_codes) == sum(PLAN.values()) + fleet.balancers


async def _kill_balancer(fleet, seen):
    fleet.processes["balancer-1"].kill()
    await sleep(SETTLE_S)
    fleet.is_sprayed["balancer-1"] = False
    await sleep(SETTLE_S)


async def _freeze_some(fleet, seen):
    await fleet.freeze("balancer-1", FREEZE_S)
    await sleep(SETTLE_S)
    await fleet.freeze("agent-quick-1", FREEZE_S)
    await sleep(SETTLE_S)


SCENARIOS = {
    "rolling-restart": _restart_all,
    "balancer-killed": _kill_balancer,
    "freeze": _freeze_some,
    "silent-connection": fall_silent,
}


@mark.processes
@mark.parametrize("scenario", SCENARIOS.values(), ids=SCENARIOS)
def test_daemons_keep_every_promise(tmp_path, scenario):
    """Streams and marks go on through the scenario with every promise kept."""
    fleet = ProcessFleet(folder=tmp_path, plan=PLAN)
    seen = Observed()

    async def traffic():
        async with open_nursery() as nursery:
            await fleet.start(nursery)
            async with open_nursery() as callers:
                for service in PLAN:
                    callers.start_soon(stream_until_over, fleet, seen, service)
                    callers.start_soon(mark_until_over, fleet, seen, service, "m")
                await sleep(SETTLE_S)
                await scenario(fleet, seen)
                seen.is_over = True
            nursery.cancel_scope.cancel()

    async def bounded():
        with fail_after(RUN_S):
            await traffic()

    try:
        run(bounded)
    finally:
        fleet.stop()
    check(fleet, seen)
