"""Compressed JSON codec of updates for transfers between processes.

Deadlines are encoded as remaining times, since local clocks are not comparable.
"""

from json import dumps, loads
from math import inf, isfinite
from typing import Any
from zlib import compress, decompressobj
from zlib import error as ZlibError

from balsamtide.fleet.carry_over import CarryOver
from balsamtide.fleet.change_log import RouteChanges, ViewUpdate
from balsamtide.fleet.merge import LAPSE_GRACE_S
from balsamtide.fleet.view import (
    FlowConfiguration,
    FlowRoute,
    FlowTarget,
    TargetState,
    WarmUp,
)

__all__ = ["ViewDecodeError", "decode_update", "encode_update"]

# The store holds at most 1 MB of configuration; the rest is for 65,000 targets.
MAX_UPDATE_BYTES = 16_000_000
# Frames between processes hold signed integers of 64 bits.
MAX_INTEGER = 2**63 - 1
# Raised by the decoding of an update that a peer of another version may send.
UNUSABLE_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
    ZlibError,
)


class ViewDecodeError(ValueError):
    """Raised for bytes that are not a valid update."""


def encode_update(update: ViewUpdate, *, now: float) -> bytes:
    """Encode an update as of ``now``."""
    document: dict[str, Any] = {
        "base": update.base,
        "revision": update.revision,
        "tag": update.content_tag,
        "settles_s": max(0.0, update.settles_at - now),
        "configuration": _configuration_fields(update.configuration),
        "targets": [_target_row(t, now) for t in update.targets.values() if t],
        "removed": [name for name, target in update.targets.items() if target is None],
    }
    # Earlier builds ignore the fields that they do not know.
    if update.evacuated_zones is not None:
        document["evacuated"] = sorted(update.evacuated_zones)
    if not update.is_complete:
        document["complete"] = False
    if update.era:
        document["era"] = update.era
    if update.carry_over is not None:
        document["kept"] = _kept_fields(update.carry_over, now)
    return compress(dumps(document, separators=(",", ":")).encode())


def _kept_fields(carry_over: CarryOver, now: float) -> dict[str, Any]:
    return {
        "ends_s": carry_over.ends_at - now,
        "targets": [_target_row(t, now) for t in carry_over.targets.values()],
        "evacuated": sorted(carry_over.evacuated_zones),
    }


def _configuration_fields(
    configuration: FlowConfiguration | RouteChanges | None,
) -> dict[str, Any] | None:
    if configuration is None:
        return None
    fields: dict[str, Any] = {
        "version": configuration.version,
        "idle_timeout_s": configuration.idle_timeout_s,
        "services": sorted(configuration.services),
        "routes": [
            _route_row(address, route)
            for address, route in configuration.routes.items()
            if route is not None
        ],
    }
    if configuration.warm_ups is not None:
        fields["warm_ups"] = {
            service: [warm_up.lasts_s, warm_up.rate]
            for service, warm_up in configuration.warm_ups.items()
        }
    if isinstance(configuration, RouteChanges):
        fields["base"] = configuration.base
        fields["removed"] = [
            address for address, route in configuration.routes.items() if route is None
        ]
    return fields


def _route_row(address: tuple[int, int], route: FlowRoute) -> list[Any]:
    return [
        *address,
        route.name,
        route.shares,
        route.timeout_s,
        route.objective_s,
        route.priority,
    ]


def _target_row(target: FlowTarget, now: float) -> list[Any]:
    forget_s = None if target.forget_at == inf else round(target.forget_at - now, 3)
    return [
        target.name,
        target.service,
        target.host,
        target.port,
        target.zone,
        target.capacity,
        target.state.value,
        max(0.0, round(target.warm_at - now, 3)),
        target.started_ms,
        forget_s,
    ]


def decode_update(data: bytes, *, encoded_at: float) -> ViewUpdate:
    """Decode an update that was encoded at a local time.

    Raises
    ------
    ViewDecodeError
        If the bytes are truncated or not a valid update.
    """
    try:
        document = loads(_decompress(data))
        targets: dict[str, FlowTarget | None] = dict.fromkeys(document["removed"])
        for row in document["targets"]:
            target = _target(row, encoded_at)
            targets[target.name] = target
        settles_s = float(document["settles_s"])
        return ViewUpdate(
            base=int(document["base"]),
            revision=_integer(document["revision"]),
            content_tag=int(document["tag"]),
            settles_at=encoded_at + settles_s if settles_s else -inf,
            configuration=_configuration(document["configuration"]),
            targets=targets,
            era=_integer(document.get("era", 0)),
            evacuated_zones=_zones(document.get("evacuated")),
            carry_over=_carry_over(document.get("kept"), encoded_at),
            is_complete=bool(document.get("complete", True)),
        )
    except UNUSABLE_ERRORS as error:
        raise ViewDecodeError(f"{type(error).__name__}: {error}") from error


def _decompress(data: bytes) -> bytes:
    decompressor = decompressobj()
    text = decompressor.decompress(data, MAX_UPDATE_BYTES)
    if not decompressor.eof:
        raise ViewDecodeError(
            f"{len(data)} bytes are truncated or exceed {MAX_UPDATE_BYTES} bytes"
        )
    return text


def _integer(value: Any) -> int:
    """Return a number that frames between processes can hold."""
    number = int(value)
    if not -1 <= number <= MAX_INTEGER:
        raise ValueError(f"a number is not from -1 to {MAX_INTEGER}")
    return number


def _carry_over(fields: dict[str, Any] | None, encoded_at: float) -> CarryOver | None:
    if fields is None:
        return None
    targets = [_target(row, encoded_at) for row in fields["targets"]]
    ends_s = float(fields["ends_s"])
    if not isfinite(ends_s):
        raise ValueError("the end of a grace time is not a finite number")
    return CarryOver(
        ends_at=encoded_at + min(ends_s, LAPSE_GRACE_S),
        targets={target.name: target for target in targets},
        evacuated_zones=_zones(fields["evacuated"]) or frozenset(),
    )


def _zones(names: list[str] | None) -> frozenset[str] | None:
    if names is None:
        return None
    for name in names:
        # Raises an error for a name that is no text, or that no encoding holds.
        name.encode()
    return frozenset(names)


def _warm_ups(fields: dict[str, list[float]] | None) -> dict[str, WarmUp] | None:
    if fields is None:
        return None
    return {
        service: WarmUp(lasts_s=float(lasts_s), rate=float(rate))
        for service, (lasts_s, rate) in fields.items()
    }


def _configuration(
    fields: dict[str, Any] | None,
) -> FlowConfiguration | RouteChanges | None:
    if fields is None:
        return None
    routes = dict(_route(*row) for row in fields["routes"])
    version = _integer(fields["version"])
    services = frozenset(fields["services"])
    idle_timeout_s = float(fields["idle_timeout_s"])
    warm_ups = _warm_ups(fields.get("warm_ups"))
    if "base" not in fields:
        return FlowConfiguration(
            version=version,
            routes=routes,
            services=services,
            idle_timeout_s=idle_timeout_s,
            warm_ups=warm_ups or {},
        )
    changes: dict[tuple[int, int], FlowRoute | None] = {
        (host, port): None for host, port in fields["removed"]
    }
    changes.update(routes)
    return RouteChanges(
        base=int(fields["base"]),
        version=version,
        services=services,
        idle_timeout_s=idle_timeout_s,
        routes=changes,
        warm_ups=warm_ups,
    )


def _route(
    host: int,
    port: int,
    name: str,
    shares: list[list[Any]],
    timeout_s: float,
    objective_s: float,
    priority: int,
) -> tuple[tuple[int, int], FlowRoute]:
    route = FlowRoute(
        name=name,
        shares=tuple((service, weight) for service, weight in shares),
        timeout_s=timeout_s,
        objective_s=objective_s,
        priority=priority,
    )
    return (host, port), route


def _target(row: list[Any], encoded_at: float) -> FlowTarget:
    (
        name,
        service,
        host,
        port,
        zone,
        capacity,
        state,
        cold_s,
        started_ms,
        forget_s,
    ) = row
    return FlowTarget(
        name=name,
        service=service,
        host=host,
        port=port,
        zone=zone,
        capacity=capacity,
        state=TargetState(state),
        warm_at=encoded_at + cold_s if cold_s else 0.0,
        started_ms=started_ms,
        forget_at=inf if forget_s is None else encoded_at + forget_s,
    )
