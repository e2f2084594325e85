"""Errors raised by the codecs of the inner protocol."""

from enum import Enum

__all__ = ["DecodeError", "DecodeFault"]


class DecodeFault(Enum):
    """Why a datagram or identifier was rejected."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    UNKNOWN_VERSION = "unknown-version"
    UNKNOWN_KEY = "unknown-key"
    BAD_MAC = "bad-mac"
    MALFORMED = "malformed"


class DecodeError(ValueError):
    """Bytes that are not a valid message.

    Parameters
    ----------
    fault : DecodeFault
        The class of the fault, for counters.
    detail : str
        What was found, without any payload.
    """

    def __init__(self, fault: DecodeFault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault
        self.detail = detail
