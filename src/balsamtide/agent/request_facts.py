"""Parsing and validation of request headers."""

from dataclasses import dataclass
from re import Pattern
from re import compile as compile_pattern

from balsamtide.agent.flow_events import RequestOpened
from balsamtide.config.model import Route, Service
from balsamtide.config.routes import match_route
from balsamtide.protocol.headers import (
    ATTEMPT,
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    STAMP,
)
from balsamtide.requests.model import RequestFacts
from balsamtide.requests.runner import RequestHead

__all__ = ["ParsedRequest", "InvalidRequestError", "parse_request"]

MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_KEY_BYTES = 128
KEY_PATTERN = compile_pattern(rb"[\x21-\x7e]{1,%d}" % MAX_KEY_BYTES)
METHOD_PATTERN = compile_pattern(rb"[A-Z]{1,16}")
PATH_PATTERN = compile_pattern(rb"/[\x21-\x7e]{0,8191}")


class InvalidRequestError(ValueError):
    """Raised if the headers of a request are invalid."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ParsedRequest:
    """Request parsed from its headers.

    Parameters
    ----------
    facts : RequestFacts
        Properties that admission decides by.
    head : RequestHead
        Method, path and headers for the target.
    route : Route
        Route that matched the path.
    stamp : bytes or None
        Encoded stamp that the caller sent, if any.
    """

    facts: RequestFacts
    head: RequestHead
    route: Route
    stamp: bytes | None


def parse_request(
    opened: RequestOpened,
    *,
    service_name: str,
    service: Service,
    request_id: str,
    now: float,
) -> ParsedRequest:
    """Parse the headers of a request.

    Parameters
    ----------
    opened : RequestOpened
        Request with its headers.
    service_name : str
        Name of the service.
    service : Service
        Configuration of the service.
    request_id : str
        Identifier of the request.
    now : float
        Arrival time, seconds.

    Raises
    ------
    InvalidRequestError
        If a header is missing or invalid.
    """
    fields = dict(opened.headers)
    method = _match_header(METHOD_PATTERN, fields.get(b":method"), "method")
    path = _match_header(PATH_PATTERN, fields.get(b":path"), "path")
    route = match_route(service, path)
    facts = RequestFacts(
        request_id=request_id,
        service=service_name,
        route=route.prefix,
        method=method,
        is_idempotent=method in route.idempotent_methods,
        key=_read_key(fields.get(IDEMPOTENCY_KEY)),
        attempt=_read_number(fields.get(ATTEMPT), 1, 1, 1000),
        caller=opened.caller.host,
        arrived=now,
        deadline=now + _read_deadline_ms(fields, route) / 1000,
    )
    head = RequestHead(method, path, _without_pseudo_headers(opened))
    return ParsedRequest(facts=facts, head=head, route=route, stamp=fields.get(STAMP))


def _without_pseudo_headers(opened: RequestOpened) -> tuple[tuple[bytes, bytes], ...]:
    return tuple(h for h in opened.headers if not h[0].startswith(b":"))


def _read_deadline_ms(fields: dict[bytes, bytes], route: Route) -> int:
    return _read_number(fields.get(DEADLINE_MS), route.deadline_ms, 0, MAX_DEADLINE_MS)


def _match_header(pattern: Pattern[bytes], value: bytes | None, name: str) -> str:
    if value is None or not pattern.fullmatch(value):
        raise InvalidRequestError(f"invalid {name}")
    return value.decode("ascii")


def _read_key(value: bytes | None) -> str | None:
    return (
        None if value is None else _match_header(KEY_PATTERN, value, "idempotency key")
    )


def _read_number(value: bytes | None, default: int, minimum: int, maximum: int) -> int:
    if value is None:
        return default
    if not value.isdigit() or len(value) > 12 or not minimum <= int(value) <= maximum:
        raise InvalidRequestError("a number is not in its range")
    return int(value)
