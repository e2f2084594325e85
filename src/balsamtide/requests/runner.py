"""The port through which a request is run and its answer streamed back."""

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
        Path with its query.
    headers : tuple of (bytes, bytes)
        Header fields without pseudo-headers, names in lower case.
    """

    method: str
    path: str
    headers: tuple[Header, ...]


class AnswerWriter(ABC):
    """Takes the answer of one request, part by part.

    Each call returns when the part was accepted, which limits what is buffered.
    """

    @abstractmethod
    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Take the status and headers; called once, before any body."""

    @abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""


class Runner(ABC):
    """Runs requests, on a target or through a peer.

    Implementations are called in a trio task and are cancelled through it.
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

        Failures are returned as outcomes with the verdict that is true of them;
        only cancellation is raised.
        """
