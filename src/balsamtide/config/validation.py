"""Validation rules that the types of a configuration do not express.

Each rule returns the first violation in the order of the configuration, so that all
processes report the same one.
"""

from collections.abc import Callable, Hashable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from ipaddress import ip_address
from re import compile as compile_pattern

from balsamtide.config.model import Configuration, Service, Target, TargetState

__all__ = ["Violation", "ViolationKind", "find_violation"]

METHOD = compile_pattern(r"[A-Z][A-Z-]{0,31}\Z")
MAX_METHODS = 16
MAX_ROUTES = 256


class ViolationKind(Enum):
    """Rule that a configuration violates."""

    HOST = "host"
    SERVICE_NUMBER = "service-number"
    TARGET_NUMBER = "target-number"
    ADDRESS = "address"
    ENDPOINT = "endpoint"
    ROUTE = "route"
    METHOD = "method"
    NUMBER_REUSED = "number-reused"


@dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """A violation of a rule.

    Parameters
    ----------
    kind : ViolationKind
        The rule.
    path : str
        JSON pointer to the member that violates it.
    detail : str
        Description of the fault.
    """

    kind: ViolationKind
    path: str
    detail: str


@dataclass(frozen=True, slots=True)
class _Member:
    path: str
    value: Hashable


ServiceRule = Callable[[str, Service], Violation | None]


def _find_duplicate(
    members: Iterable[_Member], kind: ViolationKind
) -> Violation | None:
    seen: dict[Hashable, str] = {}
    for item in members:
        first = seen.setdefault(item.value, item.path)
        if first != item.path:
            detail = f"{item.value} is already used by {first}"
            return Violation(kind=kind, path=item.path, detail=detail)
    return None


def _describe_host_fault(host: str) -> str | None:
    """Return why ``host`` is not a valid address, None if it is valid.

    The unspecified address, multicast addresses and IPv6 addresses with a scope such as
    ``%eth0`` are not valid.
    """
    try:
        address = ip_address(host)
    except ValueError:
        return "not an IP address"
    if str(address) != host:
        return f"not in canonical form, which is {address}"
    if address.is_unspecified or address.is_multicast or "%" in host:
        return "not the address of one host"
    return None


def _host_members(name: str, service: Service) -> Iterator[_Member]:
    base = f"/services/{name}"
    for key, address in service.addresses.items():
        yield _Member(f"{base}/addresses/{key}/host", address.host)
    for key, target in service.targets.items():
        yield _Member(f"{base}/targets/{key}/host", target.host)
        yield _Member(f"{base}/targets/{key}/agent_host", target.agent_host)


def _check_hosts(name: str, service: Service) -> Violation | None:
    for item in _host_members(name, service):
        detail = _describe_host_fault(str(item.value))
        if detail is not None:
            return Violation(kind=ViolationKind.HOST, path=item.path, detail=detail)
    return None


def _check_target_numbers(name: str, service: Service) -> Violation | None:
    members = (
        _Member(f"/services/{name}/targets/{key}/number", target.number)
        for key, target in service.targets.items()
    )
    return _find_duplicate(members, ViolationKind.TARGET_NUMBER)


def _check_endpoints(name: str, service: Service) -> Violation | None:
    base = f"/services/{name}/targets"
    for port_name in ("agent_port", "agent_rpc_port"):
        members = (
            _Member(
                f"{base}/{key}/{port_name}",
                f"{target.agent_host} port {getattr(target, port_name)}",
            )
            for key, target in service.targets.items()
        )
        violation = _find_duplicate(members, ViolationKind.ENDPOINT)
        if violation is not None:
            return violation
    return None


def _check_routes(name: str, service: Service) -> Violation | None:
    routes = service.rules.routes
    base = f"/services/{name}/rules/routes"
    if len(routes) > MAX_ROUTES:
        detail = f"more than {MAX_ROUTES} routes"
        return Violation(kind=ViolationKind.ROUTE, path=base, detail=detail)
    members = (
        _Member(f"{base}/{index}/prefix", route.prefix)
        for index, route in enumerate(routes)
    )
    return _find_duplicate(members, ViolationKind.ROUTE)


def _check_methods(name: str, service: Service) -> Violation | None:
    """Check that a route lists at most 16 methods, each once and in upper case."""
    for index, route in enumerate(service.rules.routes):
        path = f"/services/{name}/rules/routes/{index}/idempotent_methods"
        methods = route.idempotent_methods
        if len(methods) > MAX_METHODS or len(set(methods)) < len(methods):
            detail = f"more than {MAX_METHODS} methods, or one twice"
            return Violation(kind=ViolationKind.METHOD, path=path, detail=detail)
        if not all(METHOD.match(method) for method in methods):
            detail = "not an HTTP method in capitals"
            return Violation(kind=ViolationKind.METHOD, path=path, detail=detail)
    return None


SERVICE_RULES: tuple[ServiceRule, ...] = (
    _check_hosts,
    _check_target_numbers,
    _check_endpoints,
    _check_routes,
    _check_methods,
)


def _check_service(name: str, service: Service) -> Violation | None:
    for rule in SERVICE_RULES:
        violation = rule(name, service)
        if violation is not None:
            return violation
    return None


def _has_duplicates(values: Sequence[Hashable]) -> bool:
    return len(set(values)) < len(values)


def _check_service_numbers(configuration: Configuration) -> Violation | None:
    services = configuration.services
    if not _has_duplicates([service.number for service in services.values()]):
        return None
    members = (
        _Member(f"/services/{name}/number", service.number)
        for name, service in services.items()
    )
    return _find_duplicate(members, ViolationKind.SERVICE_NUMBER)


def _check_addresses(configuration: Configuration) -> Violation | None:
    services = configuration.services
    endpoints = [
        f"{address.host} port {address.port}"
        for service in services.values()
        for address in service.addresses.values()
    ]
    if not _has_duplicates(endpoints):
        return None
    members = (
        _Member(
            f"/services/{name}/addresses/{key}", f"{address.host} port {address.port}"
        )
        for name, service in services.items()
        for key, address in service.addresses.items()
    )
    return _find_duplicate(members, ViolationKind.ADDRESS)


def _check_service_number_reuse(
    old: Configuration, new: Configuration
) -> Violation | None:
    """Check that no QUIC connection ID of ``old`` refers to another service."""
    names = {service.number: name for name, service in old.services.items()}
    for name, service in new.services.items():
        before = old.services.get(name)
        if service is before:
            continue
        path = f"/services/{name}/number"
        if before is not None and before.number != service.number:
            detail = f"was {before.number} and cannot change"
            return Violation(kind=ViolationKind.NUMBER_REUSED, path=path, detail=detail)
        if names.get(service.number, name) != name:
            detail = f"{service.number} belongs to {names[service.number]}"
            return Violation(kind=ViolationKind.NUMBER_REUSED, path=path, detail=detail)
    return None


def _endpoint(target: Target) -> tuple[str, int]:
    return target.agent_host, target.agent_port


def _check_target_number_reuse(
    name: str, old: Service, new: Service
) -> Violation | None:
    """Check that no QUIC connection ID of ``old`` refers to another agent in ``new``.

    The number of an enabled target can go to a target with another agent only after an
    earlier entry has disabled or removed the first target.
    """
    agents = {
        target.number: _endpoint(target)
        for target in old.targets.values()
        if target.state is not TargetState.DISABLED
    }
    for key, target in new.targets.items():
        if agents.get(target.number, _endpoint(target)) != _endpoint(target):
            return Violation(
                kind=ViolationKind.NUMBER_REUSED,
                path=f"/services/{name}/targets/{key}/number",
                detail=f"{target.number} leads to another agent; disable it first",
            )
    return None


def find_violation(old: Configuration, new: Configuration) -> Violation | None:
    """Return the first violation in ``new``, the successor of ``old``.

    Services that are the same object in both are skipped; they were valid in ``old``.
    """
    for name, service in new.services.items():
        before = old.services.get(name)
        if service is before:
            continue
        violation = _check_service(name, service)
        if violation is None and before is not None:
            violation = _check_target_number_reuse(name, before, service)
        if violation is not None:
            return violation
    return (
        _check_service_numbers(new)
        or _check_addresses(new)
        or _check_service_number_reuse(old, new)
    )
