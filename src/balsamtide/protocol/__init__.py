"""The inner protocol: messages, envelopes, connection IDs and verdicts."""

from balsamtide.protocol.actions import Send
from balsamtide.protocol.connection_id import ConnectionIdCodec, Destination, IdKeys
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
