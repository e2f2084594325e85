"""A flow engine and callers connected in memory, on a simulated clock."""

from functools import cache
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from balsamtide.agent.connection import ResetTokens, RoutableConnection
from balsamtide.agent.flow_admission import FlowLimits
from balsamtide.agent.flow_engine import (
    FlowEngine,
    make_quic_configuration,
)
from balsamtide.agent.flow_events import FlowEvent
from balsamtide.agent.return_path import BalancerLeases
from balsamtide.agent.steering import NoSteering, Steering
from balsamtide.caller.flow import CallerEvent, CallerFlow, make_caller_configuration
from balsamtide.protocol.connection_id import ConnectionIdCodec, Destination, IdKeys
from balsamtide.protocol.messages import Endpoint, Forward, Reply
from balsamtide.telemetry.memory_sink import MemorySink
from bench.standins.certificates import write_certificates

BALANCER = Endpoint("127.0.0.1", 7)
OTHER_BALANCER = Endpoint("127.0.0.1", 8)
SERVICE_ADDRESS = Endpoint("127.0.0.1", 443)
SERVER_NAME = "service.test"
ID_KEYS = IdKeys(current=0, keys={0: b"i" * 16})
STEP_S = 0.002


@cache
def certificate_texts() -> tuple[str, str]:
    """Return a certificate and its private key in PEM, cached."""
    with TemporaryDirectory() as folder:
        paths = write_certificates(Path(folder), server_name=SERVER_NAME)
        return paths.certificate.read_text(), paths.private_key.read_text()


class FlowHarness:
    """One flow engine with its callers.

    Parameters
    ----------
    folder : Path
        Directory for the certificate and key files.
    limits : FlowLimits
        Limits of the engine.
    steering : Steering
        Steering of the engine.
    id_keys : IdKeys
        Connection ID keys.
    """

    def __init__(
        self,
        folder: Path,
        *,
        limits: FlowLimits | None = None,
        steering: Steering | None = None,
        id_keys: IdKeys = ID_KEYS,
    ) -> None:
        certificate, key = certificate_texts()
        self.certificate = folder / "certificate.pem"
        self.certificate.write_text(certificate)
        (folder / "key.pem").write_text(key)
        configuration = make_quic_configuration()
        configuration.load_cert_chain(self.certificate, folder / "key.pem")
        self.sink = MemorySink()
        self.now = 100.0
        self.engine = FlowEngine(
            own_destination=Destination(1, 3),
            configuration=configuration,
            ids=ConnectionIdCodec(id_keys, random=Random(5).randbytes),
            resets=ResetTokens(id_keys),
            limits=limits or FlowLimits(),
            steering=steering or NoSteering(),
            leases=BalancerLeases(),
            sink=self.sink,
        )
        self.callers: list[CallerFlow] = []
        self.events: list[FlowEvent] = []
        self.caller_events: dict[int, list[CallerEvent]] = {}
        self.replies: list[tuple[Endpoint, Reply]] = []
        self.steered: list[Forward] = []
        self.balancer = BALANCER
        self.dead_balancers: set[Endpoint] = set()
        self.service = 1
        # By index, from 0.
        self.paused_callers: set[int] = set()
        # New port by original port, which is the index + 1.
        self.moved_ports: dict[int, int] = {}

    def add_caller(self) -> CallerFlow:
        """Add a caller that starts its handshake."""
        configuration = make_caller_configuration(
            server_name=SERVER_NAME, authority=str(self.certificate)
        )
        caller = CallerFlow(configuration, SERVICE_ADDRESS, self.now)
        self.callers.append(caller)
        self.caller_events[len(self.callers) - 1] = []
        return caller

    def forward(self, payload: bytes, *, port: int, hops: int = 0) -> None:
        """Pass a datagram of the caller at ``port`` to the engine."""
        caller = Endpoint("10.0.0.1", port)
        message = Forward(
            caller, self.service, "main", 1, hops, 0, self.balancer, payload
        )
        self.engine.receive(message, self.now)

    def step(self) -> None:
        """Advance the clock by ``STEP_S`` and deliver pending datagrams both ways."""
        self.now += STEP_S
        for port, caller in enumerate(self.callers, 1):
            if port - 1 in self.paused_callers:
                continue
            caller.tick(self.now)
            for payload in caller.take_datagrams(self.now):
                self.forward(payload, port=self.moved_ports.get(port, port))
        self.engine.tick(self.now)
        events, sends = self.engine.flush(self.now)
        self.events += events
        for send in sends:
            self._deliver(send.destination, send.message)
        for index, caller in enumerate(self.callers):
            self.caller_events[index] += caller.take_events()

    def _deliver(self, destination: Endpoint, message: Forward | Reply) -> None:
        if isinstance(message, Forward):
            self.steered.append(message)
            return
        self.replies.append((destination, message))
        back = {new: old for old, new in self.moved_ports.items()}
        index = back.get(message.caller.port, message.caller.port) - 1
        is_lost = destination in self.dead_balancers or index in self.paused_callers
        if not is_lost and index < len(self.callers):
            source = (SERVICE_ADDRESS.host, SERVICE_ADDRESS.port)
            self.callers[index].receive(message.payload, source, self.now)

    def steps(self, count: int) -> None:
        """Run ``count`` steps."""
        for _ in range(count):
            self.step()

    def connect(self) -> CallerFlow:
        """Add a caller and return it after its handshake."""
        caller = self.add_caller()
        self.steps(10)
        assert caller.is_open
        return caller

    def connections(self) -> list[RoutableConnection]:
        """Return the QUIC connections of the engine."""
        return [flow.connection for flow in self.engine.flows.values()]

    def events_of(self, kind: type) -> list:
        """Return the engine's events of one type."""
        return [event for event in self.events if isinstance(event, kind)]

    def dropped(self, reason: str) -> float:
        """Return the number of datagrams dropped for ``reason``."""
        key = ("agent_dropped_total", (("reason", reason),))
        return self.sink.counts[key]
