"""The idle timeout is raised while flows are idle."""

import sys
from asyncio import gather, sleep
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import BOUNDS, IS_TROUBLED, CannotRunError, World, run_case  # noqa: E402

FLOWS = 6
OLD_IDLE_MS, NEW_IDLE_MS = 15_000, 40_000
# Pause of a client between two requests on its flow.
PAUSE_S = 20.0
# Start of the flows, so that at their next request all machines run for longer than the
# lifetime of a flow.
OPENED_AT_S = BOUNDS["flowTtlS"] - PAUSE_S + 8.0
CHANGE_AFTER_S = 2.0


async def play(world: World) -> bool:
    """Return whether the system reset an open flow that may be idle by all versions."""
    await world.start(fronts=2, services={"orders": 3})
    routes = [world.route("orders", 0, "orders")]
    # Without the disruption, the longer timeout is there from the start.
    before_ms = OLD_IDLE_MS if IS_TROUBLED else NEW_IDLE_MS
    world.configure(routes, idle_timeout_ms=before_ms)
    await world.until_ready()
    await sleep(OPENED_AT_S - world.record.now())

    client = world.clients[0]
    flows = [client.flow("orders") for _ in range(FLOWS)]
    for flow in flows:
        if await flow.open() != "open" or " orders " not in await flow.request():
            raise CannotRunError("a request was not served before the change")
    last_packet_at = world.record.now()
    await sleep(CHANGE_AFTER_S)
    if IS_TROUBLED:
        world.configure(routes, idle_timeout_ms=NEW_IDLE_MS)
    await sleep(last_packet_at + PAUSE_S - world.record.now())

    idle_s = world.record.now() - last_packet_at
    world.record.write(f"the flows were idle for {idle_s:.1f} s")
    outcomes = await gather(*(flow.request() for flow in flows))
    for flow, outcome in zip(flows, outcomes, strict=True):
        world.record.write(f"{world.flow_name(flow.key)}: {outcome}")
    resets = sum(flow.resets_after_opening > 0 for flow in flows)
    world.record.write(f"{resets} of {FLOWS} open flows were reset by the system")
    return resets > 0


run_case(str(FOLDER), play)
