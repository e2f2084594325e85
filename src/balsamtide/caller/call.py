"""One request of an application and the header fields of its tries."""

from dataclasses import dataclass

from trio import current_time

from balsamtide.protocol.headers import (
    ATTEMPT,
    DEADLINE_MS,
    IDEMPOTENCY_KEY,
    STAMP,
)
from balsamtide.requests.runner import Header

__all__ = ["IDEMPOTENT_METHODS", "Call"]

IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One request of an application, over all its tries.

    Parameters
    ----------
    method, path : str
        What is asked.
    headers : tuple of (bytes, bytes)
        Header fields of the application.
    body : bytes
        Body.
    key : str or None
        Idempotency key.
    deadline : float
        Local time at which the answer is worthless, seconds.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    key: str | None
    deadline: float

    @property
    def is_idempotent(self) -> bool:
        """Whether running it twice equals running it once."""
        return self.method in IDEMPOTENT_METHODS

    def head(self, server_name: str, attempt: int, stamp: bytes) -> tuple[Header, ...]:
        """Return the header fields of one try.

        Parameters
        ----------
        server_name : str
            Name of the service.
        attempt : int
            1 for a first try.
        stamp : bytes
            Stamp that binds the key to its home, empty for none.
        """
        remaining_ms = max(0, int((self.deadline - current_time()) * 1000))
        fields: list[Header] = [
            (b":method", self.method.encode()),
            (b":scheme", b"https"),
            (b":authority", server_name.encode()),
            (b":path", self.path.encode()),
            *self.headers,
            (DEADLINE_MS, str(remaining_ms).encode()),
            (ATTEMPT, str(attempt).encode()),
        ]
        if self.body:
            fields.append((b"content-length", str(len(self.body)).encode()))
        if self.key is not None:
            fields.append((IDEMPOTENCY_KEY, self.key.encode()))
        if stamp:
            fields.append((STAMP, stamp))
        return tuple(fields)
