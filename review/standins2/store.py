"""Stand-in of the platform's metadata store."""

from base64 import b64encode
from collections.abc import Callable
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from json import dumps
from threading import Condition, Thread
from time import monotonic, sleep
from typing import Any
from urllib.parse import parse_qs, urlparse

PAGE_ITEMS = 500
EXPIRY_PERIOD_S = 0.05


class Store:
    """Items with revisions, ranges, watches and entries that expire.

    Every machine has an address of its own for the store, so that the store can turn
    some machines away and serve the others.

    Parameters
    ----------
    heartbeat_s : float
        Interval at which servers write; an entry expires after three of them.
    log : callable
        Takes a line for the record.
    """

    def __init__(self, heartbeat_s: float, log: Callable[[str], None]) -> None:
        self.heartbeat_s = heartbeat_s
        self.log = log
        self.items: dict[str, tuple[int, bytes]] = {}
        self.expires_at: dict[str, float] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 1
        # How often it was restored from a copy.
        self.era = 1
        self.is_down = False
        self.turned_away: set[str] = set()
        self.changed = Condition()
        self.servers: list[ThreadingHTTPServer] = []
        self.is_closed = False
        Thread(target=self._expire, daemon=True).start()

    # Writers: operator and servers

    def put(self, key: str, document: object) -> None:
        """Write an item of the operator."""
        with self.changed:
            self._put(key, dumps(document).encode())

    def beat(self, machine: str, key: str, document: object) -> bool:
        """Write the entry of a server; return whether the store took it."""
        with self.changed:
            if self.is_down or machine in self.turned_away:
                return False
            self.expires_at[key] = monotonic() + 3 * self.heartbeat_s
            value = dumps(document).encode()
            if self.items.get(key, (0, b""))[1] != value:
                self._put(key, value)
            return True

    def remove(self, key: str) -> None:
        """Remove an item, if it is there."""
        with self.changed:
            self._remove(key)

    def _put(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.items[key] = self.revision, value
        self.events.append(self._item(key))
        self.changed.notify_all()

    def _remove(self, key: str) -> None:
        self.expires_at.pop(key, None)
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "rev": self.revision, "removed": True})
            self.changed.notify_all()

    def _expire(self) -> None:
        while not self.is_closed:
            sleep(EXPIRY_PERIOD_S)
            with self.changed:
                # No entry expires while the store is down.
                now = monotonic()
                if self.is_down:
                    for key in self.expires_at:
                        self.expires_at[key] = now + 3 * self.heartbeat_s
                due = [key for key, at in self.expires_at.items() if at <= now]
                for key in due:
                    self._remove(key)
                    self.log(f"store: {key} expired")

    # Readers

    def listen(self, machine: str) -> str:
        """Return the address at which a machine reaches the store."""
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                status, document = store.answer(machine, self.path)
                body = dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Store-Era", str(store.era))
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                with suppress(OSError):
                    self.wfile.write(body)

            def log_message(self, *_: object) -> None:
                """Log nothing."""

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_: Any) -> None:
                """Report nothing: clients may go away at any time."""

        server = Server(("127.0.0.1", 0), Handler)
        self.servers.append(server)
        Thread(target=server.serve_forever, daemon=True).start()
        return f"127.0.0.1:{server.server_address[1]}"

    def answer(self, machine: str, path: str) -> tuple[int, object]:
        """Return status and document of the response to a call."""
        url = urlparse(path)
        fields = parse_qs(url.query, keep_blank_values=True)
        query = {name: values[0] for name, values in fields.items()}
        with self.changed:
            if self.is_down or machine in self.turned_away:
                return 503, {}
            if url.path == "/-/kv-key":
                key = query["key"]
                item = self._item(key) if key in self.items else {}
                return 200 if item else 404, item | {"storeRevision": self.revision}
            if url.path == "/-/kv-range":
                return 200, self._range(query["prefix"], query.get("after", ""))
            if url.path == "/-/kv-watch":
                return self._watch(machine, query)
            return 404, {}

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return {
            "items": [self._item(key) for key in keys[:PAGE_ITEMS]],
            "morePages": len(keys) > PAGE_ITEMS,
            "storeRevision": self.revision,
        }

    def _watch(self, machine: str, query: dict[str, str]) -> tuple[int, object]:
        after, until = int(query["after"]), monotonic() + int(query["waitMs"]) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            if self.is_down or machine in self.turned_away:
                return 503, {}
            events = [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(query["prefix"])
            ]
            left_s = until - monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            self.changed.wait(min(left_s, EXPIRY_PERIOD_S))

    def _item(self, key: str) -> dict[str, Any]:
        revision, value = self.items[key]
        return {
            "key": key,
            "value": b64encode(value).decode(),
            "rev": revision,
            "created": revision,
            "lease": 0,
        }

    def close(self) -> None:
        """Stop serving."""
        self.is_closed = True
        for server in self.servers:
            server.shutdown()
            server.server_close()
