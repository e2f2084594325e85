"""The answer of a request on its way to the caller's stream."""

from trio import current_time

from balsamtide.agent.flow_task import FlowTask
from balsamtide.agent.request_stream import RequestStream
from balsamtide.protocol.headers import REQUEST_ID, STAMP, VERDICT
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.ledger import MOST_ANSWER_BYTES, RecordedAnswer
from balsamtide.requests.runner import AnswerWriter, Header

__all__ = ["FlowAnswer"]

WRITE_BYTES = 64 * 1024


class FlowAnswer(AnswerWriter):
    """Writes an answer to a flow, and records it for the ledger if asked.

    Parameters
    ----------
    flows : FlowTask
        Owner of the flow.
    stream : RequestStream
        The request.
    request_id : str
        Shown to the caller.
    stamp : bytes
        Fresh stamp for the caller's next keyed request.
    is_recorded : bool
        Whether to keep the answer for repeats.
    """

    def __init__(
        self,
        *,
        flows: FlowTask,
        stream: RequestStream,
        request_id: str,
        stamp: bytes,
    ) -> None:
        self.flows = flows
        self.stream = stream
        self.added = ((REQUEST_ID, request_id.encode()), (STAMP, stamp))
        self.is_recorded = False
        self.is_started = False
        self.status = 0
        self.headers: tuple[Header, ...] = ()
        self.recorded: bytearray | None = bytearray()
        self.stall_s = 0.0

    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of an answer of the target."""
        await self.start_with(status, headers, Verdict.RAN)

    async def start_with(
        self,
        status: int,
        headers: tuple[Header, ...],
        verdict: Verdict,
        *,
        is_ended: bool = False,
    ) -> None:
        """Send the head of an answer with a verdict."""
        self.is_started = True
        self.status = status
        self.headers = headers
        head = (
            (b":status", str(status).encode()),
            *(h for h in headers if h[0] not in (VERDICT, REQUEST_ID, STAMP)),
            (VERDICT, verdict.value.encode()),
            *self.added,
        )
        await self.flows.start_answer(self.stream.key, head, is_ended=is_ended)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; returns when there is room for more."""
        self._record(chunk)
        for position in range(0, len(chunk), WRITE_BYTES):
            await self._write(chunk[position : position + WRITE_BYTES])

    async def _write(self, chunk: bytes) -> None:
        before = current_time()
        await self.flows.write_answer(self.stream, chunk, is_ended=False)
        self.stall_s += current_time() - before

    def _record(self, chunk: bytes) -> None:
        if not self.is_recorded or self.recorded is None:
            return
        self.recorded += chunk
        if len(self.recorded) > MOST_ANSWER_BYTES:
            self.recorded = None

    def recorded_answer(self) -> RecordedAnswer | None:
        """Return the whole answer, None if it is too large to keep."""
        if self.recorded is None or not self.is_started:
            return None
        return RecordedAnswer(self.status, self.headers, bytes(self.recorded))

    async def end(self) -> None:
        """End a whole answer."""
        await self.flows.write_answer(self.stream, b"", is_ended=True)
