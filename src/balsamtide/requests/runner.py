"""Interfaces that run a request and stream its answer back."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass

from balsamtide.requests.model import Outcome, RequestFacts

__all__ = ["AnswerWriter", "Header", "RequestHead", "Runner"]

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Method, path and headers of a request.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path with query string.
    headers : tuple of (bytes, bytes)
        Header fields without pseudo-headers, names in lower case.
    """

    method: str
    path: str
    headers: tuple[Header, ...]


class AnswerWriter(ABC):
    """Receives the answer of one request in chunks.

    Each call waits until the connection has taken the data, so that at most one chunk
    is buffered here.
    """

    @abstractmethod
    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Write the status and headers; called once, before the body."""

    @abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Write a chunk of the body."""


class Runner(ABC):
    """Runs requests on a target or at a peer.

    ``run`` is called in a trio task; cancelling the task cancels the run.
    """

    @abstractmethod
    async def run(
        self,
        facts: RequestFacts,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Run one request and stream its answer.

        Failures are returned as outcomes with their verdict; only cancellation is
        raised.
        """
