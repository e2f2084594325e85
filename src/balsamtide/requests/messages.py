"""Messages of the hand-off between two agents, over grpclib.

Durations are microseconds that remain; no clock reading leaves a process.
"""

from msgspec import Struct

from balsamtide.requests.ledger import SnapshotEntry
from balsamtide.requests.runner import Header
from balsamtide.requests.stamp import Stamp

__all__ = [
    "AnswerHead",
    "AnswerPart",
    "ForwardedRequest",
    "KeepAlive",
    "BodyPart",
    "Denied",
    "Finished",
    "ReceiverMessage",
    "SenderMessage",
    "Granted",
    "LedgerChunk",
    "LedgerAck",
    "Offer",
    "RequestMetadata",
    "Run",
]


class RequestMetadata(Struct, frozen=True, array_like=True):
    """The facts of a request, with the time that remains to its deadline."""

    request_id: str
    service: str
    route: str
    method: str
    is_idempotent: bool
    key: str | None
    attempt: int
    caller: str
    remaining_us: int


class Offer(Struct, frozen=True, array_like=True, tag=1):
    """A request that the sender would like to run at the receiver.

    Parameters
    ----------
    metadata : RequestMetadata
        The request.
    wait_us : int
        How long the sender waits for a grant.
    """

    metadata: RequestMetadata
    wait_us: int


class Run(Struct, frozen=True, array_like=True, tag=2):
    """Use of the grant; the body follows."""

    path: str
    headers: tuple[Header, ...]
    remaining_us: int


class BodyPart(Struct, frozen=True, array_like=True, tag=3):
    """A part of the request's body; the end of the stream ends it."""

    octets: bytes


class ForwardedRequest(Struct, frozen=True, array_like=True, tag=4):
    """A repeat for its home: answer it, or grant it and then get the body."""

    metadata: RequestMetadata
    stamp: Stamp
    path: str
    headers: tuple[Header, ...]


class Granted(Struct, frozen=True, array_like=True, tag=1):
    """A slot is reserved.

    Parameters
    ----------
    remaining_us : int
        Time until the reservation ends.
    waited_us : int
        Time from the receipt of the offer to the reservation.
    """

    remaining_us: int
    waited_us: int = 0


class Denied(Struct, frozen=True, array_like=True, tag=2):
    """No slot became free."""

    reason: str


class AnswerHead(Struct, frozen=True, array_like=True, tag=3):
    """Status and headers of the answer."""

    status: int
    headers: tuple[Header, ...]


class AnswerPart(Struct, frozen=True, array_like=True, tag=4):
    """A part of the answer's body."""

    octets: bytes


class Finished(Struct, frozen=True, array_like=True, tag=5):
    """The outcome; nothing follows.

    Parameters
    ----------
    verdict : str
        Value of the verdict.
    status : int
        HTTP status.
    service_time_us : int or None
        Time on the target.
    is_complete : bool
        Whether the whole answer was sent.
    reason : str
        Reason of a refusal or failure.
    """

    verdict: str
    status: int
    service_time_us: int | None
    is_complete: bool
    reason: str


class KeepAlive(Struct, frozen=True, array_like=True, tag=6):
    """A sign of life on a stream without other messages."""


class LedgerChunk(Struct, frozen=True, array_like=True):
    """A part of a closed ledger; the one with ``is_last`` completes it."""

    target: int
    tenure: int
    watermark: int
    entries: tuple[SnapshotEntry, ...]
    is_last: bool


class LedgerAck(Struct, frozen=True, array_like=True):
    """Whether the receiver is the successor now."""

    is_adopted: bool


SenderMessage = Offer | Run | BodyPart | ForwardedRequest
ReceiverMessage = Granted | Denied | AnswerHead | AnswerPart | Finished | KeepAlive
