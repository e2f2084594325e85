"""A request of the application and the header fields of its attempts."""

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

# PUT and DELETE are left out: ``Caller.request`` gives them an idempotency key.
IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A request of the application, over all its attempts.

    Parameters
    ----------
    method, path : str
        Method and path of the request.
    headers : tuple of (bytes, bytes)
        Header fields set by the application.
    body : bytes
        Complete request body.
    idempotency_key : str or None
        Key that identifies repeats of this request.
    deadline : float
        Deadline of the request on Trio's clock, seconds.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    idempotency_key: str | None
    deadline: float

    @property
    def is_idempotent(self) -> bool:
        """Whether the method may run twice without an idempotency key."""
        return self.method in IDEMPOTENT_METHODS

    def build_headers(
        self, server_name: str, attempt: int, stamp: bytes
    ) -> tuple[Header, ...]:
        """Return the header fields of one attempt.

        Parameters
        ----------
        server_name : str
            Server name, sent as ``:authority``.
        attempt : int
            Number for the attempt header, from 1.
        stamp : bytes
            Stamp that binds the idempotency key to its home, empty for none.
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
        if self.idempotency_key is not None:
            fields.append((IDEMPOTENCY_KEY, self.idempotency_key.encode()))
        if stamp:
            fields.append((STAMP, stamp))
        return tuple(fields)
