"""Conversion between dotted IPv4 addresses and integers.

`ipaddress` objects are too slow for the packet path.
"""

from socket import inet_aton, inet_ntoa

__all__ = ["format_ipv4", "parse_ipv4"]


def parse_ipv4(text: str) -> int:
    """Return a dotted IPv4 address as an integer.

    Raises
    ------
    ValueError
        If ``text`` is not an IPv4 address of four dotted parts.
    """
    try:
        number = int.from_bytes(inet_aton(text), "big")
    except OSError as error:
        raise ValueError(f"not an IPv4 address: {text!r}") from error
    if text.count(".") != 3:
        raise ValueError(f"not an IPv4 address: {text!r}")
    return number


def format_ipv4(host: int) -> str:
    """Return an integer as a dotted IPv4 address."""
    return inet_ntoa(host.to_bytes(4, "big"))
