"""Free ports on loopback, below the range from which the system itself chooses.

Each process takes ports from a range of its own, so that tests that run side by side
do not take a port between its check and its use.
"""

from itertools import count
from os import getpid
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket

__all__ = ["EVERY_HOST", "free_port"]

FIRST_PORT = 10_000
RANGES = 88
RANGE_PORTS = 250

# No socket has a port on any address if it can be bound on all of them.
EVERY_HOST = "0.0.0.0"
_turns = count()


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free for UDP and TCP at the moment.

    With `EVERY_HOST` it is free on all loopback addresses.
    """
    first = FIRST_PORT + getpid() % RANGES * RANGE_PORTS
    while True:
        port = first + next(_turns) % RANGE_PORTS
        with socket(AF_INET, SOCK_DGRAM) as udp, socket(AF_INET, SOCK_STREAM) as tcp:
            try:
                udp.bind((host, port))
                tcp.bind((host, port))
            except OSError:
                continue
            return port
