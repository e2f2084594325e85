"""Keeps a bounded copy of an answer while it is passed on."""

from balsamtide.requests.ledger import MAX_ANSWER_BYTES, RecordedAnswer
from balsamtide.requests.runner import AnswerWriter, Header

__all__ = ["AnswerRecorder"]


class AnswerRecorder(AnswerWriter):
    """Passes an answer to another writer and keeps it if it is small.

    Parameters
    ----------
    writer : AnswerWriter
        Where the answer goes.
    """

    def __init__(self, writer: AnswerWriter) -> None:
        self.writer = writer
        self.status = 0
        self.headers: tuple[Header, ...] = ()
        self.parts: list[bytes] = []
        self.size = 0

    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Take the status and headers."""
        self.status = status
        self.headers = headers
        await self.writer.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.size += len(chunk)
        if self.size > MAX_ANSWER_BYTES:
            self.parts.clear()
        else:
            self.parts.append(chunk)
        await self.writer.write(chunk)

    @property
    def answer(self) -> RecordedAnswer | None:
        """The answer, None if it is too large or has not begun."""
        if not self.status or self.size > MAX_ANSWER_BYTES:
            return None
        return RecordedAnswer(self.status, self.headers, b"".join(self.parts))
