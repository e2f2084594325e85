"""CPU time of one datagram at a balancer and of its codec."""

from collections.abc import Iterator
from time import process_time

from balsamtide.balancer.forwarder import Forwarder
from balsamtide.config.model import Configuration, Service, Target
from balsamtide.protocol.connection_id import ConnectionIdCodec, Destination, IdKeys
from balsamtide.protocol.datagram import DatagramCodec, MacKeys
from balsamtide.protocol.messages import Endpoint, Forward, Reply
from balsamtide.routing.table import build_table
from bench.figures import Figure
from bench.sampling import Slope, fit, slope_figures

PAYLOADS = (100, 600, 1200)
COUNTS = (1000, 2000, 4000)
US_PER_S = 1_000_000.0
CALLER = Endpoint("10.0.0.1", 4000)
BALANCER = Endpoint("10.0.1.1", 5000)
TARGETS = 9


def _configuration() -> Configuration:
    targets = {
        f"t{n}": Target(
            number=n,
            zone="a",
            host="10.0.2.1",
            port=80,
            agent_host="10.0.2.1",
            agent_port=5000 + n,
            agent_rpc_port=6000 + n,
        )
        for n in range(1, TARGETS + 1)
    }
    return Configuration(services={"s": Service(number=1, targets=targets)})


def _forwarder(ids: ConnectionIdCodec, codec: DatagramCodec) -> Forwarder:
    table = build_table(_configuration(), version=1, is_eligible=lambda *_: True)
    return Forwarder(codec=codec, ids=ids, table=table, version=1, reply_to=BALANCER)


class Packets:
    """Prepared packets of one payload size."""

    def __init__(self, size: int) -> None:
        ids = ConnectionIdCodec(IdKeys(current=0, keys={0: b"i" * 16}))
        self.codec = DatagramCodec(MacKeys(current=1, keys={1: b"k" * 32}))
        self.forwarder = _forwarder(ids, self.codec)
        self.packet = b"\x40" + ids.issue(Destination(1, 3)) + b"p" * (size - 18)
        first_id = b"\x08" + b"abcdefgh" + b"\x00"
        self.initial = b"\xc0\x00\x00\x00\x01" + first_id + b"p" * (size - 15)
        forward = Forward(CALLER, 1, "a", 1, 0, 0, BALANCER, self.packet)
        self.forward_octets = self.codec.encode(forward)
        self.reply = Reply(CALLER, 1, "a", self.packet)
        self.reply_octets = self.codec.encode(self.reply)

    def forward(self) -> None:
        """Route and seal a datagram of an open flow."""
        self.forwarder.forward(self.packet, CALLER, 1, "a")

    def first(self) -> None:
        """Route and seal a first datagram."""
        self.forwarder.forward(self.initial, CALLER, 1, "a")

    def open_forward(self) -> None:
        """Open an inner datagram at the agent."""
        self.codec.decode(self.forward_octets)

    def seal_reply(self) -> None:
        """Seal a reply at the agent."""
        self.codec.encode(self.reply)

    def open_reply(self) -> None:
        """Open a reply at the balancer."""
        self.codec.decode(self.reply_octets)


STEPS = {
    "packet: balancer routes and seals": Packets.forward,
    "packet: balancer routes and seals a first one": Packets.first,
    "packet: balancer opens a reply": Packets.open_reply,
    "packet: agent opens": Packets.open_forward,
    "packet: agent seals a reply": Packets.seal_reply,
}


def _slope(name: str, size: int) -> Slope:
    packets = Packets(size)
    step = STEPS[name]

    def cost(count: int) -> float:
        start = process_time()
        for _ in range(count):
            step(packets)
        return process_time() - start

    cost(COUNTS[0])
    return fit(cost, COUNTS)


def figures() -> Iterator[Figure]:
    """Measure each step at several payload sizes."""
    for name in STEPS:
        for size in PAYLOADS:
            slope = _slope(name, size)
            label = f"{name}, {size} B"
            yield from slope_figures(label, slope, unit="us CPU", scale=US_PER_S)
