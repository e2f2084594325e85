"""An answer as the caller sees it."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from balsamtide.caller.errors import StreamBrokenError
from balsamtide.caller.flow import AnswerPart, AnswerStarted
from balsamtide.caller.flow_task import PendingRequest
from balsamtide.protocol.headers import (
    REASON,
    REQUEST_ID,
    RETRY_AFTER_MS,
    STAMP,
    VERDICT,
)
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.runner import Header

__all__ = ["Answer", "StreamedAnswer"]


def _field(headers: tuple[Header, ...], name: bytes) -> bytes:
    return next((value for key, value in headers if key == name), b"")


def _verdict(headers: tuple[Header, ...]) -> Verdict:
    said = _field(headers, VERDICT).decode("ascii", "replace")
    known = {verdict.value: verdict for verdict in Verdict}
    return known.get(said, Verdict.MAY_HAVE_RUN)


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """A whole answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Header fields.
    body : bytes
        The whole body.
    verdict : Verdict
        Whether the request ran.
    attempts : int
        Tries that were made.
    key_stamp : bytes
        Stamp that the idempotency key was sent under; a later repeat needs it.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    verdict: Verdict
    attempts: int = 1
    key_stamp: bytes = b""

    @property
    def request_id(self) -> str:
        """Identifier for ``balsamctl explain``."""
        return _field(self.headers, REQUEST_ID).decode("ascii", "replace")

    @property
    def reason(self) -> str:
        """Reason of a refusal, empty otherwise."""
        return _field(self.headers, REASON).decode("ascii", "replace")

    def header(self, name: bytes) -> bytes:
        """Return the value of a header field, empty if it is missing."""
        return _field(self.headers, name)


class StreamedAnswer:
    """An answer whose body is read part by part.

    Parameters
    ----------
    pending : PendingRequest
        Where its events arrive.
    started : AnswerStarted
        Its head.
    """

    def __init__(self, pending: PendingRequest, started: AnswerStarted) -> None:
        self.pending = pending
        self.is_ended = started.is_ended
        self.headers = started.headers
        self.status = int(_field(started.headers, b":status"))
        self.verdict = _verdict(started.headers)
        self.stamp = _field(started.headers, STAMP)
        self.retry_after_ms = _field(started.headers, RETRY_AFTER_MS)

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body; raise if it does not arrive whole.

        Raises
        ------
        StreamBrokenError
            If the answer breaks off.
        """
        while not self.is_ended:
            event = await self.pending.events.receive()
            if isinstance(event, AnswerPart):
                self.is_ended = event.is_ended
                if event.data:
                    yield event.data
            elif isinstance(event, AnswerStarted):
                # Trailers.
                self.is_ended = event.is_ended
            else:
                raise StreamBrokenError(self.verdict, "the answer broke off")
