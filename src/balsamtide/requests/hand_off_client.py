"""Sender of hand-offs over grpclib.

Each exchange is a single asyncio coroutine, since switching between trio and asyncio
costs more than the messages themselves; only the body, the answer and the result are
passed between the two loops.
"""

from asyncio import create_task, timeout
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from ssl import SSLContext
from typing import Any

from grpclib.client import Channel, StreamStreamMethod, StreamUnaryMethod
from grpclib.config import Configuration
from grpclib.exceptions import ProtocolError
from trio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    current_time,
    open_nursery,
)
from trio_asyncio import aio_as_trio, trio_as_aio

from balsamtide.protocol.messages import Endpoint
from balsamtide.protocol.rpc import RPC_ERRORS, RpcCodec
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.errors import (
    AttemptsFailed,
    GrantError,
    HandOffError,
    RequestError,
)
from balsamtide.requests.exits import Exit
from balsamtide.requests.hand_off import (
    SILENCE_TIMEOUT_S,
    HandOffSender,
    SenderState,
    decode_outcome,
    encode_facts,
)
from balsamtide.requests.hand_off_server import EXCHANGE_METHOD, LEDGER_METHOD
from balsamtide.requests.home import ForwardToHome, KeyedRun
from balsamtide.requests.ledger import LedgerSnapshot
from balsamtide.requests.messages import (
    AnswerHead,
    AnswerPart,
    BodyPart,
    Denied,
    Finished,
    ForwardedRequest,
    Granted,
    KeepAlive,
    LedgerAck,
    LedgerChunk,
    ReceiverMessage,
    Run,
    SenderMessage,
)
from balsamtide.requests.model import Outcome, RequestFacts
from balsamtide.requests.runner import AnswerWriter, RequestHead, Runner
from balsamtide.requests.succession import TransferResult

__all__ = ["RPC_CONFIGURATION", "HandOffClient", "HandOffRunner", "HomeRunner"]

PING_INTERVAL_S = 2.0
CLOSE_TIMEOUT_S = 0.5
CHUNK_ENTRIES = 256

RPC_CONFIGURATION = Configuration(
    _keepalive_time=PING_INTERVAL_S,
    _keepalive_timeout=PING_INTERVAL_S,
    _keepalive_permit_without_calls=True,
    _http2_max_pings_without_data=0,
    _http2_min_sent_ping_interval_without_data=PING_INTERVAL_S / 2,
)

CONNECTION_ERRORS = (BrokenResourceError, ClosedResourceError, *RPC_ERRORS)


@dataclass(frozen=True, slots=True)
class RunArguments:
    """Arguments of ``Runner.run``: a request and the writer of its answer.

    Parameters
    ----------
    facts : RequestFacts
        Properties of the request.
    head : RequestHead
        Method, path and headers.
    body : async iterator of bytes
        Body; read in another task than the runner's.
    answer : AnswerWriter
        Writer that receives the answer.
    """

    facts: RequestFacts
    head: RequestHead
    body: AsyncIterator[bytes]
    answer: AnswerWriter


@asynccontextmanager
async def _open(method: Any) -> AsyncIterator[Any]:
    """Open a stream.

    Leaving the block before the stream ended resets the stream, which cancels the
    request at the peer.  Connection errors on exit are ignored, since the outcome is
    known by then.
    """
    context = method.open()
    stream = await context.__aenter__()
    try:
        yield stream
    except BaseException as error:
        with suppress(*CONNECTION_ERRORS):
            await context.__aexit__(type(error), error, None)
        raise
    with suppress(*CONNECTION_ERRORS, TimeoutError):
        async with timeout(CLOSE_TIMEOUT_S):
            await context.__aexit__(None, None, None)


async def _receive(stream: Any) -> ReceiverMessage | None:
    """Return the next message other than a keep-alive, None if the peer is silent."""
    while True:
        try:
            async with timeout(SILENCE_TIMEOUT_S):
                message: ReceiverMessage | None = await stream.recv_message()
        except TimeoutError:
            return None
        if message is None:
            raise ProtocolError("stream ended without an outcome")
        if not isinstance(message, KeepAlive):
            return message


async def _request_reply(stream: Any, message: Any, seconds: float) -> Any:
    """Send a message and return the reply, None if it isn't received in time."""
    try:
        async with timeout(seconds):
            await stream.send_message(message)
            return await stream.recv_message()
    except TimeoutError:
        return None


async def _send_body(stream: Any, body: AsyncIterator[bytes]) -> None:
    read = trio_as_aio(body.__anext__)
    try:
        while True:
            try:
                chunk = await read()
            except StopAsyncIteration:
                break
            await stream.send_message(BodyPart(chunk))
        await stream.end()
    except CONNECTION_ERRORS:
        # The reader of the stream gets the same error and decides the verdict.
        return


async def _relay_answer(
    stream: Any,
    sender: HandOffSender,
    answer: AnswerWriter,
    first: ReceiverMessage | None,
) -> Outcome:
    """Write the answer until the outcome is received or the peer falls silent."""
    message = first or await _receive(stream)
    while not isinstance(message, Finished):
        match message:
            case AnswerHead(status, headers):
                sender.answer_started()
                await trio_as_aio(answer.start)(status, headers)
            case AnswerPart(octets):
                await trio_as_aio(answer.write)(octets)
            case None:
                return sender.exit_on_loss(is_silent=True).outcome()
            case _:
                raise ProtocolError(f"unexpected message {type(message).__name__}")
        message = await _receive(stream)
    return decode_outcome(message)


async def _exchange_bodies(
    stream: Any, sender: HandOffSender, args: RunArguments
) -> Outcome:
    """Send the body and relay the answer concurrently."""
    sending = create_task(_send_body(stream, args.body))
    try:
        return await _relay_answer(stream, sender, args.answer, None)
    except CONNECTION_ERRORS:
        return sender.exit_on_loss(is_silent=False).outcome()
    finally:
        sending.cancel()


class HandOffClient:
    """Connections of an agent to its peers, for use in one trio-asyncio loop.

    Parameters
    ----------
    endpoint : callable
        Returns the RPC endpoint of a target's agent, None if there is none.
    ssl : SSLContext or None
        Client context for mutual TLS.
    on_reply : callable or None
        Called when an offer has ended, also without a reply, with the target number,
        whether it granted a slot, and the seconds since the offer.
    """

    def __init__(
        self,
        endpoint: Callable[[int], Endpoint | None],
        *,
        ssl: SSLContext | None = None,
        on_reply: Callable[[int, bool, float], None] | None = None,
    ) -> None:
        self.endpoint = endpoint
        self.ssl = ssl
        self.on_reply = on_reply
        self.channels: dict[int, tuple[Endpoint, Channel]] = {}

    def channel(self, target: int) -> Channel:
        """Return the connection to a peer, opened on first use.

        Raises
        ------
        GrantError
            If the target has no agent.
        """
        endpoint = self.endpoint(target)
        if endpoint is None:
            raise GrantError("no-grant", f"target {target} has no agent")
        known = self.channels.get(target)
        if known is not None and known[0] == endpoint:
            return known[1]
        self.drop(target)
        channel = Channel(
            endpoint.host,
            endpoint.port,
            codec=RpcCodec(),
            ssl=self.ssl,
            config=RPC_CONFIGURATION,
        )
        self.channels[target] = endpoint, channel
        return channel

    def drop(self, target: int) -> None:
        """Close the connection to a peer; the next use opens a new one."""
        known = self.channels.pop(target, None)
        if known is not None:
            known[1].close()

    def close(self) -> None:
        """Close all connections."""
        for target in list(self.channels):
            self.drop(target)

    def exchange_rpc(
        self, target: int
    ) -> StreamStreamMethod[SenderMessage, ReceiverMessage]:
        """Return the RPC method for one hand-off or forwarded retry to ``target``."""
        channel = self.channel(target)
        return StreamStreamMethod(
            channel,
            EXCHANGE_METHOD,
            SenderMessage,  # type: ignore[arg-type]
            ReceiverMessage,  # type: ignore[arg-type]
        )

    def runner(
        self, targets: Sequence[int], keyed: KeyedRun | None = None
    ) -> "HandOffRunner":
        """Return a runner that offers a request to all ``targets``."""
        return HandOffRunner(self, targets, keyed)

    def home_runner(self, decision: ForwardToHome) -> "HomeRunner":
        """Return a runner that forwards a retry to its home."""
        return HomeRunner(self, decision)

    async def send_ledger(
        self, target: int, snapshot: LedgerSnapshot
    ) -> TransferResult:
        """Send the snapshot of a closed ledger to ``target``."""
        try:
            method: Any = StreamUnaryMethod(
                self.channel(target), LEDGER_METHOD, LedgerChunk, LedgerAck
            )
        except HandOffError:
            return TransferResult.NOT_SENT
        return await aio_as_trio(self._send_ledger)(method, snapshot)

    async def _send_ledger(
        self, method: Any, snapshot: LedgerSnapshot
    ) -> TransferResult:
        """Send a snapshot; an asyncio coroutine."""
        is_sent = False
        try:
            async with timeout(SILENCE_TIMEOUT_S), _open(method) as stream:
                await stream.send_request()
                is_sent = True
                return await self._send_chunks(stream, snapshot)
        except (*CONNECTION_ERRORS, TimeoutError):
            return TransferResult.UNSURE if is_sent else TransferResult.NOT_SENT

    async def _send_chunks(
        self, stream: Any, snapshot: LedgerSnapshot
    ) -> TransferResult:
        for first in range(0, max(1, len(snapshot.entries)), CHUNK_ENTRIES):
            chunk = LedgerChunk(
                snapshot.target,
                snapshot.tenure,
                snapshot.watermark,
                snapshot.entries[first : first + CHUNK_ENTRIES],
                first + CHUNK_ENTRIES >= len(snapshot.entries),
            )
            await stream.send_message(chunk)
        await stream.end()
        reply = await stream.recv_message()
        if reply is None:
            return TransferResult.UNSURE
        return TransferResult.ADOPTED if reply.is_adopted else TransferResult.REFUSED


class _ConcurrentOffers:
    """Concurrent offers of one request; the first grant cancels the others."""

    def __init__(self) -> None:
        self.scopes: dict[int, CancelScope] = {}
        self.granted_target: int | None = None
        self.outcome: Outcome | None = None

    def record_grant(self, target: int) -> None:
        """Cancel the offers at all peers but ``target``.

        Raises
        ------
        GrantError
            If another target granted first.
        """
        if self.granted_target is not None:
            raise GrantError(
                Exit.NO_GRANT.reason,
                f"target {target}: target {self.granted_target} granted first",
            )
        self.granted_target = target
        for other, scope in self.scopes.items():
            if other != target:
                scope.cancel()


class HandOffRunner(Runner):
    """Offers a request to several peers and runs it at the first that grants.

    The outcome ``NOT_RUN`` with the reason ``"no-grant"`` means that no peer granted a
    slot and that the body was not read.  ``attempts`` lists the errors of the offers
    that led to no run; ``target`` is the peer that was sent the run message.

    Parameters
    ----------
    client : HandOffClient
        Connections to the peers.
    targets : sequence of int
        Target numbers, best first.
    keyed : KeyedRun or None
        Claim in the ledger of the home, for a keyed request.
    """

    def __init__(
        self, client: HandOffClient, targets: Sequence[int], keyed: KeyedRun | None
    ) -> None:
        self.client = client
        self.targets = targets
        self.keyed = keyed
        self.target: int | None = None
        self.attempts: list[RequestError] = []

    async def run(
        self,
        facts: RequestFacts,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Run the request at the first peer that grants a slot."""
        args = RunArguments(facts, head, body, answer)
        offers = _ConcurrentOffers()
        async with open_nursery() as nursery:
            for target in self.targets:
                nursery.start_soon(self._offer_and_run, target, offers, args)
        return offers.outcome or Exit.NO_GRANT.outcome()

    async def _offer_and_run(
        self, target: int, offers: "_ConcurrentOffers", args: RunArguments
    ) -> None:
        with CancelScope() as scope:
            offers.scopes[target] = scope
            try:
                method = self.client.exchange_rpc(target)
                exchange = aio_as_trio(self._exchange)
                offers.outcome = await exchange(method, target, offers, args)
            except GrantError as error:
                self.attempts.append(error)

    @property
    def error(self) -> AttemptsFailed:
        """The failures of all peers as one error."""
        return AttemptsFailed("no peer granted a slot", self.attempts)

    async def _exchange(
        self, method: Any, target: int, offers: "_ConcurrentOffers", args: RunArguments
    ) -> Outcome:
        """Run one exchange; an asyncio coroutine.

        ``GrantError`` is raised only if nothing but the offer was sent.
        """
        sender = HandOffSender(args.facts, current_time())
        try:
            async with _open(method) as stream:
                await self._offer(stream, sender, target)
                offers.record_grant(target)
                return await self._run_granted(stream, sender, args, target)
        except CONNECTION_ERRORS as error:
            if sender.state in (SenderState.OFFERED, SenderState.GRANTED):
                reason = Exit.PEER_LOST_BEFORE_RUN_MESSAGE.reason
                raise GrantError(reason, f"target {target}: {error!r}") from error
            return sender.exit_on_loss(is_silent=False).outcome()

    async def _offer(self, stream: Any, sender: HandOffSender, target: int) -> None:
        sent_at = current_time()
        seconds = sender.offer_reply_deadline - sent_at
        reply = await _request_reply(stream, sender.offer(sent_at), seconds)
        now = current_time()
        self._report_reply(target, isinstance(reply, Granted), now - sent_at)
        if isinstance(reply, Denied):
            raise GrantError(Exit.NO_GRANT.reason, f"target {target}: {reply.reason}")
        if not isinstance(reply, Granted):
            raise GrantError(
                Exit.NO_GRANT.reason,
                f"target {target}: no grant within {seconds:.3f} s, "
                f"received {type(reply).__name__}",
            )
        sender.accept_grant(reply)

    def _report_reply(self, target: int, is_granted: bool, seconds: float) -> None:
        if self.client.on_reply is not None:
            self.client.on_reply(target, is_granted, seconds)

    async def _run_granted(
        self, stream: Any, sender: HandOffSender, args: RunArguments, target: int
    ) -> Outcome:
        if self.keyed is not None and not self.keyed.start():
            return Exit.TENURE_CLOSED.outcome()
        now = current_time()
        if not sender.use_grant(now):
            self._revert_start()
            late_s = now - sender.grant_deadline
            raise GrantError(
                Exit.GRANT_EXPIRED.reason,
                f"target {target}: {late_s:.3f} s past the deadline of the grant",
            )
        self.target = target
        remaining = encode_facts(args.facts, now).remaining_us
        run = Run(args.head.path, args.head.headers, remaining)
        await stream.send_message(run)
        outcome = await _exchange_bodies(stream, sender, args)
        if outcome.verdict is Verdict.NOT_RUN:
            self._revert_start()
        return outcome

    def _revert_start(self) -> None:
        if self.keyed is not None:
            self.keyed.revert_start()


class HomeRunner(Runner):
    """Forwards a retry to its home; tries the candidates in order.

    If a candidate fails to reply, the next one can be tried safely: only the agent that
    has the ledger of the tenure runs the request.

    Parameters
    ----------
    client : HandOffClient
        Connections to the peers.
    decision : ForwardToHome
        Candidates and stamp.
    """

    def __init__(self, client: HandOffClient, decision: ForwardToHome) -> None:
        self.client = client
        self.decision = decision
        self.target: int | None = None

    async def run(
        self,
        facts: RequestFacts,
        head: RequestHead,
        body: AsyncIterator[bytes],
        answer: AnswerWriter,
    ) -> Outcome:
        """Run the retry at its home, or get the recorded answer from it."""
        args = RunArguments(facts, head, body, answer)
        outcome = Exit.HOME_UNREACHABLE.outcome()
        for target in self.decision.targets:
            sender = HandOffSender(facts, current_time())
            try:
                method = self.client.exchange_rpc(target)
                forward = aio_as_trio(self._forward)
                outcome = await forward(method, sender, args)
            except (*CONNECTION_ERRORS, HandOffError):
                outcome = Exit.HOME_UNREACHABLE.outcome()
            if sender.state is SenderState.ANSWERING and not outcome.is_complete:
                return Exit.PEER_LOST_IN_ANSWER.outcome(status=outcome.status)
            # Try the next candidate only if this one is not the home and runs nothing.
            if (
                outcome.reason not in NOT_THE_HOME_REASONS
                or sender.state in STARTED_STATES
            ):
                self.target = target
                return outcome
        return outcome

    async def _forward(
        self, method: Any, sender: HandOffSender, args: RunArguments
    ) -> Outcome:
        """Forward to one candidate; an asyncio coroutine."""
        now = current_time()
        request = ForwardedRequest(
            encode_facts(args.facts, now),
            self.decision.stamp,
            args.head.path,
            args.head.headers,
        )
        async with _open(method) as stream:
            reply = await _request_reply(
                stream, request, sender.home_reply_deadline - now
            )
            if reply is None:
                return Exit.HOME_UNREACHABLE.outcome()
            if not isinstance(reply, Granted):
                return await _relay_answer(stream, sender, args.answer, reply)
            sender.record_home_grant()
            return await _exchange_bodies(stream, sender, args)


NOT_THE_HOME_REASONS = frozenset(
    (Exit.TENURE_GONE.reason, Exit.HOME_UNREACHABLE.reason)
)
STARTED_STATES = frozenset((SenderState.RUN_SENT, SenderState.ANSWERING))
