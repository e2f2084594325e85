"""Interface of the HTTP clients of the platform's store."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ["BaseHttpClient", "HttpResponse"]


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status code and body of a response."""

    status: int
    body: bytes


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
