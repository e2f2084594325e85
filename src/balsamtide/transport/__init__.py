"""UDP sockets and address conversion."""

from typing import TYPE_CHECKING

from balsamtide.lazy import lazy_names

if TYPE_CHECKING:
    from balsamtide.transport.datagram_socket import DatagramSocket
    from balsamtide.transport.udp_socket import Received, UdpSocket

__all__ = ["DatagramSocket", "Received", "UdpSocket"]

__getattr__ = lazy_names(
    __name__,
    {
        "DatagramSocket": "datagram_socket",
        "Received": "udp_socket",
        "UdpSocket": "udp_socket",
    },
)
