"""HTTP/1.1 client protocol for the platform's store, without I/O."""

from h11 import (
    CLIENT,
    DONE,
    NEED_DATA,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    ProtocolError,
    Request,
    Response,
)

from balsamtide.fleet.store import ResponseTooLargeError, StoreError
from balsamtide.flow_node.http import ConnectionLostError, HttpResponse

__all__ = ["HttpConnection"]

# The store's pages hold up to 1 MB and the value that exceeds it, which may have 1 MB
# too; base64 increases both by a third.
MAX_BODY_BYTES = 3_000_000


class HttpConnection:
    """Protocol state of one client connection.

    Parameters
    ----------
    host : str
        Value of the ``Host`` header.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.connection = Connection(CLIENT)
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.has_response_begun = False

    @property
    def is_reusable(self) -> bool:
        """Whether a further request can be sent on the connection."""
        connection = self.connection
        return connection.our_state is connection.their_state is DONE

    def request(self, path: str) -> bytes:
        """Return the bytes of a GET request for a path with its query."""
        if self.is_reusable:
            self.connection.start_next_cycle()
        self.status = 0
        self.body.clear()
        self.has_response_begun = False
        head = Request(method="GET", target=path, headers=[("Host", self.host)])
        chunks = (self.connection.send(head), self.connection.send(EndOfMessage()))
        return b"".join(chunk for chunk in chunks if chunk)

    def receive(self, data: bytes | None) -> HttpResponse | None:
        """Parse received bytes; return the response once it is complete.

        Raises
        ------
        ConnectionLostError
            If the connection ended before the first byte of the response.
        ResponseTooLargeError
            If the body is too long.
        StoreError
            If the response is not valid HTTP or truncated.
        """
        if not data and not self.has_response_begun:
            raise self.failure("the server closed the connection")
        self.has_response_begun = True
        try:
            if data is not None:
                self.connection.receive_data(data)
            return self._next_response()
        except ProtocolError as error:
            raise StoreError(f"{type(error).__name__}: {error}") from error

    def failure(self, reason: str) -> StoreError:
        """Return the error for a connection that failed during a request."""
        kind = StoreError if self.has_response_begun else ConnectionLostError
        return kind(f"{self.host}: {reason}")

    def _check_length(self, length: int) -> None:
        if length > MAX_BODY_BYTES:
            raise ResponseTooLargeError(
                f"{self.host}: response body exceeds {MAX_BODY_BYTES} bytes"
            )

    def _next_response(self) -> HttpResponse | None:
        while True:
            event = self.connection.next_event()
            if event is NEED_DATA:
                return None
            if isinstance(event, Response):
                self.status = event.status_code
                self.headers = _joined_headers(event)
                # The body of an oversized response need not be received.  h11 has
                # checked that the length is a number.
                self._check_length(int(self.headers.get(b"content-length", b"0")))
            elif isinstance(event, Data):
                self.body += event.data
                self._check_length(len(self.body))
            elif isinstance(event, EndOfMessage):
                return HttpResponse(self.status, bytes(self.body), self.headers)
            elif isinstance(event, ConnectionClosed):
                raise StoreError(
                    f"{self.host}: the server closed the connection after "
                    f"{len(self.body)} bytes of the response body"
                )


def _joined_headers(response: Response) -> dict[bytes, bytes]:
    """Return the header fields by name; repeated ones are joined (RFC 9110, 5.3)."""
    headers: dict[bytes, bytes] = {}
    for name, value in response.headers:
        known = headers.get(name)
        headers[name] = value if known is None else known + b", " + value
    return headers
