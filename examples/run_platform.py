"""Run a stand-in for the platform, for development on loopback.

``python examples/run_platform.py`` publishes one service with one target and lists the
instances of ``balancer.ini`` and ``agent.ini``.
"""

import sys
from contextlib import suppress
from pathlib import Path

from msgspec import to_builtins
from trio import open_nursery, run, sleep_forever

from balsamtide.config.model import Address, Service, Target
from balsamtide.config.port import Instance
from balsamtide.protocol.messages import Endpoint, PatchOperation

sys.path.insert(0, str(Path(__file__).parents[1]))

from bench.standins.platform import PlatformStandin

HOST = "127.0.0.1"
SERVICE = Service(
    number=1,
    addresses={"main": Address(HOST, 7443)},
    targets={
        "timetable-1": Target(
            number=1,
            zone="zone-a",
            host=HOST,
            port=8080,
            agent_host=HOST,
            agent_port=7201,
            agent_rpc_port=7202,
        )
    },
)


def instance(name: str, role: str, port: int) -> Instance:
    """Return a line of the platform's list."""
    return Instance(
        name=name,
        role=role,
        region="region-1",
        zone="zone-a",
        inner=Endpoint(HOST, port),
        rpc=Endpoint(HOST, port + 1),
    )


async def main() -> None:
    """Serve until interrupted."""
    platform = PlatformStandin()
    platform.list_instance(instance("balancer-1", "balancer", 7101))
    platform.list_instance(instance("timetable-1", "agent", 7201))
    patch = PatchOperation("add", "/services/timetable", to_builtins(SERVICE))
    platform.publish([patch])
    async with open_nursery() as nursery:
        await nursery.start(lambda **status: platform.serve(port=7000, **status))
        print("platform on", platform.url, flush=True)
        await sleep_forever()


if __name__ == "__main__":
    with suppress(KeyboardInterrupt):
        run(main)
