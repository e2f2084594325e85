"""Answers that the client library returns to the application."""

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


def _header_value(headers: tuple[Header, ...], name: bytes) -> bytes:
    return next((value for key, value in headers if key == name), b"")


def _parse_verdict(headers: tuple[Header, ...]) -> Verdict:
    text = _header_value(headers, VERDICT).decode("ascii", "replace")
    known = {verdict.value: verdict for verdict in Verdict}
    return known.get(text, Verdict.MAY_HAVE_RUN)


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """A complete answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Header fields.
    body : bytes
        Complete body.
    verdict : Verdict
        Whether the request ran on a target.
    attempts : int
        Attempt number sent with the answered attempt.  It starts again at 1 after a
        refusal, so it is not the number of requests sent.
    key_stamp : bytes
        Stamp sent with the request; a later retry must send the same.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes
    verdict: Verdict
    attempts: int = 1
    key_stamp: bytes = b""

    @property
    def request_id(self) -> str:
        """Identifier to pass to ``balsamctl explain``."""
        return _header_value(self.headers, REQUEST_ID).decode("ascii", "replace")

    @property
    def reason(self) -> str:
        """Reason why the request was refused, empty if it was not."""
        return _header_value(self.headers, REASON).decode("ascii", "replace")

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header field, empty if it is missing."""
        return _header_value(self.headers, name)


class StreamedAnswer:
    """An answer whose body is read as it arrives.

    Its ``stamp`` is the one received with the answer, for a later request; ``is_ended``
    tells whether the body is complete.

    Parameters
    ----------
    pending : PendingRequest
        Request whose channel delivers the events of the answer.
    started : AnswerStarted
        Event with the status and the header fields.
    """

    def __init__(self, pending: PendingRequest, started: AnswerStarted) -> None:
        self.pending = pending
        self.is_ended = started.is_ended
        self.headers = started.headers
        self.status = int(_header_value(started.headers, b":status"))
        self.verdict = _parse_verdict(started.headers)
        self.stamp = _header_value(started.headers, STAMP)
        self.retry_after_ms = _header_value(started.headers, RETRY_AFTER_MS)

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body in parts as they arrive.

        Raises
        ------
        StreamBrokenError
            If the stream or the flow ends before the body is complete.
        """
        while not self.is_ended:
            event = await self.pending.events.receive()
            if isinstance(event, AnswerPart):
                self.is_ended = event.is_ended
                if event.data:
                    yield event.data
            elif isinstance(event, AnswerStarted):
                # Header fields after the body are trailers.
                self.is_ended = event.is_ended
            else:
                raise StreamBrokenError(
                    self.verdict, "the stream ended before the answer was complete"
                )
