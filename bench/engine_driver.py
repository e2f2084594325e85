"""A real flow engine with real callers whose datagrams are passed in memory."""

from pathlib import Path
from tempfile import TemporaryDirectory
from time import process_time

from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from balsamtide.agent.connection import ResetTokens
from balsamtide.agent.flow_admission import FlowLimits
from balsamtide.agent.flow_engine import (
    FlowEngine,
    make_quic_configuration,
)
from balsamtide.agent.flow_events import FlowEvent, RequestOpened
from balsamtide.agent.return_path import BalancerLeases
from balsamtide.agent.steering import NoSteering
from balsamtide.protocol.connection_id import ConnectionIdCodec, Destination, IdKeys
from balsamtide.protocol.messages import Endpoint, Forward, Reply
from balsamtide.telemetry.memory_sink import MemorySink
from bench.standins.certificates import write_certificates

__all__ = ["DrivenCaller", "EngineDriver"]

SERVER_NAME = "timetable.example"
SERVICE = 1
TARGET = 7
BALANCER = Endpoint("127.0.0.1", 5000)
AGENT = ("127.0.0.1", 5001)
FIRST_PORT = 10_000
PORTS = 50_000
STEP_S = 0.001
PASSES = 30
MANY_FLOWS = 1_000_000
ANSWER_HEADERS = ((b":status", b"200"), (b"content-type", b"text/plain"))
REQUEST_HEADERS = [
    (b":method", b"POST"),
    (b":scheme", b"https"),
    (b":authority", SERVER_NAME.encode()),
    (b":path", b"/marks"),
    (b"content-length", b"16"),
]
BODY = b"x" * 16

ID_KEYS = IdKeys(current=0, keys={0: b"k" * 16})


class DrivenCaller:
    """One caller of the engine.

    Parameters
    ----------
    endpoint : Endpoint
        Its address.
    configuration : QuicConfiguration
        Of its connection.
    """

    def __init__(self, endpoint: Endpoint, configuration: QuicConfiguration) -> None:
        self.endpoint = endpoint
        self.connection = QuicConnection(configuration=configuration)
        self.http: H3Connection | None = None

    def ask(self) -> None:
        """Send one request."""
        if self.http is None:
            self.http = H3Connection(self.connection)
        stream = self.connection.get_next_available_stream_id()
        self.http.send_headers(stream, REQUEST_HEADERS)
        self.http.send_data(stream, BODY, True)


class EngineDriver:
    """Drives a flow engine and counts the CPU time that it takes.

    Parameters
    ----------
    must_validate : bool
        Whether every caller proves its address first.
    answer_bytes : int
        Size of each answer's body.
    """

    def __init__(
        self, *, must_validate: bool = False, answer_bytes: int = 1000
    ) -> None:
        configuration = make_quic_configuration()
        with TemporaryDirectory() as name:
            files = write_certificates(Path(name), server_name=SERVER_NAME)
            configuration.load_cert_chain(files.certificate, files.private_key)
            self.authority = files.certificate.read_bytes()
        self.answer = b"a" * answer_bytes
        self.now = 1.0
        self.cpu_s = 0.0
        self.callers: dict[Endpoint, DrivenCaller] = {}
        self.opened = 0
        self.engine = FlowEngine(
            own_destination=Destination(SERVICE, TARGET),
            configuration=configuration,
            ids=ConnectionIdCodec(ID_KEYS),
            resets=ResetTokens(ID_KEYS),
            limits=FlowLimits(
                flows=MANY_FLOWS,
                handshakes=MANY_FLOWS,
                handshakes_before_retry=0 if must_validate else MANY_FLOWS,
            ),
            steering=NoSteering(),
            leases=BalancerLeases(),
            sink=MemorySink(),
        )

    def connect(self) -> DrivenCaller:
        """Open one flow to the end of its handshake."""
        configuration = QuicConfiguration(
            is_client=True, alpn_protocols=H3_ALPN, server_name=SERVER_NAME
        )
        configuration.load_verify_locations(cadata=self.authority)
        endpoint = Endpoint(
            f"10.0.{self.opened // PORTS}.1", FIRST_PORT + self.opened % PORTS
        )
        self.opened += 1
        caller = DrivenCaller(endpoint, configuration)
        self.callers[endpoint] = caller
        caller.connection.connect(AGENT, now=self.now)
        self.settle(caller)
        return caller

    def settle(self, caller: DrivenCaller) -> None:
        """Pass datagrams between a caller and the engine until both are quiet."""
        for _ in range(PASSES):
            self.now += STEP_S
            self._receive(caller)
            if not self._flush():
                return

    def _receive(self, caller: DrivenCaller) -> None:
        datagrams = caller.connection.datagrams_to_send(self.now)
        forwards = [
            Forward(caller.endpoint, SERVICE, "a", 1, 0, 0, BALANCER, data)
            for data, _ in datagrams
        ]
        start = process_time()
        for forward in forwards:
            self.engine.receive(forward, self.now)
        self.cpu_s += process_time() - start

    def _flush(self) -> bool:
        start = process_time()
        events, sends = self.engine.flush(self.now)
        self._answer(events)
        if events:
            _, more = self.engine.flush(self.now)
            sends += more
        self.cpu_s += process_time() - start
        for send in sends:
            if isinstance(send.message, Reply):
                caller = self.callers.get(send.message.caller)
                if caller is not None:
                    caller.connection.receive_datagram(
                        send.message.payload, AGENT, self.now
                    )
        return bool(sends)

    def _answer(self, events: list[FlowEvent]) -> None:
        for event in events:
            if isinstance(event, RequestOpened):
                self.engine.start_answer(event.key, ANSWER_HEADERS, is_ended=False)
                self.engine.write_answer(event.key, self.answer, is_ended=True)
                self.engine.finish(event.key)
