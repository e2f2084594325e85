"""Small deployment on loopback: the platform, servers and clients as stand-ins.

The project's own daemon runs as separate processes, one for each machine.  Each machine
has an address of its own in the loopback range, and all use the same ports.  Packets,
store and settings follow the users' pages; times are those of the real clock.
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
import traceback
from base64 import b64encode
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, inet_aton, inet_ntoa
from socket import socket as Socket
from struct import Struct
from typing import Any
from urllib.parse import parse_qs, urlparse
from zlib import crc32

ROOT = Path(__file__).resolve().parents[1]
COMMAND = ("python3", "-S", "-m", "balsamtide.flow_daemon")
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"

BROKEN, HELD, NOT_RUN = 1, 0, 2

# The platform's bounds, as in the small site files.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackTimeoutMs": 5000,
    "catchUpS": 4,
    "drainTimeoutMs": 3000,
    "gracePeriodS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "skewMaxMs": 12000,
    "recoveryS": 12,
    "misrouteMs": 2000,
    "flowTtlS": 60,
}
HISTORY_S = 20.0
STORE_ANSWER_S = 0.004
RESTART_DELAY_S = 0.5
# Below the ports that the kernel chooses itself.
FIRST_PORT, PORT_BLOCKS, BLOCK_PORTS = 20_000, 100, 100
READINESS_PERIOD_S = 0.5

# echo, sum, flags, src, dport, sport, dst, len, seq, ack
HEADER = Struct("<IIBIHHIHII")
SYN, ACK, FIN, RST, BOUNCED = 64, 2, 4, 1, 32
SYN_COPIES_S = (0.0, 0.2, 0.6)
SYN_GIVE_UP_S = 1.4
RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
SERVER_RETRANSMISSIONS = 8
RESET_WINDOW = 76_800
MODULUS = 1 << 32


class CannotRunError(Exception):
    """The case could not be run, which says nothing about the rule."""


def number(host: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(inet_aton(host), "big")


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Packet:
    """One packet of a flow."""

    def __init__(self, data: bytes) -> None:
        self.raw = data
        (
            _,
            _,
            self.flags,
            self.src,
            self.dport,
            self.sport,
            self.dst,
            self.length,
            self.seq,
            self.ack,
        ) = HEADER.unpack_from(data)
        self.data = data[HEADER.size :]

    @property
    def names(self) -> str:
        """The names of the flags that are set."""
        known = {"SYN": SYN, "ACK": ACK, "FIN": FIN, "RST": RST, "BOUNCED": BOUNCED}
        return "+".join(name for name, bit in known.items() if self.flags & bit)


def encode(
    source: tuple[int, int],
    destination: tuple[int, int],
    flags: int,
    seq: int,
    ack: int,
    data: bytes = b"",
) -> bytes:
    """Return a packet with a sum of the platform's own."""
    fields = (
        flags,
        source[0],
        destination[1],
        source[1],
        destination[0],
        len(data),
        seq % MODULUS,
        ack % MODULUS,
    )
    total = crc32(repr(fields).encode() + data) or 1
    return HEADER.pack(0, total, *fields) + data


class Ports:
    """Ports that are free on this machine, the same for all addresses."""

    def __init__(self) -> None:
        self.used: set[int] = set()
        # Runs at the same time draw from different blocks, as far as possible.
        self.first = FIRST_PORT + os.getpid() % PORT_BLOCKS * BLOCK_PORTS
        self.packets = self.free()
        self.ready = self.free()
        self.control = self.free()
        self.inner = self.free()
        self.outbound = self.free()
        self.app = self.free()
        self.store = self.free()

    def free(self) -> int:
        """Return a port that nobody uses at any address."""
        for _ in range(200):
            port = self.first + random.randrange(BLOCK_PORTS)
            if port not in self.used and self._is_free(port):
                self.used.add(port)
                return port
        raise CannotRunError("no free port")

    def _is_free(self, port: int) -> bool:
        for kind in (SOCK_DGRAM, SOCK_STREAM):
            with Socket(AF_INET, kind) as probe:
                try:
                    probe.bind(("", port))
                except OSError:
                    return False
        return True


class Store:
    """The platform's store over HTTP/1.1, with one counter and a short history."""

    def __init__(self, world: "World", port: int) -> None:
        self.world = world
        self.port = port
        self.revision = 1
        self.items: dict[str, tuple[int, str]] = {}
        # Time, revision and JSON text of each change.
        self.events: list[tuple[float, int, str]] = []
        self.dropped = 0
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.servers: list[asyncio.Server] = []
        # Addresses at which calls are turned away with a status of 503.
        self.turned_away: set[str] = set()

    async def listen(self, host: str) -> None:
        """Listen at an address; each machine has its own, which tells it apart."""
        server = await asyncio.start_server(self._serve, host, self.port)
        self.servers.append(server)

    def put(self, key: str, value: bytes) -> None:
        """Write an item; the return is the acknowledgement."""
        self.revision += 1
        text = json.dumps(
            {
                "key": key,
                "value": b64encode(value).decode(),
                "rev": self.revision,
                "created": self.revision,
                "lease": 0,
            }
        )
        self.items[key] = self.revision, text
        self._append(text)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "rev": self.revision, "removed": True}
            self._append(json.dumps(event))

    def _append(self, text: str) -> None:
        self.events.append((time.monotonic(), self.revision, text))
        self.changed.set()
        self.changed = asyncio.Event()

    def _forget(self) -> None:
        """Discard the history that is older than the platform promises."""
        oldest = time.monotonic() - HISTORY_S
        while self.events and self.events[0][0] < oldest:
            self.dropped = self.events.pop(0)[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                await asyncio.sleep(STORE_ANSWER_S)
                host = writer.get_extra_info("sockname")[0]
                if host in self.turned_away:
                    status, text = 503, "{}"
                else:
                    status, text = await self._answer(target, host)
                body = text.encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def stop(self) -> None:
        """Close all connections."""
        for server in self.servers:
            server.close()
        for writer in self.writers:
            writer.close()
        # The transports are closed in the next turn of the loop.
        await asyncio.sleep(0.1)

    async def _answer(self, target: str, host: str) -> tuple[int, str]:
        url = urlparse(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/kv-key":
            return self._answer_key(query["key"])
        if url.path == "/-/kv-range":
            return self._answer_range(query.get("prefix", ""), query.get("after", ""))
        if url.path == "/-/kv-watch":
            return await self._answer_watch(
                query.get("prefix", ""), int(query["after"]), int(query["waitMs"]), host
            )
        return 404, "{}"

    def _answer_key(self, key: str) -> tuple[int, str]:
        revision = f'"storeRevision":{self.revision}}}'
        if key not in self.items:
            return 404, "{" + revision
        return 200, self.items[key][1][:-1] + "," + revision

    def _answer_range(self, prefix: str, after: str) -> tuple[int, str]:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = ",".join(self.items[key][1] for key in keys[:500])
        pages = "true" if len(keys) > 500 else "false"
        return 200, (
            f'{{"items":[{items}],"morePages":{pages},"storeRevision":{self.revision}}}'
        )

    async def _answer_watch(
        self, prefix: str, after: int, wait_ms: int, host: str
    ) -> tuple[int, str]:
        until = time.monotonic() + min(wait_ms, 30_000) / 1000
        while True:
            if host in self.turned_away:
                return 503, "{}"
            self._forget()
            if after < self.dropped:
                self.world.record.write(f"store: watch after {after} answered with 410")
                return 410, "{}"
            found = [
                text
                for _, revision, text in self.events
                if revision > after and f'{{"key": "{prefix}' in text
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        text = f'{{"events":[{",".join(found)}],"storeRevision":{self.revision}}}'
        if len(found) > 1:
            self.world.record.write(
                f"store: watch after {after} answered with {len(found)} events, "
                f"{len(text)} bytes"
            )
        return 200, text


class Machine:
    """One machine with a daemon of the project, and a server if it is a side one."""

    def __init__(self, world: "World", kind: str, host: str, zone: str) -> None:
        self.world = world
        self.kind, self.host, self.zone = kind, host, zone
        self.service = ""
        self.store_host = ""
        self.name = f"{kind}-{zone}-{host.rpartition('.')[2]}"
        self.settings_path = world.folder / f"{self.name}.yaml"
        self.log_path = world.folder / f"{self.name}.log"
        self.metrics_port = world.ports.free()
        self.process: asyncio.subprocess.Process | None = None
        self.is_powered = False
        # Exit codes of ends that nobody asked for.
        self.own_ends: list[int] = []
        self.asked_to_end = False

    def settings(self) -> dict[str, Any]:
        """Return the fields of the settings file."""
        ports = self.world.ports
        binds = {
            "datagramAddr": f"{self.host}:{ports.packets}",
            "ready": f"{self.host}:{ports.ready}",
        }
        if self.kind == "front":
            binds["control"] = f"{self.host}:{ports.control}"
        else:
            binds["outbound"] = f"{self.host}:{ports.outbound}"
        fields: dict[str, Any] = {
            "nodeId": self.name,
            "role": "balancer" if self.kind == "front" else "agent",
            "machineClass": self.kind,
            "servedRoles": ["front", "control"] if self.kind == "front" else ["side"],
            "ipAddr": self.host,
            "zone": self.zone,
            "region": "region",
            "zones": dict.fromkeys(self.world.zones, "region"),
            "bindAddrs": binds,
            "internalPorts": [ports.inner, ports.inner],
            "seedAddrs": [f"{seed}:{ports.control}" for seed in self.world.seeds],
            "bootstrap": True,
            "heartbeatMs": 770,
            "bounds": BOUNDS,
            "hashMode": "steady",
            "deploymentMode": "agent",
            "platform": {
                "address": f"{self.store_host}:{self.world.store.port}",
                "deploymentMode": "read",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": HISTORY_S,
                "valueBytes": 1_048_576,
                "ttlMinMs": 1000,
            },
        }
        if self.kind == "side":
            fields |= {"service": self.service, "app": f"{self.host}:{ports.app}"}
        return fields

    async def start(self) -> None:
        """Start the daemon as the deploy file says, and keep it running."""
        self.settings_path.write_text(json.dumps(self.settings()))
        self.is_powered = True
        self.asked_to_end = False
        await self._spawn()
        self.world.spawn(self._keep_running())

    async def _spawn(self) -> None:
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BALSAMTIDE_SETTINGS": str(self.settings_path),
            "BALSAMTIDE_METRICS_PORT": str(self.metrics_port),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def _keep_running(self) -> None:
        while self.process is not None:
            code = await self.process.wait()
            if self.world.is_over or not self.is_powered:
                return
            if not self.asked_to_end:
                self.own_ends.append(code)
                self.world.record.write(f"{self.name}: ended by itself, code {code}")
            self.asked_to_end = False
            await asyncio.sleep(RESTART_DELAY_S)
            if self.world.is_over or not self.is_powered:
                return
            await self._spawn()

    def send_signal(self, which: signal.Signals) -> None:
        """Send a signal to the daemon; an end of it is then expected."""
        if self.process is not None and self.process.returncode is None:
            self.asked_to_end = True
            self.world.record.write(f"{self.name}: {which.name}")
            self.process.send_signal(which)

    def power_off(self) -> None:
        """Take the power from the machine: nothing runs there until the next start."""
        self.is_powered = False
        self.send_signal(signal.SIGKILL)

    async def stop(self) -> None:
        """End the daemon."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["gracePeriodS"])
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the events of a name that the daemon has logged."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            if f'"name":"{name}"' in line:
                with suppress(ValueError):
                    found.append(json.loads(line))
        return found


class ServerFlow:
    """A flow at a server."""

    def __init__(self, client_seq: int) -> None:
        self.client_seq = client_seq
        self.isn = random.randrange(MODULUS)
        self.next_in = (client_seq + 1) % MODULUS
        self.next_out = (self.isn + 1) % MODULUS
        self.is_open = False
        self.has_client_fin = False
        self.has_sent_fin = False
        self.unacknowledged: list[tuple[int, bytes]] = []
        self.sends_at = 0.0
        self.sends = 0


class Server(asyncio.DatagramProtocol):
    """A server beside an agent; answers each request at once with its own name."""

    def __init__(self, world: "World", machine: Machine, service: str) -> None:
        self.world, self.machine, self.service = world, machine, service
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        # Time that a request takes.
        self.work_s = 0.0
        self.flows: dict[tuple[int, int, int, int], ServerFlow] = {}
        self.sequence = 0
        self.opened = 0
        self.runs: list[tuple[float, str]] = []
        # Opening packets that it took, with the time of arrival.
        self.openings: list[tuple[float, tuple[int, int, int, int]]] = []

    async def start(self) -> None:
        """Listen and register in the store."""
        loop = asyncio.get_running_loop()
        address = self.machine.host, self.world.ports.app
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )
        self.world.spawn(self._retransmit())
        self.register()

    def register(self) -> None:
        """Write the entry in the store."""
        self.sequence += 1
        self.world.store.put(f"servers/{self.id}", json.dumps(self.entry()).encode())

    def drain(self) -> float:
        """Report that this server drains; return the time of the acknowledgement."""
        self.state = "draining"
        self.register()
        self.world.record.write(f"server {self.id}: draining, acknowledged")
        return self.world.record.now()

    def leave(self) -> None:
        """End and remove the entry in the store."""
        self.world.record.write(f"server {self.id}: leaves")
        self.transport.close()
        self.world.store.remove(f"servers/{self.id}")

    def entry(self) -> dict[str, Any]:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": f"{self.machine.host}:{self.world.ports.app}",
            "zone": self.machine.zone,
            "version": "v1",
            "capacity": 2,
            "state": self.state,
            "warmupLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def _send(self, data: bytes) -> None:
        if not self.transport.is_closing():
            address = self.machine.host, self.world.ports.outbound
            self.transport.sendto(data, address)

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Take a packet from the agent on this machine."""
        packet = Packet(data)
        key = packet.src, packet.sport, packet.dst, packet.dport
        flow = self.flows.get(key)
        if packet.flags & SYN and not packet.flags & ACK:
            self._take_opening(key, packet, flow)
            return
        if flow is None or not self._is_of_flow(packet, flow):
            self._bounce(packet)
            return
        self._take(key, packet, flow)

    def _take_opening(
        self, key: tuple[int, int, int, int], packet: Packet, flow: ServerFlow | None
    ) -> None:
        if flow is None or flow.client_seq != packet.seq:
            flow = self.flows[key] = ServerFlow(packet.seq)
            self.openings.append((self.world.record.now(), key))
            self.world.record.write(
                f"server {self.id} ({self.service}): took the opening packet of "
                f"{self.world.flow_name(key)}"
            )
        self._reply(packet, SYN | ACK, flow.isn, flow.client_seq + 1)

    def _is_of_flow(self, packet: Packet, flow: ServerFlow) -> bool:
        if not packet.flags & ACK:
            return True
        return (packet.ack - flow.isn) % MODULUS <= (flow.next_out - flow.isn) % MODULUS

    def _bounce(self, packet: Packet) -> None:
        raw = bytearray(packet.raw)
        raw[8] |= BOUNCED
        key = packet.src, packet.sport, packet.dst, packet.dport
        self.world.record.write(
            f"server {self.id} ({self.service}): returned {packet.names} of "
            f"{self.world.flow_name(key)}"
        )
        self._send(bytes(raw))

    def _reply(
        self, packet: Packet, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> None:
        source = packet.dst, packet.dport
        destination = packet.src, packet.sport
        self._send(encode(source, destination, flags, seq, ack, data))

    def _take(
        self, key: tuple[int, int, int, int], packet: Packet, flow: ServerFlow
    ) -> None:
        if packet.flags & RST:
            del self.flows[key]
            return
        if not flow.is_open:
            flow.is_open = True
            self.opened += 1
            self.world.record.write(
                f"server {self.id} ({self.service}): {self.world.flow_name(key)} is "
                "open"
            )
        flow.unacknowledged = [
            (seq, raw)
            for seq, raw in flow.unacknowledged
            if 0 < (seq - packet.ack) % MODULUS < MODULUS // 2
        ]
        if packet.length and packet.seq == flow.next_in:
            flow.next_in = (flow.next_in + packet.length) % MODULUS
            self._answer(key, packet, flow)
        if packet.flags & FIN and packet.seq + packet.length == flow.next_in:
            if not flow.has_client_fin:
                flow.has_client_fin = True
                flow.next_in = (flow.next_in + 1) % MODULUS
            if not flow.has_sent_fin:
                flow.has_sent_fin = True
                self._post(flow, packet, FIN | ACK, b"", 1)
        if packet.length or packet.flags & FIN:
            self._reply(packet, ACK, flow.next_out, flow.next_in)

    def _answer(
        self, key: tuple[int, int, int, int], packet: Packet, flow: ServerFlow
    ) -> None:
        lines = packet.data.decode().split("\r\n")
        request = lines[1].partition(": ")[2]
        self.runs.append((self.world.record.now(), request))
        self.world.record.write(
            f"server {self.id} ({self.service}): runs {request} ({lines[0]})"
        )
        is_last = "Connection: close" in lines or self.state == "draining"
        loop = asyncio.get_running_loop()
        loop.call_later(self.work_s, self._finish, request, packet, flow, is_last)

    def _finish(
        self, request: str, packet: Packet, flow: ServerFlow, is_last: bool
    ) -> None:
        if self.transport.is_closing():
            self.world.record.write(f"server {self.id}: left before it answered")
            return
        body = f"{request} {self.service} {self.id}".encode()
        seal = crc32(body)
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
            f"X-Response-Seal: {seal}\r\n\r\n"
        ).encode()
        self._post(flow, packet, ACK, head + body, len(head + body))
        if is_last and not flow.has_sent_fin:
            flow.has_sent_fin = True
            self._post(flow, packet, FIN | ACK, b"", 1)

    def _post(
        self, flow: ServerFlow, packet: Packet, flags: int, data: bytes, size: int
    ) -> None:
        raw = encode(
            (packet.dst, packet.dport),
            (packet.src, packet.sport),
            flags,
            flow.next_out,
            flow.next_in,
            data,
        )
        flow.next_out = (flow.next_out + size) % MODULUS
        flow.unacknowledged.append((flow.next_out, raw))
        flow.sends_at, flow.sends = time.monotonic() + RETRANSMIT_S, 1
        self._send(raw)

    async def _retransmit(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for flow in list(self.flows.values()):
                if not flow.unacknowledged or now < flow.sends_at:
                    continue
                if flow.sends > SERVER_RETRANSMISSIONS:
                    flow.unacknowledged.clear()
                    continue
                wait_s = min(MAX_RETRANSMIT_S, RETRANSMIT_S * 2**flow.sends)
                flow.sends_at, flow.sends = now + wait_s, flow.sends + 1
                for _, raw in flow.unacknowledged:
                    self._send(raw)


class Router:
    """The platform's routers: ready fronts, chosen by a steady hash."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.misses: dict[str, int] = {}

    async def run(self) -> None:
        """Probe readiness twice a second."""
        while True:
            fronts = [m for m in self.world.machines if m.kind == "front"]
            await asyncio.gather(*(self._probe(front) for front in fronts))
            await asyncio.sleep(READINESS_PERIOD_S)

    async def _probe(self, front: Machine) -> None:
        is_ready = False
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(READINESS_PERIOD_S):
                reader, writer = await asyncio.open_connection(
                    front.host, self.world.ports.ready
                )
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: front\r\n\r\n")
                is_ready = b" 200 " in await reader.readuntil(b"\r\n")
                writer.close()
        misses = self.misses.get(front.host, 2)
        self.misses[front.host] = 0 if is_ready else misses + 1

    def ready(self) -> list[Machine]:
        """Return the fronts in rotation."""
        return [
            machine
            for machine in self.world.machines
            if machine.kind == "front" and self.misses.get(machine.host, 2) < 2
        ]

    def choose(self, key: tuple[int, int, int, int]) -> Machine | None:
        """Return the front that takes the packets of a flow."""
        text = repr(key)
        return max(
            self.ready(),
            key=lambda machine: crc32((text + machine.host).encode()),
            default=None,
        )


class ClientFlow:
    """A flow of a client."""

    def __init__(self, client: "Client", port: int, service: tuple[int, int]) -> None:
        self.client, self.port, self.service = client, port, service
        self.key = client.address, port, *service
        # Sends all packets to this front instead of the one that the routers choose.
        self.front: Machine | None = None
        self.isn = random.randrange(MODULUS)
        self.next_out = (self.isn + 1) % MODULUS
        self.next_in = 0
        self.is_open = False
        self.is_reset = False
        self.has_server_fin = False
        self.has_sent_fin = False
        self.acknowledged = self.isn
        self.received = bytearray()
        self.changed = asyncio.Event()
        self.resets_after_opening = 0

    def send(self, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        """Send a packet through the front that the routers choose now."""
        front = self.front or self.client.world.router.choose(self.key)
        if front is None:
            return
        raw = encode((self.key[0], self.port), self.service, flags, seq, ack, data)
        address = front.host, self.client.world.ports.packets
        self.client.transport.sendto(raw, address)

    def receive(self, packet: Packet) -> None:
        """Take a packet."""
        if packet.flags & RST:
            self._receive_reset(packet)
        elif packet.flags & SYN and packet.flags & ACK:
            self._receive_syn_ack(packet)
        elif self.is_open:
            self._receive_data(packet)
        self.changed.set()
        self.changed = asyncio.Event()

    def _receive_reset(self, packet: Packet) -> None:
        name = self.client.world.flow_name(self.key)
        kind = "of the system" if HEADER.unpack_from(packet.raw)[1] == 0 else "sealed"
        if not self.is_open:
            self.client.world.record.write(f"client: reset {kind} of unopened {name}")
            self.is_reset = True
            return
        distance = (packet.seq - self.next_in) % MODULUS
        is_valid = min(distance, MODULUS - distance) <= RESET_WINDOW
        self.client.world.record.write(
            f"client: reset {kind} of open {name}"
            + ("" if is_valid else ", outside of the window and ignored")
        )
        if is_valid:
            self.resets_after_opening += 1
            self.is_reset = True

    def _receive_syn_ack(self, packet: Packet) -> None:
        if not self.is_open and not self.is_reset:
            if packet.ack != (self.isn + 1) % MODULUS:
                return
            self.is_open = True
            self.acknowledged = packet.ack
            self.next_in = (packet.seq + 1) % MODULUS
        if self.is_open and (packet.seq + 1) % MODULUS == self.next_in:
            self.send(ACK, self.next_out, self.next_in)

    def _receive_data(self, packet: Packet) -> None:
        if packet.flags & ACK:
            ahead = (packet.ack - self.acknowledged) % MODULUS
            if ahead <= (self.next_out - self.acknowledged) % MODULUS:
                self.acknowledged = packet.ack
        if packet.length and packet.seq == self.next_in:
            self.received += packet.data
            self.next_in = (self.next_in + packet.length) % MODULUS
        end = (packet.seq + packet.length) % MODULUS
        if packet.flags & FIN and end == self.next_in and not self.has_server_fin:
            self.has_server_fin = True
            self.next_in = (self.next_in + 1) % MODULUS
        if packet.length or packet.flags & FIN:
            self.send(ACK, self.next_out, self.next_in)

    async def _wait(self, is_done: Callable[[], bool], until: float) -> bool:
        while not is_done() and not self.is_reset:
            left = until - time.monotonic()
            if left <= 0:
                return False
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        return is_done()

    async def open(self) -> str:
        """Open the flow; return ``open``, ``reset`` or ``silence``."""
        record = self.client.world.record
        record.write(f"client: opens {self.client.world.flow_name(self.key)}")
        started_at = time.monotonic()
        for count, wait_s in enumerate(SYN_COPIES_S):
            await self._wait(lambda: self.is_open, started_at + wait_s)
            if self.is_open or self.is_reset:
                break
            self.send(SYN, self.isn, count)
        await self._wait(lambda: self.is_open, started_at + SYN_GIVE_UP_S)
        outcome = "open" if self.is_open else "reset" if self.is_reset else "silence"
        record.write(f"client: {self.client.world.flow_name(self.key)}: {outcome}")
        return outcome

    async def request(self, *, is_last: bool = False, timeout_s: float = 2.5) -> str:
        """Send a request; return the answer's body, ``reset`` or ``silence``.

        After the answer to the last one, the server closes the flow.
        """
        request = f"r{random.getrandbits(48):012x}"
        lines = ["GET / HTTP/1.1", f"X-Request-Id: {request}"]
        lines += ["Connection: close"] if is_last else []
        data = "\r\n".join([*lines, "", ""]).encode()
        record = self.client.world.record
        record.write(
            f"client: sends {request} on {self.client.world.flow_name(self.key)}"
        )
        until = time.monotonic() + timeout_s
        seq = self.next_out
        self.next_out = (seq + len(data)) % MODULUS
        self.received.clear()
        wait_s = RETRANSMIT_S
        while time.monotonic() < until and not self.is_reset:
            if self.acknowledged != self.next_out:
                self.send(ACK, seq, self.next_in, data)
            sent_until = min(until, time.monotonic() + wait_s)
            if await self._wait(lambda: b"\r\n\r\n" in self.received, sent_until):
                break
            wait_s = min(MAX_RETRANSMIT_S, 2 * wait_s)
        body = bytes(self.received).partition(b"\r\n\r\n")[2].decode()
        outcome = body or ("reset" if self.is_reset else "silence")
        record.write(f"client: {request}: {outcome}")
        return outcome

    async def close(self) -> bool:
        """Close the flow; return whether both ends have sent a FIN."""
        seq = self.next_out
        self.next_out = (seq + 1) % MODULUS
        for attempt in range(4):
            self.send(FIN | ACK, seq, self.next_in)
            until = time.monotonic() + RETRANSMIT_S * 2**attempt
            if await self._wait(
                lambda: self.has_server_fin and self.acknowledged == self.next_out,
                until,
            ):
                break
        is_closed = self.has_server_fin and self.acknowledged == self.next_out
        name = self.client.world.flow_name(self.key)
        self.client.world.record.write(f"client: {name} closed: {is_closed}")
        return is_closed


class Client(asyncio.DatagramProtocol):
    """A client at one address."""

    def __init__(self, world: "World", host: str) -> None:
        self.world, self.host = world, host
        self.address = number(host)
        self.flows: dict[tuple[int, int, int, int], ClientFlow] = {}
        self.next_port = random.randrange(40_000, 50_000)

    async def start(self) -> None:
        """Listen at the port to which packets for clients are sent."""
        loop = asyncio.get_running_loop()
        address = self.host, self.world.ports.packets
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=address
        )

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Take a packet."""
        packet = Packet(data)
        flow = self.flows.get((packet.dst, packet.dport, packet.src, packet.sport))
        if flow is not None:
            flow.receive(packet)

    def flow(self, route: str, port: int | None = None) -> ClientFlow:
        """Return a new flow to a route, from a new port unless one is named."""
        if port is None:
            self.next_port += 1
            port = self.next_port
        flow = ClientFlow(self, port, self.world.routes[route])
        self.flows[flow.key] = flow
        return flow


class World:
    """The machines of a case with everything around them."""

    zones = ("zone-a", "zone-b", "zone-c")

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self.folder = record, folder
        self.ports = Ports()
        network = random.randrange(20, 250)
        self.net = f"127.{network}.{random.randrange(1, 120)}"
        self.store_net = f"127.{network}.{random.randrange(121, 250)}"
        self.store = Store(self, self.ports.store)
        self.router = Router(self)
        self.machines: list[Machine] = []
        self.servers: list[Server] = []
        self.clients: list[Client] = []
        self.seeds: list[str] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.is_over = False
        # Address of each route, also of those that the configuration dropped.
        self.routes: dict[str, tuple[int, int]] = {}
        self.version = random.randrange(3, 10)
        self.acknowledged_at: dict[int, float] = {}

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task until the end of the case."""
        self.tasks.append(asyncio.create_task(work))

    def flow_name(self, key: tuple[int, int, int, int]) -> str:
        """Return a flow's name for the record."""
        client = inet_ntoa(key[0].to_bytes(4, "big"))
        service = inet_ntoa(key[2].to_bytes(4, "big"))
        return f"{client}:{key[1]}>{service}:{key[3]}"

    async def start(self, fronts: int, services: dict[str, int]) -> None:
        """Start store, routers, machines and servers."""
        for index in range(fronts):
            zone = self.zones[index % len(self.zones)]
            self.machines.append(
                Machine(self, "front", f"{self.net}.{1 + index}", zone)
            )
        self.seeds = [machine.host for machine in self.machines[:3]]
        sides = []
        for service, count in services.items():
            for _ in range(count):
                zone = self.zones[len(sides) % len(self.zones)]
                host = f"{self.net}.{100 + len(sides)}"
                machine = Machine(self, "side", host, zone)
                machine.service = service
                sides.append(machine)
        self.machines += sides
        for index, machine in enumerate(self.machines):
            machine.store_host = f"{self.store_net}.{1 + index}"
            await self.store.listen(machine.store_host)
        for machine in self.machines:
            await machine.start()
        for machine in sides:
            server = Server(self, machine, machine.service)
            await server.start()
            self.servers.append(server)
        client = Client(self, f"{self.net}.200")
        await client.start()
        self.clients.append(client)
        self.spawn(self.router.run())

    def route(self, name: str, index: int, service: str) -> dict[str, Any]:
        """Return a route of the configuration, at an address of the platform."""
        host = f"{self.net}.{240 + index % 8}"
        port = 1000 + index
        self.routes[name] = number(host), port
        return {
            "name": name,
            "host": host,
            "prefix": f"/{port}/",
            "type": "idempotent",
            "timeoutMs": 2000,
            "goalMs": 500,
            "priority": 2,
            "service": service,
            "maxAttempts": 2,
        }

    def configure(
        self, routes: list[dict[str, Any]], *, idle_timeout_ms: int = 15_000
    ) -> int:
        """Write a new version of the configuration; the store acknowledges it."""
        self.version += random.randrange(1, 4)
        services = sorted({machine.service for machine in self.machines} - {""})
        document = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": service,
                    "healthPath": "/health",
                    "maxConns": 2000,
                    "protocol": "h1",
                    "tlsMode": False,
                }
                for service in services
            ],
            "limits": {
                "headerBytes": 16384,
                "bodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": idle_timeout_ms,
            },
        }
        value = json.dumps(document, separators=(",", ":")).encode()
        self.store.put("op/config", value)
        self.acknowledged_at[self.version] = self.record.now()
        self.record.write(
            f"operator: version {self.version} acknowledged, {len(routes)} routes, "
            f"idleTimeoutMs {idle_timeout_ms}, {len(value)} bytes"
        )
        return self.version

    async def until_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until all fronts are in rotation."""
        fronts = [machine for machine in self.machines if machine.kind == "front"]
        until = time.monotonic() + timeout_s
        while len(self.router.ready()) < len(fronts):
            if time.monotonic() > until:
                raise CannotRunError("not all fronts became ready")
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End everything that was started."""
        self.is_over = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(machine.stop() for machine in self.machines))
        await self.store.stop()


def run_case(folder: str, play: Callable[[World], Coroutine[Any, Any, bool]]) -> None:
    """Play a case and exit with its result.

    Parameters
    ----------
    folder : str
        Folder of the case.
    play : callable
        Plays the case and returns whether the rule was broken.
    """
    record = Record(Path(folder) / "record.txt")

    async def run() -> int:
        # A runner that loses patience must not leave daemons behind.
        task = asyncio.current_task()
        if task is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            world = World(record, Path(temporary))
            try:
                is_broken = await play(world)
                return BROKEN if is_broken else HELD
            except CannotRunError as error:
                record.write(f"could not run: {error}")
                return NOT_RUN
            except asyncio.CancelledError:
                record.write("could not run: ended by a signal")
                return NOT_RUN
            except Exception:
                record.write(f"could not run: {traceback.format_exc()}")
                return NOT_RUN
            finally:
                await world.stop()
                if os.environ.get("KEEP_LOGS"):
                    for machine in world.machines:
                        kept = Path(os.environ["KEEP_LOGS"]) / machine.log_path.name
                        kept.write_bytes(machine.log_path.read_bytes())

    code = asyncio.run(run())
    record.write(("the rule held", "the rule was broken", "not run")[code])
    print(("held", "broken", "not run")[code])
    sys.exit(code)
