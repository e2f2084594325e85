"""Configurations of a given size, for measures and slopes."""

from collections.abc import Iterator

from balsamtide.config.model import Address, Configuration, Service, Target

__all__ = ["fleet"]

TARGET_PORT = 8080
AGENT_PORT = 7000
AGENT_RPC_PORT = 7001
CALLER_PORT = 443
ZONES = ("zone-a", "zone-b", "zone-c")


def _host(network: int, index: int) -> str:
    return f"{network}.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}"


def _target(number: int, index: int) -> Target:
    return Target(
        number=number,
        zone=ZONES[index % len(ZONES)],
        host=_host(10, index),
        port=TARGET_PORT,
        agent_host=_host(11, index),
        agent_port=AGENT_PORT,
        agent_rpc_port=AGENT_RPC_PORT,
    )


def _services(targets: int, services: int) -> Iterator[tuple[str, Service]]:
    first = 0
    for number in range(1, services + 1):
        last = targets * number // services
        members = {
            f"target-{index}": _target(index - first + 1, index)
            for index in range(first, last)
        }
        address = Address(host=_host(12, number), port=CALLER_PORT)
        yield (
            f"service-{number}",
            Service(number=number, addresses={"main": address}, targets=members),
        )
        first = last


def fleet(*, targets: int, services: int) -> Configuration:
    """Return a configuration with one address a service and equal weights."""
    return Configuration(dict(_services(targets, services)))
