"""The decision of a balancer about each datagram; it keeps no state of flows."""

from dataclasses import dataclass
from enum import Enum

from balsamtide.protocol.connection_id import ConnectionIdCodec, Destination
from balsamtide.protocol.datagram import DatagramCodec
from balsamtide.protocol.errors import DecodeError
from balsamtide.protocol.messages import Endpoint, Forward
from balsamtide.protocol.quic_header import PacketKind, read_packet_header
from balsamtide.routing.table import RoutingTable, TargetRoute

__all__ = ["DropReason", "Dropped", "Forwarded", "Forwarder"]


class DropReason(Enum):
    """Why a caller's datagram was dropped."""

    NOT_QUIC = "not-quic"
    UNKNOWN_ID = "unknown-id"
    WRONG_SERVICE = "wrong-service"
    NO_TARGET = "no-target"


@dataclass(frozen=True, slots=True)
class Forwarded:
    """A sealed inner datagram and the agent it goes to."""

    destination: tuple[str, int]
    datagram: bytes


@dataclass(frozen=True, slots=True)
class Dropped:
    """A datagram that goes nowhere."""

    reason: DropReason


class Forwarder:
    """Finds the agent for each datagram of a caller.

    Parameters
    ----------
    codec : DatagramCodec
        Seals inner datagrams.
    ids : ConnectionIdCodec
        Reads connection IDs.
    table : RoutingTable
        Targets of the version in force; replaced as a whole.
    version : int
        Version that the table was built from.
    reply_to : Endpoint
        Inner endpoint of this balancer.
    """

    def __init__(
        self,
        *,
        codec: DatagramCodec,
        ids: ConnectionIdCodec,
        table: RoutingTable,
        version: int,
        reply_to: Endpoint,
    ) -> None:
        self.codec = codec
        self.ids = ids
        self.table = table
        self.version = version
        self.reply_to = reply_to

    def use_table(self, table: RoutingTable, version: int) -> None:
        """Route by ``table`` from now on."""
        self.table = table
        self.version = version

    def forward(
        self, datagram: bytes, caller: Endpoint, service: int, address: str
    ) -> Forwarded | Dropped:
        """Decide about one datagram.

        Parameters
        ----------
        datagram : bytes
            What the caller sent.
        caller : Endpoint
            Where it came from.
        service : int
            Number of the service whose address it came to.
        address : str
            Name of that address.
        """
        route = self._route(datagram, service)
        if isinstance(route, DropReason):
            return Dropped(route)
        message = Forward(
            caller, service, address, self.version, 0, 0, self.reply_to, datagram
        )
        agent = route.agent
        return Forwarded((agent.host, agent.port), self.codec.encode(message))

    def _route(self, datagram: bytes, service: int) -> TargetRoute | DropReason:
        try:
            header = read_packet_header(datagram)
        except DecodeError:
            return DropReason.NOT_QUIC
        destination = self.ids.read(header.destination_id)
        if destination is not None:
            return self._route_known(destination, service)
        if header.kind is not PacketKind.INITIAL:
            return DropReason.UNKNOWN_ID
        return self.table.pick(service, header.destination_id) or DropReason.NO_TARGET

    def _route_known(
        self, destination: Destination, service: int
    ) -> TargetRoute | DropReason:
        if destination.service != service:
            return DropReason.WRONG_SERVICE
        return self.table.find(destination) or DropReason.NO_TARGET
