"""Receiver of hand-offs as a grpclib service.

Register ``HandOffService`` on a grpclib ``Server`` in a trio-asyncio loop; the server
can serve other services too.
"""

from asyncio import timeout
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from functools import partial
from typing import Any

from grpclib.const import Cardinality, Handler
from trio import (
    Lock,
    current_time,
    open_nursery,
    sleep_until,
)
from trio_asyncio import aio_as_trio, trio_as_aio

from balsamtide.requests.exits import Exit
from balsamtide.requests.hand_off import (
    KEEPALIVE_INTERVAL_S,
    SILENCE_TIMEOUT_S,
    HandOffReceiver,
    decode_facts,
    encode_outcome,
)
from balsamtide.requests.hand_off_host import HandOffHost
from balsamtide.requests.home import Refuse, Replay, RunHere
from balsamtide.requests.ledger import LedgerSnapshot
from balsamtide.requests.messages import (
    AnswerHead,
    AnswerPart,
    BodyPart,
    Denied,
    ForwardedRequest,
    Granted,
    KeepAlive,
    LedgerAck,
    LedgerChunk,
    Offer,
    ReceiverMessage,
    Run,
    SenderMessage,
)
from balsamtide.requests.model import Outcome
from balsamtide.requests.runner import AnswerWriter, Header, RequestHead

__all__ = ["EXCHANGE_METHOD", "LEDGER_METHOD", "HandOffService"]

EXCHANGE_METHOD = "/balsamtide.HandOff/Exchange"
LEDGER_METHOD = "/balsamtide.HandOff/TakeLedger"
# Bounds the memory for one transfer; well above MAX_ENTRIES, the capacity of a ledger.
MAX_RECEIVED_ENTRIES = 100_000


class StreamAnswerWriter(AnswerWriter):
    """Sends an answer to the agent that handed the request off or forwarded it.

    While the stream is idle, it sends keep-alives.

    Parameters
    ----------
    stream : grpclib.server.Stream
        Stream of the exchange.
    """

    def __init__(self, stream: Any) -> None:
        self.send_message = aio_as_trio(stream.send_message)
        self.lock = Lock()
        self.next_keepalive = current_time() + KEEPALIVE_INTERVAL_S

    async def send(self, message: ReceiverMessage) -> None:
        """Send one message; return when flow control has accepted it."""
        async with self.lock:
            await self.send_message(message)
        self.next_keepalive = current_time() + KEEPALIVE_INTERVAL_S

    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of the answer."""
        await self.send(AnswerHead(status, headers))

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        await self.send(AnswerPart(chunk))

    async def send_keepalives(self) -> None:
        """Send keep-alives on the idle stream until cancelled."""
        while True:
            await sleep_until(self.next_keepalive)
            if current_time() >= self.next_keepalive:
                await self.send(KeepAlive())


async def _read_body(stream: Any) -> AsyncIterator[bytes]:
    receive = aio_as_trio(stream.recv_message)
    while (message := await receive()) is not None:
        if isinstance(message, BodyPart):
            yield message.octets


class HandOffService:
    """Grants slots to peers, runs their requests and answers forwarded retries.

    Parameters
    ----------
    host : HandOffHost
        Agent that serves the peers.
    """

    def __init__(self, host: HandOffHost) -> None:
        self.host = host

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers of the service for grpclib."""
        return {
            EXCHANGE_METHOD: Handler(
                self.exchange, Cardinality.STREAM_STREAM, SenderMessage, ReceiverMessage
            ),
            LEDGER_METHOD: Handler(
                self.take_ledger, Cardinality.STREAM_UNARY, LedgerChunk, LedgerAck
            ),
        }

    async def exchange(self, stream: Any) -> None:
        """Serve one hand-off or one forwarded retry; an asyncio handler."""
        match await stream.recv_message():
            case Offer() as offer:
                await self._serve_offer(offer, stream)
            case ForwardedRequest() as request:
                await trio_as_aio(self._serve_forwarded)(request, stream)

    async def _serve_offer(self, offer: Offer, stream: Any) -> None:
        receiver = HandOffReceiver(offer, current_time())
        is_started = False
        try:
            run = await self._grant(receiver, stream)
            is_started = run is not None
        finally:
            if not is_started:
                self.host.withdraw(receiver.facts.request_id)
        if run is None:
            return
        head = RequestHead(receiver.facts.method, run.path, run.headers)
        run_granted = partial(self.host.run_granted, receiver.facts, head)
        outcome = await trio_as_aio(self._run)(stream, run_granted)
        await stream.send_message(encode_outcome(outcome))

    async def _grant(self, receiver: HandOffReceiver, stream: Any) -> Run | None:
        """Grant a slot and wait for the run message.

        Return None if no slot was granted or no run message came before the grant
        expired.
        """
        is_granted = await trio_as_aio(self.host.offer)(
            receiver.facts, receiver.grant_deadline, receiver.wait_deadline
        )
        if not is_granted:
            await stream.send_message(Denied("no-slot"))
            return None
        grant = receiver.issue_grant(current_time())
        message = None
        with suppress(TimeoutError):
            async with timeout(receiver.grant_deadline - current_time()):
                await stream.send_message(grant)
                message = await stream.recv_message()
        is_used = isinstance(message, Run) and receiver.use_grant(current_time())
        if is_used and self.host.use_grant(receiver.facts.request_id):
            return message
        await stream.send_message(encode_outcome(Exit.GRANT_EXPIRED.outcome()))
        return None

    async def _serve_forwarded(self, request: ForwardedRequest, stream: Any) -> None:
        answer = StreamAnswerWriter(stream)
        facts = decode_facts(request.metadata, current_time())
        decision = self.host.decide_forwarded(facts, request.stamp)
        match decision:
            case Replay(recorded):
                await answer.start(recorded.status, recorded.headers)
                await answer.write(recorded.body)
                outcome = Exit.REPLAYED.outcome(status=recorded.status)
            case RunHere():
                await answer.send(Granted(0))
                head = RequestHead(facts.method, request.path, request.headers)
                run = partial(self.host.run_forwarded, facts, decision, head)
                outcome = await self._run(stream, run)
            case Refuse(refusal):
                outcome = Outcome(
                    verdict=refusal.verdict,
                    status=refusal.status,
                    is_complete=False,
                    reason=refusal.reason,
                )
            case _:  # ForwardToHome, which decide_forwarded never returns.
                outcome = Exit.TENURE_GONE.outcome()
        await answer.send(encode_outcome(outcome))

    async def _run(
        self,
        stream: Any,
        run: Callable[[AsyncIterator[bytes], AnswerWriter], Awaitable[Outcome]],
    ) -> Outcome:
        """Run a request; send keep-alives until it ends."""
        answer = StreamAnswerWriter(stream)
        async with open_nursery() as nursery:
            nursery.start_soon(answer.send_keepalives)
            outcome = await run(_read_body(stream), answer)
            nursery.cancel_scope.cancel()
        return outcome

    async def take_ledger(self, stream: Any) -> None:
        """Receive the chunks of a closed ledger; an asyncio handler."""
        snapshot = await self._receive_snapshot(stream)
        is_adopted = snapshot is not None and self.host.adopt(snapshot)
        await stream.send_message(LedgerAck(is_adopted))

    async def _receive_snapshot(self, stream: Any) -> LedgerSnapshot | None:
        entries: list[Any] = []
        while True:
            chunk = None
            with suppress(TimeoutError):
                async with timeout(SILENCE_TIMEOUT_S):
                    chunk = await stream.recv_message()
            if chunk is None or len(entries) > MAX_RECEIVED_ENTRIES:
                return None
            entries.extend(chunk.entries)
            if chunk.is_last:
                return LedgerSnapshot(
                    chunk.target, chunk.tenure, chunk.watermark, tuple(entries)
                )
