"""Sockets that tasks own."""

from balsamtide.transport.datagram_socket import DatagramSocket, Received

__all__ = ["DatagramSocket", "Received"]
