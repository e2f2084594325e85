"""Documents in the platform's store, decoded into the product's types."""

from collections.abc import Callable, Mapping
from json import loads
from typing import Any

from balsamtide.fleet.view import (
    FlowConfiguration,
    FlowRoute,
    FlowTarget,
    TargetState,
)
from balsamtide.transport.addresses import parse_ipv4

__all__ = [
    "CONFIGURATION_KEY",
    "TARGET_PREFIX",
    "DocumentError",
    "decode_configuration",
    "decode_target",
]

CONFIGURATION_KEY = "op/config"
TARGET_PREFIX = "servers/"
STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}
MAX_PORT = 65535


class DocumentError(ValueError):
    """A document that does not have the form that the platform describes."""


def _field(document: Mapping[str, Any], name: str, kind: type | tuple) -> Any:
    value = document.get(name)
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise DocumentError(f"{name} is missing or of another type")
    return value


def _document(data: bytes) -> dict[str, Any]:
    try:
        document = loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"not JSON: {type(error).__name__}") from error
    if not isinstance(document, dict):
        raise DocumentError("not an object")
    return document


def _host(text: str) -> int:
    try:
        return parse_ipv4(text)
    except ValueError as error:
        raise DocumentError("not an IPv4 address") from error


def _port(text: str) -> int:
    if not text.isascii() or not text.isdigit() or not 0 < int(text) <= MAX_PORT:
        raise DocumentError("not a port")
    return int(text)


def decode_target(name: str, data: bytes, now: float) -> FlowTarget:
    """Decode a target's own record.

    Raises
    ------
    DocumentError
        If a field is missing, of another type or has an unknown value.
    """
    document = _document(data)
    host, _, port = _field(document, "address", str).rpartition(":")
    state = STATES.get(_field(document, "state", str))
    if state is None:
        raise DocumentError("unknown state")
    # The version of the target's software and the count of its writes are only checked.
    _field(document, "version", str)
    _field(document, "sequence", int)
    cold_ms = _field(document, "warmupLeftMs", (int, float))
    started_ms = _field(document, "born", int) if "born" in document else 0
    capacity = _field(document, "capacity", int)
    if capacity < 1:
        raise DocumentError("capacity is below 1")
    return FlowTarget(
        name=name,
        service=_field(document, "service", str),
        host=_host(host),
        port=_port(port),
        zone=_field(document, "zone", str),
        capacity=capacity,
        state=state,
        warm_at=now + max(0.0, cold_ms) / 1000,
        started_ms=started_ms,
    )


def decode_configuration(data: bytes) -> FlowConfiguration:
    """Decode the operator's configuration.

    Raises
    ------
    DocumentError
        If it does not have the form that the platform describes.
    """
    document = _document(data)
    routes = dict(_items(document, "routes", _route))
    services = frozenset(_items(document, "services", _service_name))
    limits = _field(document, "limits", dict)
    return FlowConfiguration(
        version=_field(document, "version", int),
        routes=routes,
        services=services,
        idle_timeout_s=_field(limits, "idleTimeoutMs", (int, float)) / 1000,
    )


def _items(
    document: Mapping[str, Any], name: str, decode: Callable[[dict], Any]
) -> list[Any]:
    items = _field(document, name, list)
    if not all(isinstance(item, dict) for item in items):
        raise DocumentError(f"{name} has an item that is not an object")
    return [decode(item) for item in items]


def _service_name(document: dict) -> str:
    return _field(document, "name", str)


def _route(document: dict) -> tuple[tuple[int, int], FlowRoute]:
    # The prefix of a path is a port between slashes here.
    port = _port(_field(document, "prefix", str).strip("/"))
    host = _host(_field(document, "host", str))
    route = FlowRoute(
        name=_field(document, "name", str),
        shares=_shares(document),
        timeout_s=_field(document, "timeoutMs", (int, float)) / 1000,
        objective_s=_field(document, "goalMs", (int, float)) / 1000,
        priority=_field(document, "priority", int),
    )
    return (host, port), route


def _shares(document: dict) -> tuple[tuple[str, int], ...]:
    if document.get("service") is not None:
        return ((_field(document, "service", str), 1),)
    shares = _items(
        document,
        "backends",
        lambda item: (_field(item, "service", str), _field(item, "weight", int)),
    )
    shares = [share for share in shares if share[1] > 0]
    if not shares:
        raise DocumentError("a route has no service")
    return tuple(shares)
