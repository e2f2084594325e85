"""Decoding of the JSON documents in the platform's store."""

from collections.abc import Callable, Mapping
from json import loads
from typing import Any

from balsamtide.fleet.view import (
    FlowConfiguration,
    FlowRoute,
    FlowTarget,
    TargetState,
    WarmUp,
)
from balsamtide.transport.addresses import parse_ipv4

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "MAX_INTEGER",
    "OPERATOR_PREFIX",
    "TARGET_PREFIX",
    "DocumentError",
    "decode_configuration",
    "decode_target",
    "decode_zone",
]

# Keys that the operator writes: the configuration and the evacuations.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
TARGET_STATES = {"ready": TargetState.READY, "draining": TargetState.DRAINING}
MAX_PORT = 65535
# Frames between processes hold signed integers of 64 bits.
MAX_INTEGER = 2**63 - 1
# Milliseconds; a floating-point number holds them and their sum with a local time.
MAX_DURATION_MS = 2**53
# Flows per second; far beyond what a target can take.
MAX_RATE = 10**9
# Every process holds the names of all targets, and sends them to its peers.
MAX_NAME_BYTES = 1024


class DocumentError(ValueError):
    """A document does not match the format that the platform specifies."""


def _field(document: Mapping[str, Any], name: str, types: type | tuple) -> Any:
    value = document.get(name)
    if not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
        raise DocumentError(
            f"field {name!r} is missing or has the wrong type "
            f"(found {type(value).__name__})"
        )
    return value


def _check_name(name: str, what: str) -> str:
    """Return a name if its UTF-8 form is short enough.

    JSON escapes can stand for lone surrogates, which no encoding holds.
    """
    try:
        length = len(name.encode())
    except UnicodeEncodeError as error:
        raise DocumentError(f"{what} {name!r:.40} is not valid Unicode") from error
    if length > MAX_NAME_BYTES:
        raise DocumentError(
            f"{what} {name!r:.40} has {length} bytes, more than {MAX_NAME_BYTES}"
        )
    return name


def _name(document: Mapping[str, Any], field: str) -> str:
    return _check_name(_field(document, field, str), f"field {field!r}:")


def _number(
    document: Mapping[str, Any],
    name: str,
    types: type | tuple,
    *,
    minimum: int,
    maximum: float,
) -> Any:
    value = _field(document, name, types)
    # False for NaN as well, which `loads` accepts.
    if not minimum <= value <= maximum:
        raise DocumentError(
            f"field {name!r} is not between {minimum} and {maximum}: {value!r:.40}"
        )
    return value


def _integer(
    document: Mapping[str, Any], name: str, *, minimum: int = -MAX_INTEGER
) -> int:
    return _number(document, name, int, minimum=minimum, maximum=MAX_INTEGER)


def _duration_s(
    document: Mapping[str, Any], name: str, *, minimum_ms: int = 0
) -> float:
    """Return a duration in seconds that the document states in milliseconds."""
    milliseconds = _number(
        document, name, (int, float), minimum=minimum_ms, maximum=MAX_DURATION_MS
    )
    return milliseconds / 1000


def _parse_object(data: bytes) -> dict[str, Any]:
    try:
        document = loads(data)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"invalid JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError("the document is not a JSON object")
    return document


def _parse_host(text: str) -> int:
    try:
        return parse_ipv4(text)
    except ValueError as error:
        raise DocumentError(f"{text!r:.40} is not an IPv4 address") from error


def _parse_port(text: str) -> int:
    # The length is checked before `int`, which refuses thousands of digits.
    is_short = len(text) <= len(str(MAX_PORT))
    is_number = is_short and text.isascii() and text.isdigit()
    if not is_number or not 0 < int(text) <= MAX_PORT:
        raise DocumentError(f"{text!r:.40} is not a port")
    return int(text)


def decode_target(name: str, data: bytes, now: float) -> FlowTarget:
    """Decode the record that a target writes about itself.

    Raises
    ------
    DocumentError
        If a field is missing, or has the wrong type, an unknown value, a number out of
        range or a name that is too long or not valid.
    """
    _check_name(name, "key")
    document = _parse_object(data)
    host, _, port = _field(document, "address", str).rpartition(":")
    state = TARGET_STATES.get(_field(document, "state", str))
    if state is None:
        raise DocumentError(f"unknown state {document['state']!r:.40}")
    # Software version and write counter of the target are not used.  They are checked
    # since a record without them does not match the platform's format.
    _field(document, "version", str)
    _integer(document, "sequence")
    # A target that became warm since it wrote the record may report a negative time.
    warmup_s = _duration_s(document, "warmupLeftMs", minimum_ms=-MAX_DURATION_MS)
    started_ms = _integer(document, "born", minimum=0) if "born" in document else 0
    return FlowTarget(
        name=name,
        service=_name(document, "service"),
        host=_parse_host(host),
        port=_parse_port(port),
        zone=_name(document, "zone"),
        capacity=_integer(document, "capacity", minimum=1),
        state=state,
        # Local time at which the warm-up ends.
        warm_at=now + max(0.0, warmup_s),
        started_ms=started_ms,
    )


def decode_zone(key: str) -> str:
    """Return the availability zone that an evacuation key names.

    Raises
    ------
    DocumentError
        If the name is too long or not valid.
    """
    return _check_name(key.removeprefix(EVACUATION_PREFIX), "availability zone")


def decode_configuration(data: bytes) -> FlowConfiguration:
    """Decode the operator's configuration.

    Raises
    ------
    DocumentError
        If it does not match the format that the platform specifies.
    """
    document = _parse_object(data)
    routes = dict(_decode_items(document, "routes", _decode_route))
    services = dict(_decode_items(document, "services", _decode_service))
    limits = _field(document, "limits", dict)
    return FlowConfiguration(
        version=_integer(document, "version", minimum=0),
        routes=routes,
        services=frozenset(services),
        idle_timeout_s=_duration_s(limits, "idleTimeoutMs"),
        warm_ups={name: warm_up for name, warm_up in services.items() if warm_up},
    )


def _decode_items(
    document: Mapping[str, Any], name: str, decode: Callable[[dict], Any]
) -> list[Any]:
    items = _field(document, name, list)
    if not all(isinstance(item, dict) for item in items):
        raise DocumentError(f"field {name!r} has an item that is not an object")
    return [decode(item) for item in items]


def _decode_service(document: dict) -> tuple[str, WarmUp | None]:
    name = _name(document, "name")
    rate = _optional_number(document, "warmupPerS", maximum=MAX_RATE)
    lasts_s = _optional_number(document, "warmupS", maximum=MAX_DURATION_MS / 1000)
    return name, WarmUp(lasts_s=lasts_s, rate=rate) if rate else None


def _optional_number(
    document: Mapping[str, Any], name: str, *, maximum: float
) -> float:
    """Return a number that is not negative, 0 if the document does not have it."""
    if document.get(name) is None:
        return 0.0
    types = (int, float)
    return float(_number(document, name, types, minimum=0, maximum=maximum))


def _decode_route(document: dict) -> tuple[tuple[int, int], FlowRoute]:
    # For raw packets, the platform writes the port as a path prefix between slashes.
    port = _parse_port(_field(document, "prefix", str).strip("/"))
    host = _parse_host(_field(document, "host", str))
    route = FlowRoute(
        name=_name(document, "name"),
        shares=_decode_shares(document),
        timeout_s=_duration_s(document, "timeoutMs"),
        objective_s=_duration_s(document, "goalMs"),
        priority=_integer(document, "priority"),
    )
    return (host, port), route


def _decode_shares(document: dict) -> tuple[tuple[str, int], ...]:
    if document.get("service") is not None:
        return ((_name(document, "service"), 1),)
    shares = _decode_items(
        document,
        "backends",
        lambda item: (_name(item, "service"), _integer(item, "weight")),
    )
    shares = [share for share in shares if share[1] > 0]
    if not shares:
        raise DocumentError(
            f"route {document.get('name')!r:.40} has no service with a positive weight"
        )
    return tuple(shares)
