"""Tests of the task that reads the store, with scripted responses."""

from dataclasses import replace
from math import inf
from random import Random

import pytest
from trio import current_time, run
from trio.testing import MockClock

from balsamtide.fleet.view import TargetState
from balsamtide.fleet.view_gossip import ViewGossip
from balsamtide.flow_node.http import BaseHttpClient, HttpResponse
from balsamtide.flow_node.http_connection import MAX_BODY_BYTES, HttpConnection
from balsamtide.flow_node.store_reader import StoreReader
from balsamtide.platform.store import PlatformStore
from balsamtide.telemetry.memory_sink import MemorySink
from tests.fakes_packets import TARGETS, make_view
from tests.fakes_platform import CONFIGURATION, item, to_json


class StoreOfItems(BaseHttpClient):
    """The store as an HTTP client: items that are listed, and scripted watches.

    Parameters
    ----------
    watches : iterable of bytes or int
        Bodies of the watches, or statuses; after the last one nothing changes.
    era : str or None
        Value of the header in all responses, None for no header.
    """

    def __init__(self, *watches: bytes | int, era: str | None = None) -> None:
        self.era = era
        self.watches = list(watches)
        self.items = [item("op/config", CONFIGURATION)]
        self.revision = 9
        self.calls: list[str] = []

    async def get(self, path: str, *, wait_s: float = 0.0) -> HttpResponse:
        """Answer a call as bytes that the HTTP protocol parses."""
        status, body = self.answer(path)
        connection = HttpConnection("store")
        connection.request(path)
        head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n"
        if self.era is not None:
            head += f"Store-Era: {self.era}\r\n"
        response = connection.receive(head.encode() + b"\r\n" + body)
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


def restore(client: StoreOfItems, *, era: str | None, revision: int) -> None:
    """Let a store come back with another version under an old revision."""
    client.era = era
    client.items = [item("op/config", CONFIGURATION | {"version": 8})]
    client.revision = revision
    client.calls.clear()


@pytest.mark.parametrize("revision", [5, 9, 30], ids=["behind", "same", "ahead"])
def test_response_of_another_era_leads_to_a_listing(revision):
    """Changes of another era are not applied, though the store gives no 410.

    Its revisions were given out again, so that the changes are not those that the
    view lacks.
    """
    client = StoreOfItems(era="1")
    reader = make_reader(client)
    read(reader, 1)
    client.watches = [to_json({"events": [], "storeRevision": 40})]
    restore(client, era="2", revision=revision)
    read(reader, 2)
    assert client.calls == ["watch", "range", "range"]
    assert reader.gossip.view.position == (2, revision)
    assert reader.gossip.view.configuration.version == 8


def test_changes_for_a_view_that_was_replaced_lead_to_a_listing():
    """A watch that began in an earlier era does not continue the view of a peer."""
    client = StoreOfItems(era="1")
    reader = make_reader(client)
    read(reader, 1)
    gossip, answer = reader.gossip, client.answer

    def answer_late(path: str) -> tuple[int, bytes]:
        newer = replace(gossip.shared_view, era=2, revision=4)
        gossip.apply_store_view(newer, 0.0)
        return answer(path)

    client.answer = answer_late
    client.era = "2"
    read(reader, 1)
    assert gossip.view.position == (2, 4)
    assert reader.needs_listing


@pytest.mark.parametrize("era", ["1", "0"])
def test_store_behind_the_view_is_not_asked_in_a_loop(era):
    """A store that is behind counts as failed; its calls have to be paid for."""
    client = StoreOfItems(410, era="1")
    reader = make_reader(client)
    read(reader, 1)
    confirmed_at = reader.gossip.confirmed_at
    restore(client, era=era, revision=5)
    read(reader, 4)
    assert len(client.calls) <= 7
    assert reader.outage_started_at < inf
    assert reader.gossip.view.position == (1, 9)
    assert reader.gossip.confirmed_at == confirmed_at


def test_store_without_the_header_stays_in_one_era():
    """Without a header, nothing but the revision orders what is read."""
    client = StoreOfItems()
    reader = make_reader(client)
    read(reader, 1)
    restore(client, era=None, revision=12)
    client.watches = [
        to_json({"events": client.items, "storeRevision": client.revision})
    ]
    read(reader, 2)
    assert client.calls == ["watch", "watch"]
    assert reader.gossip.view.position == (0, 12)
    assert reader.gossip.view.configuration.version == 8


@pytest.mark.parametrize(
    ("age_s", "state"),
    [(0.5, None), (1.39, None), (1.46, TargetState.LAPSED), (4.0, TargetState.LAPSED)],
)
def test_reader_that_takes_over_keeps_targets_that_lapsed_unseen(age_s, state):
    """Targets count as gone only if the store can't have been unavailable before.

    All processes that had seen the outage were killed (soak, seed 415): the next
    reader took the lapsed records for targets that had left, and open flows were reset.
    """
    removal = {"key": "servers/i-0", "rev": 10, "removed": True}
    client = StoreOfItems(to_json({"events": [removal], "storeRevision": 10}))
    reader = make_reader(client)
    gossip = reader.gossip
    gossip.has_seen_reader = True

    async def take_over() -> None:
        gossip.view = make_view(TARGETS[0])
        gossip.confirmed_at = current_time() - age_s
        reader._set_reading(True)
        await reader._read()

    run(take_over, clock=MockClock(autojump_threshold=0))
    target = gossip.view.targets.get("i-0")
    assert (target.state if target else None) is state
