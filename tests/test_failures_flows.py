"""Flows under random datagram faults and planned changes, simulated in memory.

The flow engines of two targets and of another service, the forwarders and the callers
are real. Hypothesis draws the fault of each datagram and when targets drain and
balancers change. Invariants, by their names in failed assertions:

- ``whole_answer``: each caller receives exactly its own answer.
- ``nothing_cut``: a planned change resets no request that an agent has reported.
- ``no_new_work``: a draining target opens no flow.
"""

from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

from aioquic.h3.connection import H3_ALPN, ErrorCode, H3Connection
from aioquic.h3.events import DataReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import StreamReset
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamtide.agent.connection import ResetTokens
from balsamtide.agent.flow_admission import FlowLimits
from balsamtide.agent.flow_engine import (
    FlowEngine,
    make_quic_configuration,
)
from balsamtide.agent.flow_events import RequestOpened
from balsamtide.agent.return_path import BalancerLeases
from balsamtide.agent.steering import Steering
from balsamtide.balancer.forwarder import Forwarded, Forwarder
from balsamtide.config.model import Configuration, Service, Target, TargetState
from balsamtide.protocol.connection_id import ConnectionIdCodec, Destination, IdKeys
from balsamtide.protocol.datagram import DatagramCodec
from balsamtide.protocol.messages import Endpoint, Forward
from balsamtide.routing.table import build_table
from balsamtide.telemetry.memory_sink import MemorySink
from bench.standins.certificates import write_certificates
from tests.fakes_requests import KEYS

NAME = "service.test"
CODEC = DatagramCodec(KEYS)
ID_KEYS = IdKeys(current=0, keys={0: b"i" * 16})
IDS = ConnectionIdCodec(ID_KEYS)
DESTINATIONS = (Destination(1, 1), Destination(1, 2), Destination(2, 1))
ANSWER_REPEATS = 5_000
STEP_S = 0.02
STEPS = 1_500
FAULTY_STEPS = 60
DELIVER, DROP, DELAY, DUPLICATE = range(4)
EXAMPLES = max(40, settings().max_examples // 4)


def _certificates():
    with TemporaryDirectory() as folder:
        files = write_certificates(Path(folder), server_name=NAME)
        configuration = make_quic_configuration()
        configuration.load_cert_chain(files.certificate, files.private_key)
        return configuration, files.certificate.read_bytes()


CONFIGURATION, AUTHORITY = _certificates()


def _port(destination):
    return 9000 + 100 * destination.service + destination.target


def _target(destination, state):
    return Target(
        number=destination.target,
        zone="a",
        host="10.0.0.1",
        port=80,
        agent_host="10.0.0.1",
        agent_port=_port(destination),
        agent_rpc_port=1,
        state=state,
    )


def _table(draining, version):
    services = {}
    for number in (1, 2):
        targets = {
            f"t{d.target}": _target(
                d,
                TargetState.DRAINING if d in draining else TargetState.ACTIVE,
            )
            for d in DESTINATIONS
            if d.service == number
        }
        services[f"s{number}"] = Service(number=number, targets=targets)
    return build_table(
        Configuration(services=services),
        version=version,
        is_eligible=lambda name, target: target.state is TargetState.ACTIVE,
    )


class SteerToPeer(Steering):
    """Steers to the other target of service 1 while draining."""

    def __init__(self, own_destination):
        self.peer = Destination(own_destination.service, 3 - own_destination.target)

    def choose(self, destination_id, now, *, is_full, is_draining):
        """Return the peer's inner endpoint while draining, else None."""
        return Endpoint("10.0.0.1", _port(self.peer)) if is_draining else None


@dataclass(slots=True)
class Client:
    """Caller with one request."""

    number: int
    service: int
    configuration: QuicConfiguration
    connection: QuicConnection | None = None
    http: H3Connection | None = None
    body: bytes = b""
    is_complete: bool = False
    is_request_received: bool = False

    @property
    def endpoint(self):
        """Address of the caller."""
        return Endpoint("10.1.0.1", 10_000 + self.number)

    @property
    def expected(self):
        """Body of the answer to its request."""
        return (b"%d/%d " % (self.service, self.number)) * ANSWER_REPEATS


@dataclass(slots=True)
class Simulation:
    """Callers, balancers and agents connected in memory, on a simulated clock."""

    now: float = 1.0
    clients: list[Client] = field(default_factory=list)
    engines: dict[int, FlowEngine] = field(default_factory=dict)
    forwarders: list[Forwarder] = field(default_factory=list)
    delayed: list[tuple[float, Client, bytes, bool]] = field(default_factory=list)
    draining: set[Destination] = field(default_factory=set)
    version: int = 1
    last_flow_at_drain: int = 0

    def __post_init__(self):
        """Start the agents and two balancers."""
        for destination in DESTINATIONS:
            self.engines[_port(destination)] = FlowEngine(
                own_destination=destination,
                configuration=CONFIGURATION,
                ids=IDS,
                resets=ResetTokens(ID_KEYS),
                limits=FlowLimits(),
                steering=SteerToPeer(destination),
                leases=BalancerLeases(),
                sink=MemorySink(),
            )
        for _ in range(2):
            self.add_balancer()

    def add_balancer(self):
        """Start a balancer without knowledge of any flow."""
        self.forwarders.append(
            Forwarder(
                codec=CODEC,
                ids=IDS,
                table=_table(self.draining, self.version),
                version=self.version,
                reply_to=Endpoint("10.2.0.1", 5000 + len(self.forwarders)),
            )
        )

    def drain(self, destination):
        """Drain a target; its agent and every second balancer learn of it at once."""
        self.draining.add(destination)
        self.version += 1
        for forwarder in self.forwarders[::2]:
            forwarder.use_table(
                _table(self.draining, self.version), version=self.version
            )
        engine = self.engines[_port(destination)]
        engine.drain()
        self.last_flow_at_drain = engine.table.last_number

    def connect(self, service):
        """Add a caller that connects and sends its request."""
        configuration = QuicConfiguration(
            is_client=True, alpn_protocols=H3_ALPN, server_name=NAME
        )
        configuration.load_verify_locations(cadata=AUTHORITY)
        client = Client(len(self.clients), service, configuration)
        self.clients.append(client)
        self.open(client)

    def open(self, client):
        """Open a flow for a caller and send its request on it."""
        client.connection = QuicConnection(configuration=client.configuration)
        client.connection.connect(("10.9.0.1", 443), now=self.now)
        client.http = H3Connection(client.connection)
        client.http.send_headers(
            client.connection.get_next_available_stream_id(),
            [
                (b":method", b"GET"),
                (b":scheme", b"https"),
                (b":authority", NAME.encode()),
                (b":path", b"/%d" % client.number),
            ],
            end_stream=True,
        )

    def step(self, next_fault):
        """Advance the clock and deliver datagrams; ``next_fault`` draws faults."""
        self.now += STEP_S
        due = [item for item in self.delayed if item[0] <= self.now]
        self.delayed = [item for item in self.delayed if item[0] > self.now]
        for _, client, data, is_to_agent in due:
            self.deliver(client, data, is_to_agent, DELIVER)
        for client in self.clients:
            self._step_client(client, next_fault)
        for engine in self.engines.values():
            engine.tick(self.now)
            self._flush(engine, next_fault)

    def _step_client(self, client, next_fault):
        timer = client.connection.get_timer()
        if timer is not None and timer <= self.now:
            client.connection.handle_timer(self.now)
        for data, _ in client.connection.datagrams_to_send(self.now):
            self._pass(client, data, True, next_fault())
        event = client.connection.next_event()
        while event is not None:
            if isinstance(event, StreamReset):
                self._retry(client, event)
                return
            for h3_event in client.http.handle_event(event):
                if isinstance(h3_event, DataReceived):
                    client.body += h3_event.data
                    client.is_complete = client.is_complete or h3_event.stream_ended
            event = client.connection.next_event()

    def _retry(self, client, event):
        # A drained agent may reject only a request for which it has not reported
        # ``RequestOpened``.
        assert event.error_code == ErrorCode.H3_REQUEST_REJECTED, (
            f"nothing_cut: client {client.number}"
        )
        assert self.draining, f"nothing_cut: client {client.number}"
        assert not client.is_request_received, f"nothing_cut: client {client.number}"
        self.open(client)

    def _pass(self, client, data, is_to_agent, fault):
        if fault == DROP:
            return
        if fault == DELAY:
            self.delayed.append((self.now + 5 * STEP_S, client, data, is_to_agent))
            return
        if fault == DUPLICATE:
            self.deliver(client, data, is_to_agent, fault)
        self.deliver(client, data, is_to_agent, fault)

    def deliver(self, client, data, is_to_agent, fault):
        """Deliver a datagram to its caller, or through one of the balancers."""
        if not is_to_agent:
            client.connection.receive_datagram(data, ("10.9.0.1", 443), self.now)
            return
        # Spreads the datagrams of a client arbitrarily over the balancers.
        choice = (client.number + len(data) + fault) % len(self.forwarders)
        result = self.forwarders[choice].forward(
            data, client.endpoint, client.service, "a"
        )
        if isinstance(result, Forwarded):
            engine = self.engines[result.destination[1]]
            engine.receive(CODEC.decode(result.datagram), self.now)

    def _flush(self, engine, next_fault):
        events, sends = engine.flush(self.now)
        for event in events:
            if isinstance(event, RequestOpened):
                self._answer(engine, event)
        _, more = engine.flush(self.now)
        for send in sends + more:
            if isinstance(send.message, Forward):
                peer = self.engines[send.destination.port]
                peer.receive(send.message, self.now)
                continue
            client = self.clients[send.message.caller.port - 10_000]
            assert send.message.service == client.service, "wrong service"
            self._pass(client, send.message.payload, False, next_fault())

    def _answer(self, engine, event):
        client = self.clients[event.caller.port - 10_000]
        assert engine.own_destination.service == client.service, "wrong service"
        client.is_request_received = True
        engine.start_answer(event.key, ((b":status", b"200"),), is_ended=False)
        engine.write_answer(event.key, client.expected, is_ended=True)
        engine.finish(event.key)


faults = st.lists(
    st.sampled_from([*[DELIVER] * 4, DROP, DELAY, DUPLICATE]), min_size=20, max_size=200
)
changes = st.lists(
    st.tuples(
        st.integers(0, FAULTY_STEPS - 1),
        st.sampled_from(
            ["connect-1", "connect-2", "drain", "add-balancer", "replace-balancer"]
        ),
    ),
    max_size=8,
)


@settings(max_examples=EXAMPLES)
@given(faults, changes)
def test_flows_survive_faults_and_planned_changes(faults, changes):
    """Every caller eventually receives its own complete answer."""
    simulation = Simulation()
    simulation.connect(1)
    simulation.connect(2)
    drawn = iter(faults)
    for step in range(FAULTY_STEPS):
        for _, change in (each for each in changes if each[0] == step):
            _apply(simulation, change)
        simulation.step(lambda: next(drawn, DELIVER))
        _check_draining(simulation)
    for _ in range(STEPS):
        if all(client.is_complete for client in simulation.clients):
            break
        simulation.step(lambda: DELIVER)
    for client in simulation.clients:
        assert client.body == client.expected, f"whole_answer: client {client.number}"


def _apply(simulation, change):
    match change:
        case "connect-1" | "connect-2":
            simulation.connect(int(change[-1]))
        case "drain" if not simulation.draining:
            simulation.drain(DESTINATIONS[0])
        case "add-balancer":
            simulation.add_balancer()
        case "replace-balancer":
            simulation.forwarders.pop(0)
            simulation.add_balancer()


def _check_draining(simulation):
    for destination in simulation.draining:
        engine = simulation.engines[_port(destination)]
        assert engine.table.last_number == simulation.last_flow_at_drain, (
            f"no_new_work: {destination}"
        )
