"""Whole views between processes, over TCP."""

from trio import (
    BrokenResourceError,
    SocketStream,
    TooSlowError,
    aclose_forcefully,
    fail_after,
    move_on_after,
    open_tcp_stream,
)

__all__ = ["ViewTransferError", "fetch", "hand_out"]

# One way between zones and the time of an encoding, with room for a slow instance.
TRANSFER_TIMEOUT_S = 0.4
READ_BYTES = 65_536
# A megabyte of configuration is the most that the store holds.
MAX_VIEW_BYTES = 4_000_000


class ViewTransferError(Exception):
    """A peer did not hand out its view."""


async def fetch(host: str, port: int) -> bytes:
    """Return the octets that a peer hands out.

    Raises
    ------
    ViewTransferError
        If the peer does not answer in time.
    """
    data = bytearray()
    try:
        with fail_after(TRANSFER_TIMEOUT_S):
            async with await open_tcp_stream(
                host, port, happy_eyeballs_delay=None
            ) as stream:
                while chunk := await stream.receive_some(READ_BYTES):
                    data += chunk
                    if len(data) > MAX_VIEW_BYTES:
                        raise ViewTransferError("too many octets")
    except (OSError, TooSlowError, BrokenResourceError) as error:
        raise ViewTransferError(f"{type(error).__name__}: {error}") from error
    return bytes(data)


async def hand_out(stream: SocketStream, data: bytes) -> None:
    """Send a view and close the connection."""
    try:
        with move_on_after(TRANSFER_TIMEOUT_S):
            await stream.send_all(data)
            await stream.aclose()
    except BrokenResourceError:
        # The peer went away and asks another one.
        pass
    finally:
        await aclose_forcefully(stream)
