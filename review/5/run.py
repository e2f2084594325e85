"""Another writer leaves entries of an unknown service at the addresses of servers."""

import json
import sys
import time
from asyncio import sleep
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import IS_TROUBLED, World, run_case  # noqa: E402

WATCHED_S = 30.0
PAUSE_S = 0.2


async def play(world: World) -> bool:
    """Return whether no request at all was served."""
    await world.start(fronts=2, services={"orders": 3, "intake": 2})
    if IS_TROUBLED:
        for index, server in enumerate(world.servers):
            # Written a second after the server has started.
            born = int(time.time() * 1000) + 1000
            entry = server.entry() | {"service": "monitoring", "born": born}
            world.store.put(f"servers/m-{index}", json.dumps(entry).encode())
            world.record.write(f"another writer: {json.dumps(entry)}")
    world.configure(
        [world.route("orders", 0, "orders"), world.route("intake", 1, "intake")]
    )
    await world.until_ready()

    until = world.record.now() + WATCHED_S
    outcomes = []
    while world.record.now() < until:
        for route in ("orders", "intake"):
            flow = world.clients[0].flow(route)
            outcome = await flow.open()
            if outcome == "open":
                outcome = await flow.request(is_last=True)
                await flow.close()
            outcomes.append(outcome)
        await sleep(PAUSE_S)
    served = sum(route in o for o in outcomes for route in (" orders ", " intake "))
    resets = outcomes.count("reset")
    world.record.write(
        f"{served} of {len(outcomes)} requests were served, {resets} flows were reset"
    )
    return served == 0


run_case(str(FOLDER), play)
