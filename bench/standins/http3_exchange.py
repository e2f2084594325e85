"""HTTP/3 requests between two aioquic connections in memory."""

from datetime import UTC, datetime, timedelta
from ssl import CERT_NONE
from time import process_time

from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import H3Event, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from cryptography.hazmat.primitives.asymmetric.ec import SECP256R1, generate_private_key
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.x509 import (
    CertificateBuilder,
    Name,
    NameAttribute,
    random_serial_number,
)
from cryptography.x509.oid import NameOID

__all__ = ["Exchange"]

CLIENT = ("127.0.0.1", 1)
SERVER = ("127.0.0.1", 2)
ANSWER_BYTES = 1000
STEP_S = 0.001


def _server_configuration() -> QuicConfiguration:
    key = generate_private_key(SECP256R1())
    name = Name([NameAttribute(NameOID.COMMON_NAME, "localhost")])
    now = datetime.now(UTC)
    certificate = (
        CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .sign(key, SHA256())
    )
    configuration = QuicConfiguration(is_client=False, alpn_protocols=H3_ALPN)
    configuration.certificate = certificate
    configuration.private_key = key
    return configuration


class Exchange:
    """A client and a server whose datagrams are passed by hand.

    The CPU of the server side alone is measured: its datagrams, its HTTP/3 events and
    its answer, without sockets, tasks or a target.
    """

    def __init__(self) -> None:
        client = QuicConfiguration(is_client=True, alpn_protocols=H3_ALPN)
        client.verify_mode = CERT_NONE
        self.client = QuicConnection(configuration=client)
        self.server = QuicConnection(
            configuration=_server_configuration(),
            original_destination_connection_id=(
                self.client.original_destination_connection_id
            ),
        )
        self.now = 0.0
        self.server_cpu_s = 0.0
        self.client.connect(SERVER, now=self.now)
        self.client_http = H3Connection(self.client)
        self.server_http: H3Connection | None = None
        for _ in range(5):
            self._pass()
        self.server_http = H3Connection(self.server)

    def run(self, requests: int) -> float:
        """Run requests one after the other and return the server's CPU seconds."""
        start = self.server_cpu_s
        for _ in range(requests):
            self._ask()
            self._pass()
            self._pass()
        return self.server_cpu_s - start

    def _ask(self) -> None:
        stream = self.client.get_next_available_stream_id()
        headers = [
            (b":method", b"GET"),
            (b":scheme", b"https"),
            (b":authority", b"localhost"),
            (b":path", b"/day/1234"),
        ]
        self.client_http.send_headers(stream, headers, end_stream=True)

    def _pass(self) -> None:
        self.now += STEP_S
        _fire_timer(self.client, self.now)
        sent = self.client.datagrams_to_send(now=self.now)
        start = process_time()
        answers = self._serve([data for data, _ in sent])
        self.server_cpu_s += process_time() - start
        for data in answers:
            self.client.receive_datagram(data, SERVER, now=self.now)
        while (event := self.client.next_event()) is not None:
            self.client_http.handle_event(event)

    def _serve(self, datagrams: list[bytes]) -> list[bytes]:
        _fire_timer(self.server, self.now)
        for data in datagrams:
            self.server.receive_datagram(data, CLIENT, now=self.now)
        while (event := self.server.next_event()) is not None:
            if self.server_http is not None:
                for http_event in self.server_http.handle_event(event):
                    self._answer(http_event)
        return [data for data, _ in self.server.datagrams_to_send(now=self.now)]

    def _answer(self, event: H3Event) -> None:
        if isinstance(event, HeadersReceived) and self.server_http is not None:
            headers = [(b":status", b"200"), (b"content-length", b"1000")]
            self.server_http.send_headers(event.stream_id, headers)
            self.server_http.send_data(event.stream_id, bytes(ANSWER_BYTES), True)


def _fire_timer(connection: QuicConnection, now: float) -> None:
    timer = connection.get_timer()
    if timer is not None and timer <= now:
        connection.handle_timer(now)
