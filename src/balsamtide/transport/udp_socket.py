"""Non-blocking UDP socket that is read in batches."""

from socket import AF_INET, AF_INET6, SO_RCVBUF, SO_SNDBUF, SOCK_DGRAM, SOL_SOCKET
from socket import socket as Socket
from typing import Self

__all__ = ["Received", "UdpSocket"]

Received = tuple[bytes, tuple[str, int]]

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 65_535
MAX_BATCH_DATAGRAMS = 64


class UdpSocket:
    """Bound, non-blocking UDP socket.

    Parameters
    ----------
    host : str
        Local IP address.
    port : int
        Local port; with 0 the operating system chooses one.
    """

    def __init__(self, host: str, port: int) -> None:
        family = AF_INET6 if ":" in host else AF_INET
        self.socket = Socket(family, SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, SOCKET_BUFFER_BYTES)
        self.socket.setsockopt(SOL_SOCKET, SO_SNDBUF, SOCKET_BUFFER_BYTES)
        try:
            self.socket.bind((host, port))
        except OSError as error:
            self.socket.close()
            endpoint = f"{host}:{port}"
            raise OSError(error.errno, f"{error.strerror}: {endpoint}") from error
        self.address: tuple[str, int] = self.socket.getsockname()[:2]
        self.send_failures = 0
        self.is_queue_empty = False

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def receive_queued(self) -> list[Received]:
        """Return datagrams that the kernel has queued, at most one batch of them."""
        batch: list[Received] = []
        receive = self.socket.recvfrom
        self.is_queue_empty = False
        try:
            for _ in range(MAX_BATCH_DATAGRAMS):
                data, source = receive(MAX_DATAGRAM_BYTES)
                batch.append((data, source[:2]))
        except BlockingIOError:
            self.is_queue_empty = True
        except ConnectionError:
            # ICMP error caused by an earlier send; the next call reads what is queued.
            pass
        return batch

    def send(self, data: bytes, destination: tuple[str, int]) -> bool:
        """Send one datagram; return False if the kernel rejected it."""
        try:
            self.socket.sendto(data, destination)
        except OSError:
            # UDP senders have to tolerate loss, so the datagram isn't queued.
            self.send_failures += 1
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()
