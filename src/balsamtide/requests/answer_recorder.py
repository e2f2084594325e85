"""Recording of small answers while they are streamed."""

from balsamtide.requests.ledger import MAX_ANSWER_BYTES, RecordedAnswer
from balsamtide.requests.runner import AnswerWriter, Header

__all__ = ["AnswerRecorder"]


class AnswerRecorder(AnswerWriter):
    """Forwards an answer to another writer and keeps a copy of a small one.

    Parameters
    ----------
    writer : AnswerWriter
        Writer that receives the answer.
    """

    def __init__(self, writer: AnswerWriter) -> None:
        self.writer = writer
        self.status = 0
        self.headers: tuple[Header, ...] = ()
        self.chunks: list[bytes] = []
        self.size = 0

    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Record and forward the status and headers."""
        self.status = status
        self.headers = headers
        await self.writer.start(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Record and forward a chunk of the body."""
        self.size += len(chunk)
        if self.size > MAX_ANSWER_BYTES:
            self.chunks.clear()
        else:
            self.chunks.append(chunk)
        await self.writer.write(chunk)

    @property
    def answer(self) -> RecordedAnswer | None:
        """The recorded answer; None if it hasn't started or exceeds the limit."""
        if not self.status or self.size > MAX_ANSWER_BYTES:
            return None
        return RecordedAnswer(self.status, self.headers, b"".join(self.chunks))
