"""Builders of configurations and log entries for tests."""

from msgspec import convert
from msgspec.json import decode, encode

from balsamtide.config.model import Configuration
from balsamtide.protocol.messages import Entry, PatchOperation


def target(number, *, agent_port=None, **members):
    """Return a target in JSON form."""
    document = {
        "number": number,
        "zone": "zone-a",
        "host": "10.0.0.1",
        "port": 8000 + number,
        "agent_host": "10.0.1.1",
        "agent_port": agent_port or 9000 + number,
        "agent_rpc_port": 19000 + number,
    }
    return {**document, **members}


def service(number, *, targets=3, agent_port_base=9000, **members):
    """Return a service in JSON form; ``t-i`` has the agent port base plus ``i``."""
    numbers = range(1, targets + 1)
    document = {
        "number": number,
        "addresses": {"main": {"host": "192.0.2.1", "port": 400 + number}},
        "targets": {
            f"t-{i}": target(i, agent_port=agent_port_base + i) for i in numbers
        },
    }
    return {**document, **members}


def configuration(**services):
    """Return the configuration of services in JSON form."""
    return convert(decode(encode({"services": services})), Configuration)


def operation(op, path, value=None, source=None):
    """Return an operation of a patch."""
    return PatchOperation(op=op, path=path, value=value, source=source)


def entry(number, base, *operations, actor="operator"):
    """Return an entry of the log."""
    return Entry(number=number, base=base, patch=operations, actor=actor)


TWO_SERVICES = configuration(orders=service(1), intake=service(2, agent_port_base=7000))
