"""Questions about requests among the agents of one service, over grpclib.

One question costs one call to each peer asked, and at most `MAX_PEERS` are asked.
Both sides run inside a trio-asyncio loop that the daemon has opened.
"""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from ssl import SSLContext
from typing import Any

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.server import Stream
from msgspec import Struct
from trio import move_on_after, open_nursery
from trio_asyncio import aio_as_trio

from balsamtide.protocol.messages import Endpoint
from balsamtide.protocol.rpc import RPC_ERRORS, RpcCodec
from balsamtide.telemetry.events import PEER_SILENT
from balsamtide.telemetry.request_log import RequestLog
from balsamtide.telemetry.sink import Sink
from balsamtide.telemetry.summary import RequestView, Summary, merge

__all__ = ["MAX_PEERS", "Peer", "PeerQuery", "TelemetryService"]

MAX_PEERS = 32
DEADLINE_S = 1.0
GUARD_S = 0.5
SUMMARY_PATH = "/balsamtide.Telemetry/Summary"
REQUEST_PATH = "/balsamtide.Telemetry/Request"


class SummaryQuestion(Struct, frozen=True, array_like=True):
    """Asks for the summary of a service."""

    service: str


class RequestQuestion(Struct, frozen=True, array_like=True):
    """Asks for one request."""

    request_id: str


class RequestAnswer(Struct, frozen=True, array_like=True):
    """The request, if it is kept."""

    request: RequestView | None = None


@dataclass(frozen=True, slots=True)
class Peer:
    """An agent of the same service.

    Parameters
    ----------
    instance : str
        Instance identifier.
    rpc : Endpoint
        Where it serves grpclib.
    """

    instance: str
    rpc: Endpoint


class TelemetryService:
    """Answers the questions of peers; one of the services of a grpclib server.

    Parameters
    ----------
    log : RequestLog
        The requests of this agent.
    """

    def __init__(self, log: RequestLog) -> None:
        self.log = log

    async def summary(self, stream: Stream[SummaryQuestion, Summary]) -> None:
        """Answer with the summary of this agent."""
        question = await stream.recv_message()
        if question is not None:
            await stream.send_message(self.log.summary(question.service))

    async def request(self, stream: Stream[RequestQuestion, RequestAnswer]) -> None:
        """Answer with one request."""
        question = await stream.recv_message()
        if question is not None:
            view = self.log.find(question.request_id)
            await stream.send_message(RequestAnswer(view))

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods by path, as grpclib asks for them."""
        unary = Cardinality.UNARY_UNARY
        return {
            SUMMARY_PATH: Handler(self.summary, unary, SummaryQuestion, Summary),
            REQUEST_PATH: Handler(self.request, unary, RequestQuestion, RequestAnswer),
        }


class PeerQuery:
    """Asks the agents of a service and merges what they answer.

    Parameters
    ----------
    log : RequestLog
        The requests of this agent.
    peers : callable
        Returns the peers of this agent's service, without itself.
    sink : Sink
        Told of peers that do not answer.
    ssl : SSLContext or None
        TLS towards peers.
    deadline_s : float
        Longest wait for a peer, seconds.
    """

    def __init__(
        self,
        log: RequestLog,
        *,
        peers: Callable[[], Sequence[Peer]],
        sink: Sink,
        ssl: SSLContext | None = None,
        deadline_s: float = DEADLINE_S,
    ) -> None:
        self.log = log
        self.peers = peers
        self.sink = sink
        self.ssl = ssl
        self.deadline_s = deadline_s

    async def summary(self, service: str) -> Summary:
        """Return the summary of all agents that answer; it names the silent ones."""
        parts = [self.log.summary(service)]
        peers = self.peers()

        async def ask(peer: Peer) -> None:
            question = SummaryQuestion(service)
            parts.append(await self._call(peer, SUMMARY_PATH, question, Summary))

        silent = await self._ask_all(peers[:MAX_PEERS], ask)
        silent += [peer.instance for peer in peers[MAX_PEERS:]]
        return merge([*parts, Summary(service=service, silent=tuple(silent))])

    async def request(self, request_id: str) -> RequestView | None:
        """Return a request that this agent or a peer keeps."""
        found = [self.log.find(request_id)]

        async def ask(peer: Peer) -> None:
            question = RequestQuestion(request_id)
            answer = await self._call(peer, REQUEST_PATH, question, RequestAnswer)
            found.append(answer.request)

        if found[0] is None:
            await self._ask_all(self.peers()[:MAX_PEERS], ask)
        return next((view for view in found if view is not None), None)

    async def _ask_all(
        self, peers: Sequence[Peer], ask: Callable[[Peer], Awaitable[None]]
    ) -> list[str]:
        silent: list[str] = []

        async def try_one(peer: Peer) -> None:
            if not await self._answers(peer, ask):
                silent.append(peer.instance)
                self.sink.event(PEER_SILENT, peer=peer.instance)

        async with open_nursery() as nursery:
            for peer in peers:
                nursery.start_soon(try_one, peer)
        return silent

    async def _answers(
        self, peer: Peer, ask: Callable[[Peer], Awaitable[None]]
    ) -> bool:
        with move_on_after(self.deadline_s + GUARD_S):
            try:
                await ask(peer)
            except RPC_ERRORS:
                return False
            return True
        return False

    async def _call(
        self, peer: Peer, path: str, question: Struct, answer_type: type[Any]
    ) -> Any:
        async def call() -> Any:
            channel = Channel(
                peer.rpc.host, peer.rpc.port, ssl=self.ssl, codec=RpcCodec()
            )
            try:
                method = UnaryUnaryMethod(channel, path, type(question), answer_type)
                return await method(question, timeout=self.deadline_s)
            finally:
                channel.close()

        return await aio_as_trio(call)()
