"""Converters that validate the text of a setting and return its value.

Each has a description of the allowed texts, for error messages and the reference.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from ipaddress import ip_address
from math import isfinite
from re import compile as compile_pattern
from typing import Generic, TypeVar
from urllib.parse import urlsplit

from balsamtide.protocol.messages import Endpoint

__all__ = [
    "NAME_PATTERN",
    "Converter",
    "endpoint",
    "http_url",
    "integer",
    "listener",
    "member_of",
    "name",
    "one_of",
    "path",
    "seconds",
]

Value = TypeVar("Value")
Member = TypeVar("Member", bound=Enum)

NAME_PATTERN = compile_pattern(r"[a-z0-9][a-z0-9.-]{0,62}\Z")
DIGITS_PATTERN = compile_pattern(r"[0-9]{1,18}\Z")
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Converter(Generic[Value]):
    """Convert and validate the text of a setting.

    Parameters
    ----------
    convert : callable
        Takes the text and returns the value; raises `ValueError` if it is invalid.
    allowed : str
        Description of the allowed texts, without a period at the end.
    """

    convert: Callable[[str], Value]
    allowed: str


def _value_if(condition: object, value: Value) -> Value:
    """Return ``value``, or raise `ValueError` if the condition is false.

    Both arguments are evaluated before the check and may raise `ValueError` too.
    """
    if not condition:
        raise ValueError
    return value


def _parse_ip_address(text: str) -> str:
    """Return a normalized IP address; multicast and scoped ones are invalid."""
    address = ip_address(text)
    return _value_if(not address.is_multicast and "%" not in text, str(address))


def _parse_endpoint(text: str) -> Endpoint:
    host, separator, port = text.rpartition(":")
    port_number = _value_if(separator and DIGITS_PATTERN.match(port), int(port or 0))
    _value_if(1 <= port_number <= MAX_PORT, port_number)
    if host.startswith("[") and host.endswith("]"):
        return Endpoint(
            _value_if(":" in host, _parse_ip_address(host[1:-1])), port_number
        )
    return Endpoint(_value_if(":" not in host, _parse_ip_address(host)), port_number)


def _parse_http_url(text: str) -> str:
    parts = urlsplit(text)
    _value_if(parts.scheme in ("http", "https") and parts.hostname, text)
    _value_if(parts.username is None and not parts.query and not parts.fragment, text)
    _value_if(parts.port is None or parts.port > 0, text)
    return text.rstrip("/")


def path() -> Converter[str]:
    """Return a converter of file paths."""
    return Converter(
        lambda text: _value_if(text and "\0" not in text, text),
        "the path of a file",
    )


def name() -> Converter[str]:
    """Return a converter of names.

    Names of services, addresses and targets in the platform's configuration have the
    same syntax.
    """
    return Converter(
        lambda text: _value_if(NAME_PATTERN.match(text), text),
        "1 to 63 of a-z, 0-9, dot and hyphen, with a letter or digit first",
    )


def one_of(*values: str) -> Converter[str]:
    """Return a converter that accepts only the given texts."""
    return Converter(lambda text: _value_if(text in values, text), " or ".join(values))


def member_of(enum: type[Member]) -> Converter[Member]:
    """Return a converter from the value of an enumeration member to the member."""
    return Converter(enum, " or ".join(str(member.value) for member in enum))


def integer(minimum: int, maximum: int) -> Converter[int]:
    """Return a converter of integers from ``minimum`` to ``maximum``, inclusive."""
    return Converter(
        lambda text: _value_if(
            DIGITS_PATTERN.match(text) and minimum <= int(text) <= maximum, int(text)
        ),
        f"an integer from {minimum} to {maximum}",
    )


def seconds(maximum: float) -> Converter[float]:
    """Return a converter of durations above 0 and up to ``maximum`` seconds."""
    return Converter(
        lambda text: _value_if(
            isfinite(float(text)) and 0 < float(text) <= maximum, float(text)
        ),
        f"seconds, greater than 0 and at most {maximum:g}",
    )


def endpoint() -> Converter[Endpoint]:
    """Return a converter of endpoints, wildcard addresses excluded."""
    return Converter(
        lambda text: _value_if(
            not ip_address(_parse_endpoint(text).host).is_unspecified,
            _parse_endpoint(text),
        ),
        "IPV4:PORT or [IPV6]:PORT, not multicast, without scope (%), "
        f"not 0.0.0.0 or [::], port 1 to {MAX_PORT}",
    )


def listener() -> Converter[Endpoint]:
    """Return a converter of endpoints to listen on, wildcard addresses included."""
    return Converter(
        _parse_endpoint,
        "IPV4:PORT or [IPV6]:PORT, not multicast, without scope (%), "
        f"port 1 to {MAX_PORT}",
    )


def http_url() -> Converter[str]:
    """Return a converter of base URLs of HTTP services."""
    return Converter(
        _parse_http_url, "an http or https URL without user, query or fragment"
    )
