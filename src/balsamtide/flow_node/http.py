"""HTTP clients of the platform's store: interface, and use of one connection."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass, field

from balsamtide.fleet.store import StoreError

__all__ = [
    "BaseHttpClient",
    "ConnectionLostError",
    "HttpResponse",
    "PersistentHttpClient",
]


class ConnectionLostError(StoreError):
    """Raised if a connection ends before the first byte of a response."""


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status code, body and header fields of a response.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes
        The body.
    headers : mapping of bytes to bytes
        Values by name in lower case; values of a repeated field are joined by commas.
    """

    status: int
    body: bytes
    headers: Mapping[bytes, bytes] = field(default_factory=dict, compare=False)


class BaseHttpClient(ABC):
    """Sends GET requests to one server, one at a time."""

    @abstractmethod
    async def get(self, path: str, *, wait_s: float = 0.0) -> HttpResponse:
        """Send a GET request that the server may hold for ``wait_s`` seconds.

        ``path`` is the URL path with the query.

        Raises
        ------
        StoreError
            If no complete response arrives in time.
        """


class PersistentHttpClient(BaseHttpClient):
    """Keeps a connection open between requests as long as the server allows it."""

    async def get(self, path: str, *, wait_s: float = 0.0) -> HttpResponse:
        """Send a GET request, once more if a kept connection turns out to be closed.

        A server may close an idle connection at any time, and a GET request may be
        repeated (RFC 9110, 9.2.2).
        """
        is_kept = self.is_connected
        try:
            return await self._exchange(path, wait_s)
        except ConnectionLostError:
            if not is_kept:
                raise
        return await self._exchange(path, wait_s)

    @property
    @abstractmethod
    def is_connected(self) -> bool:
        """Whether a connection is open for the next request."""

    @abstractmethod
    async def _exchange(self, path: str, wait_s: float) -> HttpResponse:
        """Send one request; close the connection if it can't serve another one.

        Raises
        ------
        ConnectionLostError
            If the connection ends before the first byte of the response.
        StoreError
            If no complete response arrives in time.
        """
