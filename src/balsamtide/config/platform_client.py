"""HTTP client of the platform's configuration service."""

from collections.abc import Mapping
from types import TracebackType
from typing import Self, TypeVar

from httpx import AsyncBaseTransport, AsyncClient, HTTPError, InvalidURL, Timeout
from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode
from trio import TooSlowError, fail_after

from balsamtide.config.entries import InvalidEntryError, parse_entries
from balsamtide.config.port import (
    Instance,
    InstanceState,
    PlatformError,
    PlatformPort,
    Snapshot,
)
from balsamtide.config.snapshot import (
    MAX_CHUNK_BYTES,
    SnapshotError,
    SnapshotManifest,
    check_manifest,
    join_snapshot,
)
from balsamtide.protocol.messages import Endpoint, Entry

__all__ = ["HttpPlatform"]

READ_TIMEOUT_S = 5.0
# Holds one entry of MAX_ENTRY_BYTES with a margin, since that limit applies to the
# MessagePack encoding and the JSON of the response can be longer.
MAX_BODY_BYTES = 1_100_000
MAX_INSTANCES_BYTES = 64_000_000
HTTP_OK = 200

Decoded = TypeVar("Decoded")
Parameters = Mapping[str, int | float]


class _NewestDocument(Struct, frozen=True):
    number: int


class _EndpointDocument(Struct, frozen=True):
    host: str
    port: int

    def endpoint(self) -> Endpoint:
        return Endpoint(self.host, self.port)


class _InstanceDocument(Struct, frozen=True):
    name: str
    role: str
    region: str
    zone: str
    inner: _EndpointDocument
    rpc: _EndpointDocument
    state: InstanceState = InstanceState.LIVE

    def instance(self) -> Instance:
        return Instance(
            name=self.name,
            role=self.role,
            region=self.region,
            zone=self.zone,
            inner=self.inner.endpoint(),
            rpc=self.rpc.endpoint(),
            state=self.state,
        )


def _decode(body: bytes, document: type[Decoded]) -> Decoded:
    try:
        return decode(body, type=document)
    except (ValidationError, DecodeError, RecursionError) as error:
        raise PlatformError(f"invalid response of the platform: {error}") from error


class HttpPlatform(PlatformPort):
    """Read from the platform over HTTP; every failure raises `PlatformError`.

    Parameters
    ----------
    base_url : str
        Base URL of the platform.
    read_timeout_s : float
        Timeout of one HTTP request from start to end, in seconds; `watch` adds its
        own to it.
    transport : AsyncBaseTransport or None
        HTTP transport to use instead of TCP connections.
    """

    def __init__(
        self,
        base_url: str,
        *,
        read_timeout_s: float = READ_TIMEOUT_S,
        transport: AsyncBaseTransport | None = None,
    ) -> None:
        self.base_url = base_url.rstrip("/")
        self.read_timeout_s = read_timeout_s
        self.client = AsyncClient(
            transport=transport, timeout=Timeout(None), trust_env=False
        )

    async def __aenter__(self) -> Self:
        """Return the client itself."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self.client.aclose()

    async def _get(
        self,
        path: str,
        *,
        timeout_s: float | None = None,
        max_bytes: int = MAX_BODY_BYTES,
        parameters: Parameters | None = None,
    ) -> bytes:
        limit_s = timeout_s or self.read_timeout_s
        try:
            with fail_after(limit_s):
                return await self._read(path, max_bytes, parameters or {})
        except TooSlowError as error:
            raise PlatformError(f"{path}: no response within {limit_s} s") from error
        except (HTTPError, InvalidURL, OSError, ValueError) as error:
            detail = f"{path}: {type(error).__name__}: {error}"
            raise PlatformError(detail) from error

    async def _read(self, path: str, max_bytes: int, parameters: Parameters) -> bytes:
        url = f"{self.base_url}{path}"
        async with self.client.stream("GET", url, params=parameters) as response:
            if response.status_code != HTTP_OK:
                raise PlatformError(f"{path}: HTTP status {response.status_code}")
            body = bytearray()
            async for chunk in response.aiter_bytes():
                body += chunk
                if len(body) > max_bytes:
                    raise PlatformError(
                        f"{path}: response of more than {max_bytes} bytes"
                    )
            return bytes(body)

    async def newest(self) -> int:
        """Return the number of the newest entry according to the platform."""
        return _decode(await self._get("/v1/newest"), _NewestDocument).number

    async def entries(self, after: int) -> tuple[Entry, ...]:
        """Return entries that follow ``after``, as many as one response holds."""
        return _parse_body(await self._get("/v1/entries", parameters={"after": after}))

    async def watch(self, after: int, timeout_s: float) -> tuple[Entry, ...]:
        """Wait for entries that follow ``after``; return none at the timeout."""
        body = await self._get(
            "/v1/watch",
            timeout_s=timeout_s + self.read_timeout_s,
            parameters={"after": after, "timeout_s": timeout_s},
        )
        return _parse_body(body)

    async def snapshot(self) -> Snapshot:
        """Return the newest snapshot, joined from its chunks and verified."""
        manifest = _decode(await self._get("/v1/snapshot"), SnapshotManifest)
        try:
            check_manifest(manifest)
            chunks = [
                await self._get(
                    f"/v1/snapshot/{manifest.number}/{index}",
                    max_bytes=MAX_CHUNK_BYTES,
                )
                for index in range(manifest.chunk_count)
            ]
            return join_snapshot(manifest, chunks)
        except SnapshotError as error:
            raise PlatformError(f"invalid snapshot: {error}") from error

    async def instances(self) -> tuple[Instance, ...]:
        """Return the instances that the platform lists."""
        body = await self._get("/v1/instances", max_bytes=MAX_INSTANCES_BYTES)
        documents = _decode(body, list[_InstanceDocument])
        return tuple(document.instance() for document in documents)


def _parse_body(body: bytes) -> tuple[Entry, ...]:
    try:
        return parse_entries(body)
    except InvalidEntryError as error:
        raise PlatformError(f"invalid response of the platform: {error}") from error
