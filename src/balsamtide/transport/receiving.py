"""Receiving from a UDP socket in a trio task."""

from trio.lowlevel import checkpoint, wait_readable

from balsamtide.transport.udp_socket import Received, UdpSocket

__all__ = ["receive_batch"]


async def receive_batch(socket: UdpSocket) -> list[Received]:
    """Wait for datagrams and return between one and a full batch."""
    if socket.is_drained:
        await wait_readable(socket.socket)
    else:
        await checkpoint()
    while True:
        batch = socket.drain()
        if batch:
            return batch
        await wait_readable(socket.socket)
