"""Stateless routing of each datagram that a balancer receives.

A bounded cache from connection ID to route avoids repeated decryption; entries can be
evicted at any time.
"""

from dataclasses import dataclass
from enum import Enum

from balsamtide.protocol.connection_id import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
    Destination,
)
from balsamtide.protocol.datagram import DatagramCodec, ForwardHeader
from balsamtide.protocol.errors import DecodeError
from balsamtide.protocol.messages import Endpoint
from balsamtide.protocol.quic_header import PacketKind, read_packet_header
from balsamtide.routing.table import RoutingTable, TargetRoute

__all__ = ["DropReason", "Dropped", "Forwarded", "Forwarder"]

LONG_HEADER = b"\x80"
ID_END = 1 + CONNECTION_ID_BYTES
MAX_CACHED_ROUTES = 8192


class DropReason(Enum):
    """Why a caller's datagram was dropped."""

    NOT_QUIC = "not-quic"
    UNKNOWN_ID = "unknown-id"
    WRONG_SERVICE = "wrong-service"
    NO_TARGET = "no-target"


@dataclass(frozen=True, slots=True)
class Forwarded:
    """Sealed inner datagram and the address of the agent that receives it."""

    destination: tuple[str, int]
    datagram: bytes


@dataclass(frozen=True, slots=True)
class Dropped:
    """Result for a datagram that is not forwarded."""

    reason: DropReason


class Forwarder:
    """Selects the agent for each datagram of a caller.

    Parameters
    ----------
    codec : DatagramCodec
        Seals inner datagrams.
    ids : ConnectionIdCodec
        Decodes connection IDs.
    table : RoutingTable
        Targets of the configuration in force; replaced as a whole.
    version : int
        Configuration version from which the table was built.
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
        self.route_cache: dict[bytes, TargetRoute] = {}

    def use_table(self, table: RoutingTable, version: int) -> None:
        """Replace the routing table and clear the route cache."""
        self.table = table
        self.version = version
        self.route_cache.clear()

    def forward(
        self,
        datagram: bytes,
        caller: Endpoint,
        service: int,
        address: str,
        *,
        elapsed_us: int = 0,
    ) -> Forwarded | Dropped:
        """Route one datagram.

        Parameters
        ----------
        datagram : bytes
            Payload that the caller sent.
        caller : Endpoint
            Source of the datagram.
        service : int
            Number of the service whose address received the datagram.
        address : str
            Name of that address.
        elapsed_us : int
            Time since the datagram was received, microseconds.
        """
        # The cache is used only for short headers, in which the ID follows the first
        # byte and is the same for the whole flow.  Their first bits are 01, of which
        # only the 0 is checked here.
        cached = (
            self.route_cache.get(datagram[1:ID_END])
            if datagram[:1] < LONG_HEADER
            else None
        )
        if cached is not None and cached.service == service:
            route: TargetRoute | DropReason = cached
        else:
            route = self._find_route(datagram, service)
        if isinstance(route, DropReason):
            return Dropped(route)
        # The 0 is the hop count: no agent has passed the datagram on.
        header = ForwardHeader(
            caller, service, address, self.version, 0, elapsed_us, self.reply_to
        )
        agent = route.agent
        return Forwarded((agent.host, agent.port), self.codec.seal(header, datagram))

    def _find_route(self, datagram: bytes, service: int) -> TargetRoute | DropReason:
        try:
            header = read_packet_header(datagram)
        except DecodeError:
            return DropReason.NOT_QUIC
        destination = self.ids.read(header.destination_id)
        if destination is not None:
            return self._find_by_id(header.destination_id, destination, service)
        if header.kind is not PacketKind.INITIAL:
            return DropReason.UNKNOWN_ID
        return self.table.pick(service, header.destination_id) or DropReason.NO_TARGET

    def _find_by_id(
        self, connection_id: bytes, destination: Destination, service: int
    ) -> TargetRoute | DropReason:
        if destination.service != service:
            return DropReason.WRONG_SERVICE
        route = self.table.find(destination)
        if route is None:
            return DropReason.NO_TARGET
        if len(self.route_cache) >= MAX_CACHED_ROUTES:
            self.route_cache.clear()
        self.route_cache[connection_id] = route
        return route
