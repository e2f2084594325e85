"""MessagePack as grpclib's codec, and the description of our RPC services.

grpclib runs on trio-asyncio.  A service is a class with a ``__mapping__`` method, as
in grpclib's generated code; requests and replies are frozen msgspec structs.
"""

from typing import Any

from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from msgspec import DecodeError as MsgspecDecodeError
from msgspec import ValidationError
from msgspec.msgpack import decode, encode

from balsamtide.protocol.errors import DecodeError, DecodeFault

__all__ = ["RPC_ERRORS", "RpcCodec"]

# Everything that a call can raise when the peer or the way to it fails.  grpclib
# deletes the transport of a connection that closes, so a call that begins at that
# moment ends with AttributeError.
RPC_ERRORS = (
    AttributeError,
    DecodeError,
    GRPCError,
    OSError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
)


class RpcCodec(CodecBase):
    """Encodes msgspec structs as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the octets of ``message``."""
        return encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the message of type ``message_type`` in ``data``.

        Raises
        ------
        DecodeError
            If the octets are not a valid message of that type.
        """
        try:
            return decode(data, type=message_type)
        except (ValidationError, MsgspecDecodeError, RecursionError) as error:
            raise DecodeError(DecodeFault.MALFORMED, str(error)) from error
