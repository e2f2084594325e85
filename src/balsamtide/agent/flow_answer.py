"""Writer that sends an answer on the caller's HTTP/3 stream."""

from trio import current_time

from balsamtide.agent.flow_task import FlowTask
from balsamtide.agent.request_stream import RequestStream
from balsamtide.protocol.headers import REQUEST_ID, STAMP, VERDICT
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.runner import AnswerWriter, Header

__all__ = ["FlowAnswer"]

WRITE_BYTES = 64 * 1024


class FlowAnswer(AnswerWriter):
    """Writes the answer of one request to its flow.

    Parameters
    ----------
    flows : FlowTask
        Task that owns the flow.
    stream : RequestStream
        Stream of the request.
    request_id : str
        Identifier sent to the caller.
    stamp : bytes
        New stamp for the caller's next request with an idempotency key.
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
        self.agent_headers = ((REQUEST_ID, request_id.encode()), (STAMP, stamp))
        self.is_started = False
        # Total time that writes waited for room on the flow.
        self.stall_s = 0.0

    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the status and headers of the target's answer."""
        await self.start_with_verdict(status, headers, Verdict.RAN)

    async def start_with_verdict(
        self,
        status: int,
        headers: tuple[Header, ...],
        verdict: Verdict,
        *,
        is_ended: bool = False,
    ) -> None:
        """Send a status, headers and a verdict.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : tuple of (bytes, bytes)
            Header fields; those that the agent sets itself are replaced.
        verdict : Verdict
            Whether the request ran.
        is_ended : bool
            Whether the answer has no body.
        """
        self.is_started = True
        head = (
            (b":status", str(status).encode()),
            *(h for h in headers if h[0] not in (VERDICT, REQUEST_ID, STAMP)),
            (VERDICT, verdict.value.encode()),
            *self.agent_headers,
        )
        await self.flows.start_answer(self.stream.key, head, is_ended=is_ended)

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body; return once there is room for more."""
        for position in range(0, len(chunk), WRITE_BYTES):
            await self._write(chunk[position : position + WRITE_BYTES])

    async def _write(self, chunk: bytes) -> None:
        before = current_time()
        await self.flows.write_answer(self.stream, chunk, is_ended=False)
        self.stall_s += current_time() - before

    async def end(self) -> None:
        """End a complete answer."""
        await self.flows.write_answer(self.stream, b"", is_ended=True)
