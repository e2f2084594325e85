"""A small platform: a log that can be read and watched over HTTP.

It serves the calls of `HttpPlatform` as an ASGI application, counts them, and can be
told to misbehave.  A test can call `application` without a socket.
"""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import parse_qs

from hypercorn.config import Config
from hypercorn.trio import serve
from msgspec import Raw, Struct
from msgspec.json import encode
from trio import (
    TASK_STATUS_IGNORED,
    Event,
    TaskStatus,
    current_time,
    move_on_after,
    sleep,
)

from balsamtide.config.entries import InvalidEntryError, parse_entries
from balsamtide.config.port import Instance, InstanceState
from balsamtide.config.replica import ConfigurationReplica
from balsamtide.config.snapshot import SnapshotParts, split_snapshot
from balsamtide.protocol.messages import Entry, PatchOperation
from balsamtide.telemetry.memory_sink import MemorySink

__all__ = ["PlatformStandin"]

MAX_RESPONSE_BYTES = 1_000_000
SNAPSHOT_EVERY = 32

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class _NotFound(Exception):
    """No such resource."""


@dataclass(frozen=True, slots=True)
class _Listed:
    instance: Instance
    visible_at: float


class _EndpointDocument(Struct, frozen=True):
    host: str
    port: int


class _InstanceDocument(Struct, frozen=True):
    name: str
    role: str
    region: str
    zone: str
    inner: _EndpointDocument
    rpc: _EndpointDocument
    state: InstanceState


class _Newest(Struct, frozen=True):
    number: int


def _document(instance: Instance) -> _InstanceDocument:
    return _InstanceDocument(
        name=instance.name,
        role=instance.role,
        region=instance.region,
        zone=instance.zone,
        inner=_EndpointDocument(instance.inner.host, instance.inner.port),
        rpc=_EndpointDocument(instance.rpc.host, instance.rpc.port),
        state=instance.state,
    )


class PlatformStandin:
    """Holds a log and serves it.

    Parameters
    ----------
    instance_lag_s : float
        Time after which a change of the list of instances is served, in seconds.
    snapshot_every : int
        Entries between two snapshots.
    max_chunk_bytes : int
        Size of the chunks of a snapshot, in octets.

    Attributes
    ----------
    reads : int
        Calls so far, a waiting watch as one.
    is_out : bool
        Whether every call fails.
    delay_s : float
        Time that every call takes longer, in seconds.
    served_limit : int or None
        Last entry that is served, as a stale replica would.
    garbage : bytes or None
        Body that is served instead of every answer.
    """

    def __init__(
        self,
        *,
        instance_lag_s: float = 0.0,
        snapshot_every: int = SNAPSHOT_EVERY,
        max_chunk_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self.instance_lag_s = instance_lag_s
        self.snapshot_every = snapshot_every
        self.max_chunk_bytes = max_chunk_bytes
        self.reads = 0
        self.is_out = False
        self.delay_s = 0.0
        self.served_limit: int | None = None
        self.garbage: bytes | None = None
        self.log: list[bytes] = []
        self.replica = ConfigurationReplica(sink=MemorySink())
        self.snapshots: dict[int, SnapshotParts] = {}
        self.listed: dict[str, list[_Listed]] = {}
        self.changed = Event()
        self.url = ""

    @property
    def newest(self) -> int:
        """Number of the last entry that is served."""
        if self.served_limit is None:
            return len(self.log)
        return min(len(self.log), self.served_limit)

    def publish(
        self,
        patch: Iterable[PatchOperation],
        *,
        actor: str = "operator",
        base: int | None = None,
    ) -> int:
        """Append an entry, by default against the version in force.

        Returns
        -------
        int
            Number of the entry.
        """
        entry = Entry(
            number=len(self.log) + 1,
            base=self.replica.held.in_force if base is None else base,
            patch=tuple(patch),
            actor=actor,
        )
        return self.publish_raw(encode(entry))

    def publish_raw(self, octets: bytes) -> int:
        """Append octets that need not be a valid entry, and return their number."""
        number = len(self.log) + 1
        self.log.append(octets)
        with suppress(InvalidEntryError):
            entries = parse_entries(b"[" + octets + b"]")
            self.replica.offer_entries(entries, source="platform", now=0.0)
        if self.replica.held.number == number and number % self.snapshot_every == 0:
            self.take_snapshot()
        self._wake()
        return number

    def take_snapshot(self) -> None:
        """Make a snapshot of the log as it is now."""
        snapshot = self.replica.snapshot()
        self.snapshots[snapshot.number] = split_snapshot(
            snapshot, max_chunk_bytes=self.max_chunk_bytes
        )

    def restart_with(self, length: int) -> None:
        """Lose all entries after ``length``, as a restore of an old copy does."""
        kept = self.log[:length]
        self.log = []
        self.snapshots = {}
        self.replica = ConfigurationReplica(sink=MemorySink())
        for octets in kept:
            self.publish_raw(octets)

    def list_instance(self, instance: Instance) -> None:
        """Add or change a line of the list of instances; it is served with the lag."""
        visible_at = current_time() + self.instance_lag_s
        lines = self.listed.setdefault(instance.name, [])
        lines.append(_Listed(instance, visible_at))

    def list_leaving(self, name: str) -> None:
        """Say of an instance that it is leaving; it is served with the lag."""
        latest = self.listed[name][-1].instance
        self.list_instance(replace(latest, state=InstanceState.LEAVING))

    def remove_instance(self, name: str) -> None:
        """Remove an instance from the list at once."""
        self.listed.pop(name, None)

    def _wake(self) -> None:
        self.changed.set()
        self.changed = Event()

    def _instances(self) -> bytes:
        now = current_time()
        visible = []
        for lines in self.listed.values():
            passed = [line for line in lines if line.visible_at <= now]
            if passed:
                visible.append(_document(passed[-1].instance))
        return encode(visible)

    def _entries(self, after: int) -> bytes:
        chosen: list[Raw] = []
        size = 2
        for octets in self.log[max(0, after) : self.newest]:
            size += len(octets) + 1
            if size > MAX_RESPONSE_BYTES and chosen:
                break
            chosen.append(Raw(octets))
        return encode(chosen)

    async def _watch(self, after: int, timeout_s: float) -> bytes:
        with move_on_after(timeout_s):
            while self.newest <= after:
                await self.changed.wait()
        return self._entries(after)

    def _snapshot(self) -> SnapshotParts:
        numbers = [number for number in self.snapshots if number <= self.newest]
        if not numbers:
            raise _NotFound
        return self.snapshots[max(numbers)]

    def _chunk(self, number: str, index: str) -> bytes:
        try:
            return self.snapshots[int(number)].chunks[int(index)]
        except (KeyError, IndexError, ValueError) as error:
            raise _NotFound from error

    async def _answer(self, path: str, query: Mapping[str, list[str]]) -> bytes:
        match path.split("/")[1:]:
            case ["v1", "newest"]:
                return encode(_Newest(self.newest))
            case ["v1", "entries"]:
                return self._entries(int(query["after"][0]))
            case ["v1", "watch"]:
                timeout_s = float(query["timeout_s"][0])
                return await self._watch(int(query["after"][0]), timeout_s)
            case ["v1", "snapshot"]:
                return encode(self._snapshot().manifest)
            case ["v1", "snapshot", number, index]:
                return self._chunk(number, index)
            case ["v1", "instances"]:
                return self._instances()
        raise _NotFound

    async def _respond(self, scope: Mapping[str, Any]) -> tuple[int, bytes]:
        self.reads += 1
        if self.delay_s:
            await sleep(self.delay_s)
        if self.is_out:
            return 503, b""
        if self.garbage is not None:
            return 200, self.garbage
        try:
            query = parse_qs(scope["query_string"].decode())
            return 200, await self._answer(scope["path"], query)
        except _NotFound:
            return 404, b""
        except (KeyError, ValueError):
            return 400, b""

    async def application(
        self, scope: Mapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await self._live(receive, send)
            return
        status, body = await self._respond(scope)
        headers = [(b"content-length", str(len(body)).encode())]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    @staticmethod
    async def _live(receive: Receive, send: Send) -> None:
        while True:
            message = await receive()
            kind = message["type"].removeprefix("lifespan.")
            await send({"type": f"lifespan.{kind}.complete"})
            if kind == "shutdown":
                return

    async def serve(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        task_status: TaskStatus[str] = TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; the task starts with the base URL.

        Parameters
        ----------
        host, port : str, int
            Where to listen; port 0 takes a free one.
        task_status : TaskStatus
            Receives the base URL.
        """
        config = Config()
        config.bind = [f"{host}:{port}"]
        config.loglevel = "ERROR"
        config.graceful_timeout = 0.1
        await serve(
            self.application,  # type: ignore[arg-type]
            config,
            task_status=_UrlStatus(self, task_status),  # type: ignore[arg-type]
        )


class _UrlStatus:
    """Passes the first bound URL on as the status of the task."""

    def __init__(self, standin: PlatformStandin, status: TaskStatus[str]) -> None:
        self.standin = standin
        self.status = status

    def started(self, binds: list[str]) -> None:
        """Report the base URL."""
        self.standin.url = binds[0]
        self.status.started(binds[0])
