"""Another writer leaves an entry with an unreadable number among the servers."""

import json
import sys
from asyncio import sleep
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import IS_TROUBLED, CannotRunError, World, run_case  # noqa: E402

# A tenth of the machines, two at least, and three ends of their processes on each.
MACHINES, ENDS = 2, 3
WATCHED_S = 40.0
# More digits than a floating-point number can hold.
DIGITS = 400


async def play(world: World) -> bool:
    """Return whether processes ended by themselves as often as the rule forbids."""
    await world.start(fronts=2, services={"orders": 3})
    world.configure([world.route("orders", 0, "orders")])
    await world.until_ready()
    await sleep(3.0)
    if " orders " not in await _call(world):
        raise CannotRunError("a request was not served before the entry was written")

    if IS_TROUBLED:
        # Like the entry of a server, but for one field; it names an own address.
        entry = world.servers[0].entry()
        entry["address"] = f"{world.net}.190:{world.ports.app}"
        entry["warmupLeftMs"] = 0
        text = json.dumps(entry).replace(
            '"warmupLeftMs": 0', f'"warmupLeftMs": {"9" * DIGITS}'
        )
        world.store.put("servers/i-foreign", text.encode())
        world.record.write(f"another writer: {text}")

    until = world.record.now() + WATCHED_S
    outcomes = []
    while world.record.now() < until:
        outcomes.append(await _call(world))
        await sleep(0.2)
    served = sum(" orders " in outcome for outcome in outcomes)
    world.record.write(f"{served} of {len(outcomes)} requests were served")
    for machine in world.machines:
        count = len(machine.own_ends)
        world.record.write(f"{machine.name}: ended by itself {count} times")
    limit = max(MACHINES, len(world.machines) / 10)
    ended = sum(len(machine.own_ends) >= ENDS for machine in world.machines)
    world.record.write(f"{ended} machines with {ENDS} ends or more, limit {limit:g}")
    return ended >= limit


async def _call(world: World) -> str:
    flow = world.clients[0].flow("orders")
    outcome = await flow.open()
    if outcome == "open":
        outcome = await flow.request(is_last=True)
        await flow.close()
    return outcome


run_case(str(FOLDER), play)
