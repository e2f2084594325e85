"""Converters from the text of a setting to its value.

A converter knows what it allows, for messages and for the reference.
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
    "NAME",
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

NAME = compile_pattern(r"[a-z0-9][a-z0-9.-]{0,62}\Z")
DIGITS = compile_pattern(r"[0-9]{1,18}\Z")
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Converter(Generic[Value]):
    """A conversion with a description of what it allows.

    Parameters
    ----------
    convert : callable
        Returns the value of a text, or raises `ValueError`.
    allowed : str
        What is allowed, as the end of a sentence.
    """

    convert: Callable[[str], Value]
    allowed: str


def _require(condition: object, value: Value) -> Value:
    if not condition:
        raise ValueError
    return value


def _host(found: str) -> str:
    address = ip_address(found)
    return _require(not address.is_multicast and "%" not in found, str(address))


def _endpoint(found: str) -> Endpoint:
    host, separator, port = found.rpartition(":")
    number = _require(separator and DIGITS.match(port), int(port or 0))
    _require(1 <= number <= MAX_PORT, number)
    if host.startswith("[") and host.endswith("]"):
        return Endpoint(_require(":" in host, _host(host[1:-1])), number)
    return Endpoint(_require(":" not in host, _host(host)), number)


def _http_url(found: str) -> str:
    parts = urlsplit(found)
    _require(parts.scheme in ("http", "https") and parts.hostname, found)
    _require(parts.username is None and not parts.query and not parts.fragment, found)
    _require(parts.port is None or parts.port > 0, found)
    return found.rstrip("/")


def path() -> Converter[str]:
    """Convert the path of a file."""
    return Converter(
        lambda found: _require(found and "\0" not in found, found),
        "the path of a file",
    )


def name() -> Converter[str]:
    """Convert a name as the configuration uses it."""
    return Converter(
        lambda found: _require(NAME.match(found), found),
        "1 to 63 of a-z, 0-9, dot and hyphen, with a letter or digit first",
    )


def one_of(*values: str) -> Converter[str]:
    """Convert one of some words."""
    return Converter(
        lambda found: _require(found in values, found), " or ".join(values)
    )


def member_of(kind: type[Member]) -> Converter[Member]:
    """Convert the value of a member of an enumeration."""
    return Converter(kind, " or ".join(str(member.value) for member in kind))


def integer(low: int, high: int) -> Converter[int]:
    """Convert a whole number between two bounds, both included."""
    return Converter(
        lambda found: _require(
            DIGITS.match(found) and low <= int(found) <= high, int(found)
        ),
        f"a whole number from {low} to {high}",
    )


def seconds(high: float) -> Converter[float]:
    """Convert a positive number of seconds."""
    return Converter(
        lambda found: _require(
            isfinite(float(found)) and 0 < float(found) <= high, float(found)
        ),
        f"seconds, more than 0 and up to {high:g}",
    )


def endpoint() -> Converter[Endpoint]:
    """Convert an IP address with a port, as others reach it."""
    return Converter(
        lambda found: _require(
            not ip_address(_endpoint(found).host).is_unspecified, _endpoint(found)
        ),
        f"IPV4:PORT or [IPV6]:PORT of one address, port 1 to {MAX_PORT}",
    )


def listener() -> Converter[Endpoint]:
    """Convert an IP address with a port to listen on; it can stand for all."""
    return Converter(_endpoint, f"IPV4:PORT or [IPV6]:PORT, port 1 to {MAX_PORT}")


def http_url() -> Converter[str]:
    """Convert the base URL of an HTTP service."""
    return Converter(_http_url, "an http or https URL without user, query and fragment")
