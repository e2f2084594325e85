"""Socket for inner datagrams between processes."""

from collections.abc import Callable, Sequence

from trio import current_time

from balsamtide.node.events import INNER_DATAGRAM_REFUSED
from balsamtide.node.metrics import INNER_DROPPED
from balsamtide.protocol.actions import Send
from balsamtide.protocol.datagram import DatagramCodec
from balsamtide.protocol.errors import DecodeError
from balsamtide.protocol.messages import Endpoint, Forward, Message, Reply
from balsamtide.telemetry.sink import Sink
from balsamtide.transport.datagram_socket import DatagramSocket

__all__ = ["InnerLink", "MessageHandler"]

MessageHandler = Callable[[Message, Endpoint, float], None]


class InnerLink:
    """Decodes and dispatches received inner datagrams, and encodes sent messages.

    Parameters
    ----------
    socket : DatagramSocket
        Bound socket, owned by this link.
    codec : DatagramCodec
        Seals and opens datagrams.
    sink : Sink
        Events and metrics.
    on_data, on_control : callable
        Handlers of forwarded datagrams and of all other messages; called with message,
        source and time.
    """

    def __init__(
        self,
        *,
        socket: DatagramSocket,
        codec: DatagramCodec,
        sink: Sink,
        on_data: MessageHandler,
        on_control: MessageHandler,
    ) -> None:
        self.socket = socket
        self.codec = codec
        self.sink = sink
        self.on_data = on_data
        self.on_control = on_control

    @property
    def endpoint(self) -> Endpoint:
        """Local endpoint."""
        return self.socket.endpoint

    async def run(self) -> None:
        """Receive datagrams until cancelled."""
        while True:
            for datagram, source in await self.socket.receive():
                self._receive(datagram, Endpoint(*source))

    def _receive(self, datagram: bytes, source: Endpoint) -> None:
        try:
            message = self.codec.decode(datagram)
        except DecodeError as error:
            reason = error.fault.value
            self.sink.count(INNER_DROPPED, reason=reason)
            self.sink.event(
                INNER_DATAGRAM_REFUSED,
                reason=reason,
                source=f"{source.host}:{source.port}",
            )
            return
        is_data = isinstance(message, Forward | Reply)
        handler = self.on_data if is_data else self.on_control
        handler(message, source, current_time())

    def send(self, sends: Sequence[Send]) -> None:
        """Send messages; datagrams that the kernel rejects are lost."""
        for item in sends:
            destination = (item.destination.host, item.destination.port)
            self.socket.send(self.codec.encode(item.message), destination)
