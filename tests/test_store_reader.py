"""Tests of the task that reads the store, with scripted responses."""

from math import inf
from random import Random

import pytest
from trio import run
from trio.testing import MockClock

from balsamtide.fleet.view_gossip import ViewGossip
from balsamtide.flow_node.http import BaseHttpClient, HttpResponse
from balsamtide.flow_node.http_connection import MAX_BODY_BYTES, HttpConnection
from balsamtide.flow_node.store_reader import StoreReader
from balsamtide.platform.store import PlatformStore
from balsamtide.telemetry.memory_sink import MemorySink
from tests.fakes_platform import CONFIGURATION, item, to_json


class StoreOfItems(BaseHttpClient):
    """The store as an HTTP client: items that are listed, and scripted watches.

    Parameters
    ----------
    watches : iterable of bytes or int
        Bodies of the watches, or statuses; after the last one nothing changes.
    """

    def __init__(self, *watches: bytes | int) -> None:
        self.watches = list(watches)
        self.items = [item("op/config", CONFIGURATION)]
        self.revision = 9
        self.calls: list[str] = []

    async def get(self, path: str, *, wait_s: float = 0.0) -> HttpResponse:
        """Answer a call as bytes that the HTTP protocol parses."""
        status, body = self.answer(path)
        connection = HttpConnection("store")
        connection.request(path)
        head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n\r\n"
        response = connection.receive(head.encode() + body)
        assert response is not None
        return response

    def answer(self, path: str) -> tuple[int, bytes]:
        """Return status and body of a response."""
        kind = path[len("/-/kv-") :].partition("?")[0]
        self.calls.append(kind)
        if kind == "watch":
            watch = self.watches.pop(0) if self.watches else b""
            if isinstance(watch, int):
                return watch, b"{}"
            return 200, watch or self._page("events", [])
        if kind == "key":
            return 200, to_json(self.items[0] | {"storeRevision": self.revision})
        prefix = "op/" if "op%2F" in path else "servers/"
        return 200, self._page(
            "items", [i for i in self.items if i["key"].startswith(prefix)]
        )

    def _page(self, name: str, items: list) -> bytes:
        return to_json({name: items, "storeRevision": self.revision})


def make_reader(client: BaseHttpClient) -> StoreReader:
    """Return a reader whose process has no peers."""
    store = PlatformStore(client, watch_s=0.7, on_reject=lambda *_: None)
    return StoreReader(
        store=store,
        gossip=ViewGossip(host=1, seeds=(), random=Random(1), now=0.0),
        execute=lambda _: None,
        on_view=lambda *_: None,
        sink=MemorySink(),
        random=Random(1),
        outage_started_at=inf,
    )


def read(reader: StoreReader, reads: int) -> None:
    """Let a reader make some reads, in virtual time."""

    async def read_all() -> None:
        for _ in range(reads):
            await reader._read()

    run(read_all, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize(
    "watch", [410, b" " * (MAX_BODY_BYTES + 1)], ids=["discarded", "too-large"]
)
def test_changes_that_cannot_be_read_lead_to_a_listing(watch):
    """Changes that are gone or too large to be read are followed by a listing.

    A watch that was repeated after an oversized response gave it again, so that the
    fleet learned nothing more.
    """
    client = StoreOfItems(watch)
    reader = make_reader(client)
    read(reader, 1)
    client.items = [item("op/config", CONFIGURATION | {"version": 8})]
    client.revision = 30
    client.calls.clear()
    read(reader, 2)
    assert client.calls[0] == "watch"
    assert "watch" not in client.calls[1:]
    assert reader.gossip.view.configuration.version == 8
    assert reader.outage_started_at == inf
