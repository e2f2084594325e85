"""The inner datagram socket of a process."""

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

__all__ = ["Handler", "InnerLink"]

Handler = Callable[[Message, Endpoint, float], None]


class InnerLink:
    """Opens inner datagrams, hands them out by kind, and seals what is sent.

    Parameters
    ----------
    socket : DatagramSocket
        Owned by this link from now on.
    codec : DatagramCodec
        Seals and opens.
    sink : Sink
        Where events and counts go.
    on_data, on_control : callable
        Take forwarded datagrams and all other messages, with source and time.
    """

    def __init__(
        self,
        *,
        socket: DatagramSocket,
        codec: DatagramCodec,
        sink: Sink,
        on_data: Handler,
        on_control: Handler,
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
        """Receive until cancelled."""
        while True:
            for datagram, source in await self.socket.receive():
                self._take(datagram, Endpoint(*source))

    def _take(self, datagram: bytes, source: Endpoint) -> None:
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
        """Send messages; what the kernel does not take is lost, as on any path."""
        for item in sends:
            destination = (item.destination.host, item.destination.port)
            self.socket.send(self.codec.encode(item.message), destination)
