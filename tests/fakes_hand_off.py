"""Fake host, answer writer and server for the tests of the hand-off."""

from contextlib import asynccontextmanager

from grpclib.server import Server
from trio import current_time
from trio_asyncio import aio_as_trio, open_loop

from balsamtide.protocol.messages import Endpoint
from balsamtide.protocol.rpc import RpcCodec
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.hand_off_client import RPC_CONFIGURATION, HandOffClient
from balsamtide.requests.hand_off_host import HandOffHost
from balsamtide.requests.hand_off_server import HandOffService
from balsamtide.requests.home import Home
from balsamtide.requests.ledger import Ledger
from balsamtide.requests.model import Outcome
from balsamtide.requests.runner import AnswerWriter

__all__ = ["FakeHost", "RecordingWriter", "chunks", "serving"]

PEER_TARGET = 3


class RecordingWriter(AnswerWriter):
    """Records the answer."""

    def __init__(self):
        self.status = 0
        self.headers = ()
        self.body = b""

    async def start(self, status, headers):
        """Record the status and headers."""
        self.status, self.headers = status, headers

    async def write(self, chunk):
        """Record a chunk of the body."""
        self.body += chunk


class FakeHost(HandOffHost):
    """Grants slots if ``is_granting``; echoes the request body or calls ``handler``."""

    def __init__(self, handler=None):
        self.is_granting = True
        self.handler = handler
        self.home = Home(1, Ledger(target=PEER_TARGET, tenure=77))
        self.reserved = {}
        self.withdrawn = []
        self.runs = []
        self.cancelled = []

    async def offer(self, facts, grant_deadline, wait_deadline):
        """Reserve a slot if ``is_granting``."""
        if self.is_granting:
            self.reserved[facts.request_id] = grant_deadline
        return self.is_granting

    def use_grant(self, request_id):
        """Use a reservation before its deadline."""
        return current_time() < self.reserved.pop(request_id, 0.0)

    def withdraw(self, request_id):
        """Release the reservation and record the call."""
        self.reserved.pop(request_id, None)
        self.withdrawn.append(request_id)

    async def run_granted(self, facts, head, body, answer):
        """Run the handler; record the run and whether it was cancelled."""
        self.runs.append((facts, head))
        is_done = False
        try:
            if self.handler is not None:
                outcome = await self.handler(facts, body, answer)
                is_done = True
                return outcome
            octets = b"".join([chunk async for chunk in body])
            await answer.start(200, ((b"x", b"y"),))
            await answer.write(octets)
            is_done = True
        finally:
            if not is_done:
                self.cancelled.append(facts.request_id)
        return Outcome(verdict=Verdict.RAN, status=200, service_time_s=0.5)

    def decide_forwarded(self, facts, stamp):
        """Return the decision of the home."""
        return self.home.decide_forwarded(facts, stamp, current_time())

    async def run_forwarded(self, facts, decision, head, body, answer):
        """Run without admission and record the outcome."""
        assert decision.keyed.start()
        outcome = await self.run_granted(facts, head, body, answer)
        decision.keyed.finish(outcome.verdict, None, current_time())
        return outcome

    def adopt(self, snapshot):
        """Adopt a ledger at the home."""
        return self.home.adopt(snapshot, current_time())


async def chunks(*items):
    """Yield chunks."""
    for item in items:
        yield item


@asynccontextmanager
async def serving(host, **options):
    """Run a server for ``host`` and yield a client that reaches it as target 3."""
    async with open_loop():
        server = Server(
            [HandOffService(host)], codec=RpcCodec(), config=RPC_CONFIGURATION
        )
        await aio_as_trio(server.start)("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        endpoints = {PEER_TARGET: Endpoint("127.0.0.1", port)}
        client = HandOffClient(endpoints.get, **options)
        client.server = server
        client.endpoints = endpoints
        try:
            yield client
        finally:
            client.close()
            server.close()
            await aio_as_trio(server.wait_closed)()
