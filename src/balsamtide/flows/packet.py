"""Packets of flows and the interface of a platform's packet codec."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from struct import Struct

from balsamtide.transport.addresses import format_ipv4

__all__ = [
    "SEQUENCE_MODULUS",
    "ClientAddress",
    "FlowPacket",
    "FlowPacketError",
    "PacketCodec",
    "flow_key",
    "format_key",
    "sequence_distance",
    "service_address",
]

KEY = Struct(">IHIH")
SEQUENCE_MODULUS = 1 << 32

# IPv4 address as a number, and port.
ClientAddress = tuple[int, int]


class FlowPacketError(ValueError):
    """Raised for bytes that are not a valid packet."""


@dataclass(frozen=True, slots=True)
class FlowPacket:
    """A decoded packet.

    Parameters
    ----------
    source, destination : tuple of (int, int)
        IPv4 address as a number, and port.
    is_syn, is_ack, is_fin, is_reset : bool
        Flags as in TCP.
    is_returned : bool
        The target returned this packet of a client because it can't process it.
    sequence : int
        Sequence number of the first byte of the data.
    acknowledgement : int
        Next sequence number that the sender expects.  A client's SYN holds the
        number of its earlier transmissions in this field instead.
    length : int
        Bytes of data.
    raw : bytes
        The encoded packet.
    is_full : bool
        The data has the maximum size, which means that more of the same request
        follows.  A request of an exact multiple of it is taken for incomplete.
    age_s : float
        Seconds since the first transmission, derived from the packet; 0 except for
        a SYN.
    """

    source: ClientAddress
    destination: ClientAddress
    is_syn: bool
    is_ack: bool
    is_fin: bool
    is_reset: bool
    is_returned: bool
    sequence: int
    acknowledgement: int
    length: int
    raw: bytes
    is_full: bool = False
    age_s: float = 0.0

    @property
    def is_opening(self) -> bool:
        """Whether this is a client's SYN, which opens a flow."""
        return self.is_syn and not self.is_ack

    @property
    def client_key(self) -> bytes:
        """Key of the flow, for a packet that a client sent."""
        return flow_key(self.source, self.destination)

    @property
    def target_key(self) -> bytes:
        """Key of the flow, for a packet that a target sent."""
        return flow_key(self.destination, self.source)


def flow_key(client: ClientAddress, service: ClientAddress) -> bytes:
    """Return the 12 bytes that identify a flow."""
    return KEY.pack(*client, *service)


def service_address(key: bytes) -> ClientAddress:
    """Return the address and port of the service in a flow's key."""
    _, _, address, port = KEY.unpack(key)
    return address, port


def format_key(key: bytes) -> str:
    """Return a flow's key as ``client:port>service:port`` for logs."""
    client, client_port, service, service_port = KEY.unpack(key)
    return f"{format_ipv4(client)}:{client_port}>{format_ipv4(service)}:{service_port}"


def sequence_distance(later: int, earlier: int) -> int:
    """Return how far ``later`` is ahead of ``earlier``, modulo 2**32."""
    return (later - earlier) % SEQUENCE_MODULUS


class PacketCodec(ABC):
    """Translates between a platform's packets and `FlowPacket`."""

    @abstractmethod
    def decode(self, data: bytes) -> FlowPacket:
        """Decode a packet.

        Raises
        ------
        FlowPacketError
            If the bytes are too short, too long or contradict themselves.
        """

    @abstractmethod
    def reset(self, packet: FlowPacket) -> bytes:
        """Build the RST that ends the flow of a client's ``packet``."""

    @abstractmethod
    def restore_returned(self, data: bytes) -> bytes:
        """Return a packet that a target returned in the form that its client sent."""
