"""CPU time of handshakes at an agent."""

from collections.abc import Iterator
from time import process_time

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.tls import SessionTicket

from bench.engine_driver import AGENT, SERVER_NAME, EngineDriver
from bench.figures import Figure
from bench.sampling import fit_together, slope_figures

SIZES = (5, 10, 20)
ROUNDS = 15
MS_PER_S = 1000.0
FLIGHTS = 6


def _engine_handshakes(count: int, *, must_validate: bool) -> float:
    driver = EngineDriver(must_validate=must_validate)
    driver.connect()
    before = driver.cpu_s
    for _ in range(count):
        driver.connect()
    return driver.cpu_s - before


class TicketPair:
    """Handshakes between two aioquic ends, with the tickets kept in memory."""

    def __init__(self) -> None:
        driver = EngineDriver()
        self.authority = driver.authority
        self.server = driver.engine.configuration
        self.tickets: dict[bytes, SessionTicket] = {}
        self.ticket: SessionTicket | None = None

    def _keep(self, ticket: SessionTicket) -> None:
        self.tickets[ticket.ticket] = ticket

    def _take(self, ticket: SessionTicket) -> None:
        self.ticket = ticket

    def handshake(self, ticket: SessionTicket | None) -> float:
        """Return the CPU seconds of the server's side of one handshake."""
        configuration = QuicConfiguration(
            is_client=True, alpn_protocols=H3_ALPN, server_name=SERVER_NAME
        )
        configuration.load_verify_locations(cadata=self.authority)
        configuration.session_ticket = ticket
        client = QuicConnection(
            configuration=configuration, session_ticket_handler=self._take
        )
        start = process_time()
        server = QuicConnection(
            configuration=self.server,
            original_destination_connection_id=client.original_destination_connection_id,
            session_ticket_fetcher=self.tickets.get,
            session_ticket_handler=self._keep,
        )
        seconds = process_time() - start
        client.connect(AGENT, now=0.0)
        for step in range(FLIGHTS):
            now = step * 0.001
            sent = client.datagrams_to_send(now)
            start = process_time()
            for data, _ in sent:
                server.receive_datagram(data, ("10.0.0.1", 1), now)
            replies = server.datagrams_to_send(now)
            seconds += process_time() - start
            for data, _ in replies:
                client.receive_datagram(data, AGENT, now)
        assert client.tls.session_resumed == (ticket is not None)
        return seconds


def _paired_handshakes(count: int, *, is_resumed: bool) -> float:
    pair = TicketPair()
    pair.handshake(None)
    total = 0.0
    for _ in range(count):
        total += pair.handshake(pair.ticket if is_resumed else None)
    return total


def figures() -> Iterator[Figure]:
    """Measure handshakes at several counts."""
    cases = {
        "handshake: agent": lambda n: _engine_handshakes(n, must_validate=False),
        "handshake: agent, address proved by Retry": lambda n: _engine_handshakes(
            n, must_validate=True
        ),
        "handshake: bare, full": lambda n: _paired_handshakes(n, is_resumed=False),
        "handshake: bare, resumed by ticket": lambda n: _paired_handshakes(
            n, is_resumed=True
        ),
    }
    for name, slope in fit_together(cases, SIZES, repeats=ROUNDS).items():
        yield from slope_figures(name, slope, unit="ms CPU", scale=MS_PER_S)
