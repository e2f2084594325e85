"""TCP listener of a process that forwards raw packets."""

from collections.abc import Awaitable, Callable

from trio import SocketStream, open_tcp_listeners, serve_listeners, sleep

from balsamtide.flow_node.binding import BindRetry
from balsamtide.telemetry.line_sink import LineSink

__all__ = ["serve_connections"]


async def serve_connections(
    serve: Callable[[SocketStream], Awaitable[object]],
    address: tuple[str, int],
    *,
    sink: LineSink,
) -> None:
    """Serve TCP connections at an address, once it is available.

    Packets are forwarded without the listener, so that a failure to bind it is retried
    instead of being raised.

    Parameters
    ----------
    serve : callable
        Serves one connection.
    address : tuple of (str, int)
        Local IP address and port.
    sink : LineSink
        Events and metrics.
    """
    host, port = address
    retry = BindRetry(host, port, sink=sink)
    while True:
        try:
            listeners = await open_tcp_listeners(port, host=host)
        except OSError as error:
            await sleep(retry.delay_after(error))
        else:
            await serve_listeners(serve, listeners)
