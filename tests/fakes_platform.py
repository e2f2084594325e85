"""Documents of the platform's store, and a store client with scripted responses."""

from base64 import b64encode
from json import dumps

from balsamtide.flow_node.http import BaseHttpClient, HttpResponse
from balsamtide.platform.store import PlatformStore

__all__ = [
    "CONFIGURATION",
    "ROUTE",
    "TARGET",
    "ScriptedHttpClient",
    "item",
    "make_store",
    "page",
    "raw_item",
    "run_to_end",
    "to_json",
]

TARGET = {
    "service": "orders",
    "address": "10.128.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "warmupLeftMs": 1500,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
ROUTE = {
    "name": "r-1",
    "host": "198.18.0.1",
    "prefix": "/8443/",
    "type": "idempotent",
    "timeoutMs": 500,
    "goalMs": 100,
    "priority": 2,
    "service": "orders",
    "maxAttempts": 2,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "orders", "healthPath": "/health", "maxConns": 2000}],
    "limits": {"idleTimeoutMs": 15000},
}


def to_json(document: object) -> bytes:
    """Return a document as the JSON bytes that the store holds."""
    return dumps(document).encode()


class ScriptedHttpClient(BaseHttpClient):
    """HTTP client that returns scripted responses.

    A response has a status, a document or bytes, and the store's era if it states it.
    """

    def __init__(self, *responses: tuple) -> None:
        self.responses = list(responses)
        self.paths: list[str] = []

    async def get(self, path: str, *, wait_s: float = 0.0) -> HttpResponse:
        """Return the next response."""
        self.paths.append(path)
        status, document, *era = self.responses.pop(0)
        body = document if isinstance(document, bytes) else to_json(document)
        headers = {b"store-era": era[0].encode()} if era else {}
        return HttpResponse(status, body, headers)


def run_to_end(call):
    """Run a coroutine that never suspends, and return its result."""
    try:
        call.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine suspended")


def raw_item(key: str, value: bytes, **fields: object) -> dict[str, object]:
    """Return an item of the store whose value may be any bytes."""
    return {"key": key, "value": b64encode(value).decode(), "rev": 3} | fields


def item(key: str, value: object, **fields: object) -> dict[str, object]:
    """Return an item of the store."""
    return raw_item(key, to_json(value), **fields)


def page(*items: dict, revision: int = 9, has_more: bool = False) -> dict:
    """Return one page of a range."""
    return {"items": list(items), "morePages": has_more, "storeRevision": revision}


def make_store(*responses: tuple) -> tuple[PlatformStore, list]:
    """Return a store with scripted responses, and the list of rejected keys."""
    rejected: list[str] = []
    store = PlatformStore(
        ScriptedHttpClient(*responses),
        watch_s=1.0,
        on_reject=lambda key, reason: rejected.append(key),
    )
    return store, rejected
