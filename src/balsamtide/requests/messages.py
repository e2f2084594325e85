"""Messages of the hand-off between two agents.

Times are sent as remaining microseconds, since the clocks of two processes aren't
comparable.
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
    """Wire form of ``RequestFacts``, with the time remaining until the deadline."""

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
    """Offer of a request to be run at the receiver.

    Parameters
    ----------
    metadata : RequestMetadata
        The request.
    wait_us : int
        Time that the sender waits for a grant, microseconds.
    """

    metadata: RequestMetadata
    wait_us: int


class Run(Struct, frozen=True, array_like=True, tag=2):
    """Run the request in the granted slot; the body follows."""

    path: str
    headers: tuple[Header, ...]
    remaining_us: int


class BodyPart(Struct, frozen=True, array_like=True, tag=3):
    """Chunk of the request's body; the body ends with the stream."""

    octets: bytes


class ForwardedRequest(Struct, frozen=True, array_like=True, tag=4):
    """Retry forwarded to its home.

    The home replays the recorded answer, refuses, or sends ``Granted`` and runs the
    retry.  The body is sent only after ``Granted``.
    """

    metadata: RequestMetadata
    stamp: Stamp
    path: str
    headers: tuple[Header, ...]


class Granted(Struct, frozen=True, array_like=True, tag=1):
    """Grant of a slot, or in reply to ``ForwardedRequest`` the request for the body.

    Parameters
    ----------
    remaining_us : int
        Time until the reservation ends, microseconds; 0 and unused in reply to
        ``ForwardedRequest``.
    waited_us : int
        Time from the receipt of the offer to the reservation, microseconds.
    """

    remaining_us: int
    waited_us: int = 0


class Denied(Struct, frozen=True, array_like=True, tag=2):
    """No slot was free before the offer timed out."""

    reason: str


class AnswerHead(Struct, frozen=True, array_like=True, tag=3):
    """Status and headers of the answer."""

    status: int
    headers: tuple[Header, ...]


class AnswerPart(Struct, frozen=True, array_like=True, tag=4):
    """Chunk of the answer's body."""

    octets: bytes


class Finished(Struct, frozen=True, array_like=True, tag=5):
    """Outcome of the request; the last message of the exchange.

    Parameters
    ----------
    verdict : str
        Value of the verdict.
    status : int
        HTTP status.
    service_time_us : int or None
        Time that the target took, microseconds.
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
    """Keep-alive on a stream without other messages."""


class LedgerChunk(Struct, frozen=True, array_like=True):
    """Chunk of a closed ledger; ``is_last`` marks the final one."""

    target: int
    tenure: int
    watermark: int
    entries: tuple[SnapshotEntry, ...]
    is_last: bool


class LedgerAck(Struct, frozen=True, array_like=True):
    """Reply to a transferred ledger: whether the receiver adopted it."""

    is_adopted: bool


SenderMessage = Offer | Run | BodyPart | ForwardedRequest
ReceiverMessage = Granted | Denied | AnswerHead | AnswerPart | Finished | KeepAlive
