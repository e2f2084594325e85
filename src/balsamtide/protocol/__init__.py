"""The inner protocol: messages, envelopes, connection IDs and verdicts.

Names load on first use, so that a process pays only for the parts that it needs.
"""

from typing import TYPE_CHECKING

from balsamtide.lazy import lazy_names

if TYPE_CHECKING:
    from balsamtide.protocol.actions import Send
    from balsamtide.protocol.connection_id import (
        ConnectionIdCodec,
        Destination,
        IdKeys,
    )
    from balsamtide.protocol.datagram import DatagramCodec, MacKeys
    from balsamtide.protocol.errors import DecodeError, DecodeFault
    from balsamtide.protocol.verdict import Verdict

__all__ = [
    "ConnectionIdCodec",
    "DatagramCodec",
    "DecodeError",
    "DecodeFault",
    "Destination",
    "IdKeys",
    "MacKeys",
    "Send",
    "Verdict",
]

__getattr__ = lazy_names(
    __name__,
    {
        "ConnectionIdCodec": "connection_id",
        "DatagramCodec": "datagram",
        "DecodeError": "errors",
        "DecodeFault": "errors",
        "Destination": "connection_id",
        "IdKeys": "connection_id",
        "MacKeys": "datagram",
        "Send": "actions",
        "Verdict": "verdict",
    },
)
