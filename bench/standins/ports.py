"""Free ports on loopback."""

from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket

__all__ = ["free_port"]


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free for UDP and TCP at the moment."""
    while True:
        with socket(AF_INET, SOCK_DGRAM) as udp, socket(AF_INET, SOCK_STREAM) as tcp:
            udp.bind((host, 0))
            port = udp.getsockname()[1]
            try:
                tcp.bind((host, port))
            except OSError:
                continue
            return port
