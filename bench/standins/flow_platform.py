"""Stand-ins for the users' platform on loopback: its store, a target and a client.

Instances are addresses of the loopback range, since ports are the same on all of them.
"""

from base64 import b64encode
from collections.abc import Mapping
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from json import dumps
from socket import AF_INET, SOCK_DGRAM
from socket import socket as Socket
from threading import Condition, Thread
from time import monotonic
from typing import Any
from urllib.parse import parse_qs, urlparse

from balsamtide.platform.packets import ACK, FIN, HEADER, RETURNED, SYN, WirePackets
from balsamtide.transport.addresses import parse_ipv4

__all__ = [
    "LoopbackStore",
    "LoopbackTarget",
    "StoreBackup",
    "call_once",
    "configuration_document",
    "settings_document",
    "target_document",
]

READ_BYTES = 65_535
STEP_S = 0.05
PAGE_ITEMS = 500
ANSWER = b"answer"
COPY_WAITS_S = (0.2, 0.4, 0.8)


@dataclass(frozen=True, slots=True)
class StoreBackup:
    """Contents of a store at one time."""

    revision: int
    compacted: int
    items: dict[str, tuple[int, bytes]]
    events: list[dict[str, Any]]


class LoopbackStore:
    """The store: items with revisions, ranges and watches.

    Parameters
    ----------
    host : str
        Loopback address.
    """

    def __init__(self, host: str) -> None:
        self.items: dict[str, tuple[int, bytes]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 1
        # How often it was restored; None for a store that does not say.
        self.era: int | None = 0
        self.calls = 0
        self.is_down = False
        # Whether each connection is closed after a response, without a word before.
        self.closes_connections = False
        # Changes up to this revision are forgotten.
        self.compacted = 0
        self.changed = Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                status, document, era = store.answer(self.path)
                body = dumps(document).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                if era is not None:
                    self.send_header("Store-Era", str(era))
                self.end_headers()
                self.wfile.write(body)
                self.close_connection = store.closes_connections

            def log_message(self, *_: object) -> None:
                """Log nothing."""

        class Server(ThreadingHTTPServer):
            def handle_error(self, *_: Any) -> None:
                """Report nothing: clients may go away at any time."""

        self.server = Server((host, 0), Handler)
        self.server.daemon_threads = True
        self.address = f"{host}:{self.server.server_address[1]}"
        Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key: str, document: object) -> None:
        """Write an item."""
        value = dumps(document).encode()
        with self.changed:
            self.revision += 1
            self.items[key] = self.revision, value
            self.events.append(self._item(key))
            self.changed.notify_all()

    def remove(self, key: str) -> None:
        """Remove an item, if it is there."""
        with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                removal = {"key": key, "rev": self.revision, "removed": True}
                self.events.append(removal)
                self.changed.notify_all()

    def compact(self) -> None:
        """Forget all changes; what the items hold stays."""
        with self.changed:
            self.compacted = self.revision
            self.events.clear()
            self.changed.notify_all()

    def backup(self) -> StoreBackup:
        """Return a backup."""
        with self.changed:
            return StoreBackup(
                self.revision, self.compacted, dict(self.items), list(self.events)
            )

    def restore(self, backup: StoreBackup) -> None:
        """Go back to a backup; the revisions after it are given out again."""
        with self.changed:
            self.revision, self.compacted = backup.revision, backup.compacted
            self.items, self.events = dict(backup.items), list(backup.events)
            if self.era is not None:
                self.era += 1
            self.changed.notify_all()

    def _item(self, key: str) -> dict[str, Any]:
        revision, value = self.items[key]
        return {"key": key, "value": b64encode(value).decode(), "rev": revision}

    def answer(self, path: str) -> tuple[int, object, int | None]:
        """Return status, document and era of the response to a call."""
        # The lock is released while a watch waits.
        with self.changed:
            status, document = self._answer(path)
            return status, document, self.era

    def _answer(self, path: str) -> tuple[int, object]:
        self.calls += 1
        url = urlparse(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if self.is_down:
            return 503, {}
        if url.path == "/-/kv-key":
            item = self._item(query["key"]) if query["key"] in self.items else None
            status = 200 if item else 404
            return status, (item or {}) | {"storeRevision": self.revision}
        if url.path == "/-/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self._item(key) for key in keys[:PAGE_ITEMS]],
                "morePages": len(keys) > PAGE_ITEMS,
                "storeRevision": self.revision,
            }
        return self._watch(int(query["after"]), int(query["waitMs"]) / 1000)

    def _watch(self, after: int, wait_s: float) -> tuple[int, dict[str, Any]]:
        until = monotonic() + wait_s
        while True:
            if self.is_down:
                return 503, {}
            if not self.compacted <= after <= self.revision:
                return 410, {}
            events = [event for event in self.events if event["rev"] > after]
            if events or monotonic() >= until:
                return 200, {"events": events, "storeRevision": self.revision}
            self.changed.wait(STEP_S)

    def close(self) -> None:
        """Stop serving."""
        self.server.shutdown()
        self.server.server_close()


@dataclass(slots=True)
class LoopbackTarget:
    """A target that answers each request at once.

    Parameters
    ----------
    receives : tuple of (str, int)
        Where it receives packets.
    agent : tuple of (str, int)
        Where it sends its packets.
    """

    receives: tuple[str, int]
    agent: tuple[str, int]
    flows: dict[bytes, int] = field(default_factory=dict)
    runs: int = 0
    is_closed: bool = False
    socket: Socket = field(default_factory=lambda: Socket(AF_INET, SOCK_DGRAM))

    def start(self) -> None:
        """Serve in a thread."""
        self.socket.bind(self.receives)
        self.socket.settimeout(STEP_S)
        Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while not self.is_closed:
            try:
                data = self.socket.recv(READ_BYTES)
            except (TimeoutError, ConnectionError):
                continue
            for packet in self._answers(data):
                self.socket.sendto(packet, self.agent)
        self.socket.close()

    def _answers(self, data: bytes) -> list[bytes]:
        packet = WirePackets().decode(data)
        key = packet.client_key
        if packet.is_opening:
            sequence = self.flows.setdefault(key, 1000 + len(self.flows))
            return [_reply(packet, SYN | ACK, sequence)]
        if key not in self.flows:
            return [data[:8] + bytes([data[8] | RETURNED]) + data[9:]]
        if not packet.length:
            return []
        self.runs += 1
        return [_reply(packet, ACK | FIN, packet.acknowledgement, ANSWER)]

    def close(self) -> None:
        """Stop serving."""
        self.is_closed = True


def _reply(packet, flags: int, sequence: int, data: bytes = b"") -> bytes:
    head = HEADER.pack(
        0,
        1,
        flags,
        packet.destination[0],
        packet.source[1],
        packet.destination[1],
        packet.source[0],
        len(data),
        sequence,
        packet.sequence + 1,
    )
    return head + data


def call_once(
    balancer: tuple[str, int],
    client: tuple[str, int],
    service: tuple[str, int],
    port: int,
) -> bytes | None:
    """Make one request through a balancer; return the answer or None.

    Parameters
    ----------
    balancer : tuple of (str, int)
        Where packets are sent to.
    client : tuple of (str, int)
        Where packets for the client arrive.
    service : tuple of (str, int)
        Address of the route.
    port : int
        The client's port in the packets.
    """

    def packet(flags: int, sequence: int, acknowledgement: int, data: bytes) -> bytes:
        head = HEADER.pack(
            0,
            1,
            flags,
            parse_ipv4(client[0]),
            service[1],
            port,
            parse_ipv4(service[0]),
            len(data),
            sequence,
            acknowledgement,
        )
        return head + data

    with Socket(AF_INET, SOCK_DGRAM) as socket:
        socket.bind(client)
        handshake = None
        for copy, wait_s in enumerate(COPY_WAITS_S):
            socket.sendto(packet(SYN, 10, copy, b""), balancer)
            handshake = _receive(socket, port, wait_s, is_syn=True)
            if handshake is not None:
                break
        if handshake is None or handshake.is_reset:
            return None
        for wait_s in COPY_WAITS_S:
            request = packet(ACK, 11, handshake.sequence + 1, b"request")
            socket.sendto(request, balancer)
            answer = _receive(socket, port, wait_s, is_syn=False)
            if answer is not None:
                return answer.raw[HEADER.size :] if answer.length else None
    return None


def _receive(socket: Socket, port: int, wait_s: float, *, is_syn: bool):
    until = monotonic() + wait_s
    while (left_s := until - monotonic()) > 0:
        socket.settimeout(left_s)
        try:
            packet = WirePackets().decode(socket.recv(READ_BYTES))
        except TimeoutError:
            return None
        if packet.destination[1] == port and (
            packet.is_reset or packet.is_syn == is_syn
        ):
            return packet
    return None


def settings_document(
    host: str,
    *,
    ports: Mapping[str, int],
    store: str,
    seeds: list[str],
    service: str,
    zone: str = "z",
    evacuate_ms: int | None = None,
) -> dict[str, Any]:
    """Return settings in the platform's form; with a service those of an agent."""
    listen = {
        "datagramAddr": f"{host}:{ports['packets']}",
        "ready": f"{host}:{ports['ready']}",
    }
    document: dict[str, Any] = {
        "nodeId": f"node-{host}",
        "servedRoles": ["side"] if service else ["front", "control"],
        "ipAddr": host,
        "zone": zone,
        "bindAddrs": listen,
        "internalPorts": [ports["inner"], ports["inner"] + 3],
        "seedAddrs": [f"{seed}:1" for seed in seeds],
        "bounds": {"drainTimeoutMs": 3000, "gracePeriodS": 6, "flowTtlS": 60},
        "platform": {"address": store, "readsPerS": 2000, "historyS": 20},
    }
    if evacuate_ms is not None:
        document["bounds"]["evacuateMs"] = evacuate_ms
    if service:
        listen["outbound"] = f"{host}:{ports['from_target']}"
        document |= {"app": f"{host}:{ports['to_target']}", "service": service}
    return document


def target_document(
    host: str,
    ports: Mapping[str, int],
    service: str,
    *,
    state: str = "ready",
    born_ms: int = 0,
    zone: str = "z",
) -> dict[str, Any]:
    """Return a target's record in the platform's form."""
    return {
        "born": born_ms,
        "service": service,
        "address": f"{host}:{ports['to_target']}",
        "zone": zone,
        "version": "v1",
        "capacity": 4,
        "state": state,
        "warmupLeftMs": 0,
        "sequence": 1,
    }


def configuration_document(
    services: Mapping[tuple[str, int], str], version: int = 1
) -> dict[str, Any]:
    """Return a configuration with routes to services in the platform's form."""
    routes = [
        {
            "name": f"r{index}",
            "host": address[0],
            "prefix": f"/{address[1]}/",
            "timeoutMs": 2000,
            "goalMs": 500,
            "priority": 1,
            "service": service,
        }
        for index, (address, service) in enumerate(services.items())
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": service} for service in sorted(set(services.values()))],
        "limits": {"idleTimeoutMs": 15000},
    }
