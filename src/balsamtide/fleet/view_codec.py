"""JSON codec of the view for transfers between processes.

Deadlines are encoded as remaining times, since local clocks are not comparable.
"""

from json import dumps, loads
from math import inf
from typing import Any

from balsamtide.fleet.view import (
    FleetView,
    FlowConfiguration,
    FlowRoute,
    FlowTarget,
    TargetState,
)

__all__ = ["ViewDecodeError", "decode_view", "encode_view"]


class ViewDecodeError(ValueError):
    """Raised for bytes that are not a valid view."""


def encode_view(view: FleetView, *, age_s: float, now: float) -> bytes:
    """Encode a view and the seconds since it was confirmed."""
    configuration = view.configuration
    return dumps(
        {
            "revision": view.revision,
            # The age is infinite before the first confirmation; JSON has no infinity.
            "age_s": min(age_s, 1e9),
            "settles_s": max(0.0, view.settles_at - now),
            "version": configuration.version,
            "idle_timeout_s": configuration.idle_timeout_s,
            "services": sorted(configuration.services),
            "routes": [
                [
                    *address,
                    route.name,
                    route.shares,
                    route.timeout_s,
                    route.objective_s,
                    route.priority,
                ]
                for address, route in configuration.routes.items()
            ],
            "targets": [_target_row(target, now) for target in view.targets.values()],
        },
        separators=(",", ":"),
    ).encode()


def _target_row(target: FlowTarget, now: float) -> list[Any]:
    forget_s = None if target.forget_at == inf else target.forget_at - now
    return [
        target.name,
        target.service,
        target.host,
        target.port,
        target.zone,
        target.capacity,
        target.state.value,
        max(0.0, target.warm_at - now),
        target.started_ms,
        forget_s,
    ]


def decode_view(data: bytes, *, now: float) -> tuple[FleetView, float]:
    """Decode a view and the seconds since it was confirmed.

    Raises
    ------
    ViewDecodeError
        If the bytes are truncated or not a valid view.
    """
    try:
        document = loads(data)
        view = FleetView(
            revision=int(document["revision"]),
            settles_at=now + float(document["settles_s"]),
            configuration=_configuration(document),
            targets={
                target.name: target
                for target in (_target(row, now) for row in document["targets"])
            },
        )
        return view, float(document["age_s"])
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise ViewDecodeError(f"{type(error).__name__}: {error}") from error


def _configuration(document: dict[str, Any]) -> FlowConfiguration:
    return FlowConfiguration(
        version=int(document["version"]),
        routes=dict(_route(*row) for row in document["routes"]),
        services=frozenset(document["services"]),
        idle_timeout_s=float(document["idle_timeout_s"]),
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


def _target(row: list[Any], now: float) -> FlowTarget:
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
        warm_at=now + cold_s,
        started_ms=started_ms,
        forget_at=inf if forget_s is None else now + forget_s,
    )
