"""The calls of the platform's store."""

from base64 import b64decode
from binascii import Error as Base64Error
from collections.abc import Callable, Iterable, Mapping
from json import loads
from time import monotonic
from typing import Any
from urllib.parse import urlencode

from balsamtide.fleet.store import (
    ConfigurationChange,
    FleetStore,
    HistoryGoneError,
    Listing,
    StoreChanges,
    StoreError,
    TargetChange,
)
from balsamtide.fleet.view import FlowConfiguration, FlowTarget
from balsamtide.flow_node.http import HttpCaller
from balsamtide.platform.documents import (
    CONFIGURATION_KEY,
    TARGET_PREFIX,
    DocumentError,
    decode_configuration,
    decode_target,
)

__all__ = ["PlatformStore"]

KEY_PATH = "/-/kv-key"
RANGE_PATH = "/-/kv-range"
WATCH_PATH = "/-/kv-watch"
# One watch covers the configuration and all targets.
EVERY_KEY = ""
OK = 200
NOT_FOUND = 404
GONE = 410

RejectHandler = Callable[[str, str], None]


class PlatformStore(FleetStore):
    """Reads the platform's store over one connection at a time.

    Parameters
    ----------
    client : HttpCaller
        Carries the calls.
    watch_s : float
        Longest wait of a watch.
    on_reject : callable
        Called with the key and the fault of each document that is not usable.
    """

    def __init__(
        self, client: HttpCaller, *, watch_s: float, on_reject: RejectHandler
    ) -> None:
        self.client = client
        self.watch_s = watch_s
        self.on_reject = on_reject

    async def read_all(self) -> Listing:
        """Return everything that the store holds."""
        answer = await self._call(KEY_PATH, {"key": CONFIGURATION_KEY}, (OK, NOT_FOUND))
        # The revision of the first call: changes after it are watched for.
        revision = _whole(answer, "storeRevision")
        configuration = self._configuration(answer) if "value" in answer else None
        targets: list[FlowTarget] = []
        after: str | None = None
        while True:
            query = {"prefix": TARGET_PREFIX}
            if after is not None:
                query["after"] = after
            page = await self._call(RANGE_PATH, query)
            items = [item for item in _list(page, "items") if isinstance(item, dict)]
            reads = (self._target(item) for item in items)
            targets.extend(read.target for read in reads if read.target is not None)
            if not page.get("morePages") or not items:
                return Listing(revision, configuration, tuple(targets))
            after = str(items[-1].get("key"))

    async def watch(self, after: int) -> StoreChanges:
        """Wait for changes after a revision; return none at the end of the wait.

        Raises
        ------
        HistoryGoneError
            If the store no longer has these changes.
        """
        query: dict[str, str | int] = {
            "prefix": EVERY_KEY,
            "after": after,
            "waitMs": int(self.watch_s * 1000),
        }
        answer = await self._call(WATCH_PATH, query, wait_s=self.watch_s)
        events = [event for event in _list(answer, "events") if isinstance(event, dict)]
        revision = max(after, _whole(answer, "storeRevision"))
        return StoreChanges(revision, tuple(self._changes(events)))

    async def _call(
        self,
        path: str,
        query: Mapping[str, str | int],
        allowed: tuple[int, ...] = (OK,),
        wait_s: float = 0.0,
    ) -> dict[str, Any]:
        answer = await self.client.get(f"{path}?{urlencode(query)}", wait_s=wait_s)
        if answer.status == GONE:
            raise HistoryGoneError(f"{path}: history is gone")
        if answer.status not in allowed:
            raise StoreError(f"{path}: status {answer.status}")
        try:
            document = loads(answer.body)
        except (ValueError, RecursionError) as error:
            raise StoreError(f"{path}: the answer is not JSON") from error
        if not isinstance(document, dict):
            raise StoreError(f"{path}: the answer is not an object")
        return document

    def _changes(
        self, events: Iterable[dict[str, Any]]
    ) -> Iterable[TargetChange | ConfigurationChange]:
        for event in events:
            key = str(event.get("key"))
            if key == CONFIGURATION_KEY:
                configuration = self._configuration(event)
                if configuration is not None:
                    yield ConfigurationChange(configuration)
            elif key.startswith(TARGET_PREFIX):
                yield self._target(event)

    def _configuration(self, item: Mapping[str, Any]) -> FlowConfiguration | None:
        try:
            return decode_configuration(_value(item))
        except DocumentError as error:
            self.on_reject(CONFIGURATION_KEY, str(error))
            return None

    def _target(self, item: Mapping[str, Any]) -> TargetChange:
        key = str(item.get("key"))
        name = key.removeprefix(TARGET_PREFIX)
        if item.get("removed"):
            return TargetChange(name, None, is_removed=True)
        try:
            return TargetChange(name, decode_target(name, _value(item), monotonic()))
        except DocumentError as error:
            self.on_reject(key, str(error))
            return TargetChange(name, None)


def _value(item: Mapping[str, Any]) -> bytes:
    try:
        return b64decode(item.get("value", ""), validate=True)
    except (Base64Error, TypeError, ValueError) as error:
        raise DocumentError("the value is not base64") from error


def _whole(answer: Mapping[str, Any], name: str) -> int:
    value = answer.get(name)
    if not isinstance(value, int) or isinstance(value, bool):
        raise StoreError(f"{name} is not a whole number")
    return value


def _list(answer: Mapping[str, Any], name: str) -> list[Any]:
    value = answer.get(name)
    if not isinstance(value, list):
        raise StoreError(f"{name} is not a list")
    return value
