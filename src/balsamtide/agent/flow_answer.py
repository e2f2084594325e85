"""The answer of a request on its way to the caller's stream."""

from trio import current_time

from balsamtide.agent.flow_task import FlowTask
from balsamtide.agent.request_stream import RequestStream
from balsamtide.protocol.headers import REQUEST_ID, STAMP, VERDICT
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.runner import AnswerWriter, Header

__all__ = ["FlowAnswer"]

WRITE_BYTES = 64 * 1024


class FlowAnswer(AnswerWriter):
    """Writes an answer to a flow.

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
        self.is_started = False
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
        head = (
            (b":status", str(status).encode()),
            *(h for h in headers if h[0] not in (VERDICT, REQUEST_ID, STAMP)),
            (VERDICT, verdict.value.encode()),
            *self.added,
        )
        await self.flows.start_answer(self.stream.key, head, is_ended=is_ended)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; returns when there is room for more."""
        for position in range(0, len(chunk), WRITE_BYTES):
            await self._write(chunk[position : position + WRITE_BYTES])

    async def _write(self, chunk: bytes) -> None:
        before = current_time()
        await self.flows.write_answer(self.stream, chunk, is_ended=False)
        self.stall_s += current_time() - before

    async def end(self) -> None:
        """End a whole answer."""
        await self.flows.write_answer(self.stream, b"", is_ended=True)
