"""Transfer of complete views between processes over TCP.

A view is what one process knows of the fleet's routes and targets.
"""

from trio import (
    BrokenResourceError,
    SocketStream,
    TooSlowError,
    aclose_forcefully,
    fail_after,
    move_on_after,
    open_tcp_stream,
)

__all__ = ["ViewTransferError", "fetch_view", "send_view"]

# Transit time between zones plus encoding, with a margin for slow instances.  A view
# that takes longer is discarded, and the next digest of a peer starts another pull.
TRANSFER_TIMEOUT_S = 0.4
READ_BYTES = 65_536
# The store holds at most 1 MB of configuration; the rest is for targets and encoding.
MAX_VIEW_BYTES = 4_000_000


class ViewTransferError(Exception):
    """A peer did not send its view."""


async def fetch_view(host: str, port: int) -> bytes:
    """Return the encoded view of a peer.

    Raises
    ------
    ViewTransferError
        If the transfer fails, takes too long or exceeds the size limit.
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
                        raise ViewTransferError(f"view exceeds {MAX_VIEW_BYTES} bytes")
    except (OSError, TooSlowError, BrokenResourceError) as error:
        raise ViewTransferError(f"{type(error).__name__}: {error}") from error
    return bytes(data)


async def send_view(stream: SocketStream, data: bytes) -> None:
    """Send a view and close the connection."""
    try:
        with move_on_after(TRANSFER_TIMEOUT_S):
            await stream.send_all(data)
            await stream.aclose()
    except BrokenResourceError:
        # The peer disconnected and will ask another process.
        pass
    finally:
        await aclose_forcefully(stream)
