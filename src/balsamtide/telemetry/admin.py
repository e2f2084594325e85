"""The admin listener: metrics, status, audit trail, requests and events as JSON."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

from hypercorn.config import Config
from hypercorn.trio import serve
from msgspec import Struct
from msgspec.json import encode
from trio import TASK_STATUS_IGNORED, TaskStatus, sleep_forever

from balsamtide.config.model import Configuration
from balsamtide.protocol.messages import Endpoint
from balsamtide.telemetry.status import Status
from balsamtide.telemetry.summary import RequestView, Summary
from balsamtide.telemetry.telemetry import Telemetry

__all__ = [
    "AdminApplication",
    "AdminError",
    "NumberedConfiguration",
    "SlowRequests",
    "serve_admin",
]

JSON_TYPE = b"application/json"
SHUTDOWN_S = 2.0

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class AdminError(Struct, frozen=True):
    """Why a question was not answered, and what to try."""

    error: str
    hint: str


class NumberedConfiguration(Struct, frozen=True):
    """A configuration with its place in the log.

    Parameters
    ----------
    version : int
        Number of the last entry in force.
    entry : int
        Number of the last entry held.
    configuration : Configuration
        The configuration in force.
    """

    version: int
    entry: int
    configuration: Configuration


class SlowRequests(Struct, frozen=True):
    """Requests of a service worth looking at.

    Parameters
    ----------
    slowest : tuple of RequestView
        Slowest recent requests, slowest first.
    failed : tuple of RequestView
        Failed requests that are kept, newest first.
    """

    slowest: tuple[RequestView, ...]
    failed: tuple[RequestView, ...]


StatusProvider = Callable[[], Status]
SummaryProvider = Callable[[str], Awaitable[Summary]]
ConfigurationProvider = Callable[[], NumberedConfiguration]
RequestProvider = Callable[[str], Awaitable[RequestView | None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An HTTP answer."""

    body: bytes
    status: int = 200
    content_type: bytes = JSON_TYPE


@dataclass(frozen=True, slots=True, kw_only=True)
class Query:
    """The path and the parameters of a question."""

    path: str
    parameters: dict[str, list[str]]

    def get(self, name: str) -> str:
        """Return the first value of a parameter, empty if it is not given."""
        return self.parameters.get(name, [""])[0]


class AdminApplication:
    """The ASGI application of the admin listener.

    Parameters
    ----------
    telemetry : Telemetry
        What is shown.
    status : callable
        Returns the status of the daemon.
    ask_summary : callable or None
        Asks the peers of a service for their summaries and merges them; the answer
        is of this process alone if it is None.
    ask_request : callable or None
        Asks the peers for a request that this process does not know.
    configuration : callable or None
        Returns the configuration in force here.
    """

    def __init__(
        self,
        telemetry: Telemetry,
        *,
        status: StatusProvider,
        ask_summary: SummaryProvider | None = None,
        ask_request: RequestProvider | None = None,
        configuration: ConfigurationProvider | None = None,
    ) -> None:
        self.telemetry = telemetry
        self.status = status
        self.ask_summary = ask_summary
        self.ask_request = ask_request
        self.configuration = configuration
        self.routes: dict[str, Callable[[Query], Awaitable[Answer]]] = {
            "/metrics": self._metrics,
            "/status": self._status,
            "/configuration": self._configuration,
            "/audit": self._audit,
            "/events": self._events,
            "/slow": self._slow,
            "/summary": self._summary,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one ASGI scope."""
        if scope["type"] == "lifespan":
            await _lifespan(receive, send)
        elif scope["type"] == "http":
            await _respond(await self._answer(scope), send)

    async def _answer(self, scope: Scope) -> Answer:
        if scope["method"] != "GET":
            return _error(405, "only GET is answered", "use GET")
        query = Query(
            path=scope["path"],
            parameters=parse_qs(scope["query_string"].decode("latin-1")),
        )
        if query.path.startswith("/requests/"):
            return await self._request(query)
        route = self.routes.get(query.path)
        if route is None:
            known = ", ".join([*self.routes, "/requests/ID"])
            return _error(404, f"no page {query.path}", f"there are: {known}")
        return await route(query)

    async def _metrics(self, query: Query) -> Answer:
        body, headers = self.telemetry.render_metrics()
        return Answer(body=body, content_type=headers["Content-Type"].encode())

    async def _status(self, query: Query) -> Answer:
        return Answer(body=encode(self.status()))

    async def _configuration(self, query: Query) -> Answer:
        if self.configuration is None:
            return _error(404, "no configuration is held here", "ask another daemon")
        return Answer(body=encode(self.configuration()))

    async def _audit(self, query: Query) -> Answer:
        try:
            since = float(query.get("since") or 0.0)
        except ValueError:
            return _error(400, "since is not a number", "give seconds since the epoch")
        entries = self.telemetry.audit_trail.query(
            kind=query.get("kind"), subject=query.get("subject"), since=since
        )
        return Answer(body=encode(entries))

    async def _events(self, query: Query) -> Answer:
        return Answer(body=encode(tuple(self.telemetry.event_log.recent)))

    async def _slow(self, query: Query) -> Answer:
        service = query.get("service")
        log = self.telemetry.request_log
        slow = SlowRequests(slowest=log.slowest(service), failed=log.failures(service))
        return Answer(body=encode(slow))

    async def _summary(self, query: Query) -> Answer:
        service = query.get("service")
        if not service:
            return _error(400, "no service is named", "add ?service=NAME")
        if query.get("peers") and self.ask_summary is not None:
            return Answer(body=encode(await self.ask_summary(service)))
        return Answer(body=encode(self.telemetry.request_log.summary(service)))

    async def _request(self, query: Query) -> Answer:
        request_id = unquote(query.path.removeprefix("/requests/"))
        view = self.telemetry.request_log.find(request_id)
        if view is None and self.ask_request is not None:
            view = await self.ask_request(request_id)
        if view is None:
            return _error(
                404,
                f"request {request_id} is not kept here",
                "ask an agent of its service soon after the request; only recent, "
                "slow and failed requests are kept",
            )
        return Answer(body=encode(view))


async def serve_admin(
    app: AdminApplication,
    endpoint: Endpoint,
    *,
    task_status: TaskStatus[list[str]] = TASK_STATUS_IGNORED,
) -> None:
    """Serve the admin listener until cancelled.

    Start it with ``await nursery.start(serve_admin, app, endpoint)``, which returns
    the URLs that it listens on.
    """
    config = Config()
    config.bind = [_bind(endpoint)]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = SHUTDOWN_S
    config.shutdown_timeout = SHUTDOWN_S
    await serve(
        app,  # type: ignore[arg-type]
        config,
        shutdown_trigger=sleep_forever,
        task_status=task_status,
        mode="asgi",
    )


def _bind(endpoint: Endpoint) -> str:
    host = f"[{endpoint.host}]" if ":" in endpoint.host else endpoint.host
    return f"{host}:{endpoint.port}"


def _error(status: int, error: str, hint: str) -> Answer:
    return Answer(status=status, body=encode(AdminError(error, hint)))


async def _lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _respond(answer: Answer, send: Send) -> None:
    headers = [
        (b"content-type", answer.content_type),
        (b"content-length", str(len(answer.body)).encode()),
    ]
    await send(
        {"type": "http.response.start", "status": answer.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": answer.body})
