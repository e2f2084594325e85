"""Receiving from a UDP socket in a trio task."""

from trio.lowlevel import checkpoint, wait_readable

from balsamtide.transport.udp_socket import Received, UdpSocket

__all__ = ["receive_batch"]


async def receive_batch(socket: UdpSocket) -> list[Received]:
    """Wait for datagrams and return between one and a full batch."""
    if socket.is_queue_empty:
        await wait_readable(socket.socket)
    else:
        await checkpoint()
    while True:
        batch = socket.receive_queued()
        if batch:
            return batch
        await wait_readable(socket.socket)
