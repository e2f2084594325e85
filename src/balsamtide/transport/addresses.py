"""IPv4 addresses as numbers, without the cost of address objects."""

from socket import inet_aton, inet_ntoa

__all__ = ["format_ipv4", "parse_ipv4"]


def parse_ipv4(text: str) -> int:
    """Return an IPv4 address in dotted form as a number.

    Raises
    ------
    ValueError
        If it is not one.
    """
    try:
        number = int.from_bytes(inet_aton(text), "big")
    except OSError as error:
        raise ValueError(f"not an IPv4 address: {text!r}") from error
    if text.count(".") != 3:
        raise ValueError(f"not an IPv4 address: {text!r}")
    return number


def format_ipv4(host: int) -> str:
    """Return an IPv4 address in dotted form."""
    return inet_ntoa(host.to_bytes(4, "big"))
