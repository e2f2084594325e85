"""Binding of sockets to addresses that may be in use for a while.

A process that has not ended yet can hold an address.  If its successor ended because of
that, it would be started again and end again until the address is free.
"""

from collections.abc import Callable
from math import inf
from time import sleep

from balsamtide.flow_node.events import ADDRESS_UNAVAILABLE
from balsamtide.flow_node.metrics import BIND_FAILURES
from balsamtide.telemetry.line_sink import LineSink
from balsamtide.transport.udp_socket import UdpSocket

__all__ = ["BindRetry", "SocketBinder", "StopRequestedError"]

# Delay of the next attempt, doubled after each one up to the maximum, which also bounds
# how long a planned stop has to wait.
MIN_DELAY_S = 0.05
MAX_DELAY_S = 1.0


class StopRequestedError(Exception):
    """Raised if a planned stop is requested while an address is unavailable."""


class BindRetry:
    """Reports failed attempts to bind an address and paces the next ones.

    Parameters
    ----------
    host : str
        Local IP address.
    port : int
        Local port.
    sink : LineSink
        Events and metrics.
    """

    def __init__(self, host: str, port: int, *, sink: LineSink) -> None:
        self.address = f"{host}:{port}"
        self.sink = sink
        self.delay_s = MIN_DELAY_S

    def delay_after(self, error: OSError) -> float:
        """Report a failed attempt; return the delay of the next one in seconds."""
        delay_s = self.delay_s
        self.delay_s = min(MAX_DELAY_S, 2 * delay_s)
        self.sink.count(BIND_FAILURES)
        self.sink.event(
            ADDRESS_UNAVAILABLE,
            address=self.address,
            reason=error.strerror or str(error),
            retry_ms=round(delay_s * 1000),
        )
        return delay_s


class SocketBinder:
    """Binds the UDP sockets of a process that starts.

    Parameters
    ----------
    sink : LineSink
        Events and metrics; flushed before each delay.
    stop_requested_at : callable
        Returns when a planned stop was requested, infinity if none was.
    """

    def __init__(
        self, sink: LineSink, *, stop_requested_at: Callable[[], float]
    ) -> None:
        self.sink = sink
        self.stop_requested_at = stop_requested_at

    def bind(self, host: str, port: int) -> UdpSocket:
        """Return a socket that is bound to an address, once it is available.

        Raises
        ------
        StopRequestedError
            If a planned stop is requested meanwhile.
        """
        retry = BindRetry(host, port, sink=self.sink)
        while True:
            try:
                return UdpSocket(host, port)
            except OSError as error:
                delay_s = retry.delay_after(error)
            if self.stop_requested_at() < inf:
                raise StopRequestedError(f"while {host}:{port} was unavailable")
            self.sink.flush()
            sleep(delay_s)
