"""UDP socket for trio tasks; each wake-up reads a batch of queued datagrams."""

from balsamtide.protocol.messages import Endpoint
from balsamtide.transport.receiving import receive_batch
from balsamtide.transport.udp_socket import Received, UdpSocket

__all__ = ["DatagramSocket", "Received"]


class DatagramSocket(UdpSocket):
    """Bound, non-blocking UDP socket used by one trio task.

    Parameters
    ----------
    endpoint : Endpoint
        Local address; with port 0 the operating system chooses one.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        super().__init__(endpoint.host, endpoint.port)
        self.endpoint = Endpoint(*self.address)

    async def receive(self) -> list[Received]:
        """Wait for datagrams and return between one and a full batch."""
        return await receive_batch(self)
