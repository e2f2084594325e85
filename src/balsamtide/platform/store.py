"""Client of the platform's key-value store."""

from base64 import b64decode
from binascii import Error as Base64Error
from collections.abc import Callable, Iterable, Iterator, Mapping
from json import loads
from typing import Any

from balsamtide.clock import boot_time
from balsamtide.fleet.store import (
    ConfigurationChange,
    EvacuationChange,
    FleetStore,
    HistoryGoneError,
    Listing,
    StoreChanges,
    StoreError,
    TargetChange,
)
from balsamtide.fleet.view import FlowConfiguration
from balsamtide.flow_node.http import BaseHttpClient
from balsamtide.platform.documents import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    MAX_INTEGER,
    OPERATOR_PREFIX,
    TARGET_PREFIX,
    DocumentError,
    decode_configuration,
    decode_target,
    decode_zone,
)

__all__ = ["PlatformStore", "StoreEra"]

RANGE_PATH = "/-/kv-range"
WATCH_PATH = "/-/kv-watch"
# Empty prefix, so that one watch covers all keys.
ALL_KEYS = ""
# Number of times that the store was restored, in all of its responses.
ERA_HEADER = b"store-era"
# Digits of an era that fits into MAX_INTEGER.
MAX_ERA_DIGITS = 18
# A store that is restored during a listing is listed again, so many times at most.
MAX_LISTINGS = 3
OK = 200
GONE = 410

Change = TargetChange | ConfigurationChange | EvacuationChange
RejectCallback = Callable[[str, str], None]


class StoreEra:
    """Reads the store's era from the headers of its responses.

    Parameters
    ----------
    on_unreadable : callable
        Called with the reason for each response without a usable era.
    """

    def __init__(self, on_unreadable: Callable[[str], None]) -> None:
        self.on_unreadable = on_unreadable
        # The era that was read last, 0 if there was none.
        self.latest = 0

    def record(self, headers: Mapping[bytes, bytes]) -> None:
        """Read the era of a response; without a usable one, the last one counts."""
        value = headers.get(ERA_HEADER)
        if value is None:
            self.on_unreadable("missing")
        elif not value.isdigit() or len(value) > MAX_ERA_DIGITS:
            self.on_unreadable(f"{value!r:.40}")
        else:
            self.latest = int(value)


class PlatformStore(FleetStore):
    """Reads the platform's store over one connection at a time.

    Parameters
    ----------
    client : BaseHttpClient
        Sends the requests.
    watch_s : float
        Longest time that the server may hold a watch, seconds.
    on_reject : callable
        Called with key and reason for each document that can't be decoded.
    era : StoreEra or None
        Reads the era of responses; several clients of a process share it.
    """

    def __init__(
        self,
        client: BaseHttpClient,
        *,
        watch_s: float,
        on_reject: RejectCallback,
        era: StoreEra | None = None,
    ) -> None:
        self.client = client
        self.era = era or StoreEra(lambda _: None)
        self.watch_s = watch_s
        self.on_reject = on_reject

    async def read_all(self) -> Listing:
        """Return the configuration, all targets and the evacuated zones.

        Raises
        ------
        StoreError
            If the store does not answer, or was restored during each of some listings.
        """
        for _ in range(MAX_LISTINGS):
            listing = await self._read_listing()
            # Pages of several eras do not fit together.
            if listing.era == self.era.latest:
                return listing
        raise StoreError(f"{RANGE_PATH}: the store's era changes again and again")

    async def _read_listing(self) -> Listing:
        """Return the contents of the store, with the era of the first page."""
        # The revision of the first page, so that a watch from there misses no change
        # that is made between the pages.
        operator_items, revision, era = await self._read_range(OPERATOR_PREFIX)
        target_items, _, _ = await self._read_range(TARGET_PREFIX)
        configuration: FlowConfiguration | None = None
        zones: set[str] = set()
        for change in self._decode_changes(operator_items):
            if isinstance(change, ConfigurationChange):
                configuration = change.configuration
            elif isinstance(change, EvacuationChange):
                zones.add(change.zone)
        reads = (self._decode_target(item) for item in target_items)
        targets = tuple(read.target for read in reads if read.target is not None)
        return Listing(
            revision, configuration, targets, era, evacuated_zones=frozenset(zones)
        )

    async def _read_range(self, prefix: str) -> tuple[list[dict[str, Any]], int, int]:
        """Return all items under a prefix; revision and era are of the first page."""
        found: list[dict[str, Any]] = []
        revision: int | None = None
        era = 0
        query = {"prefix": prefix}
        while True:
            page = await self._call(RANGE_PATH, query)
            if revision is None:
                revision, era = _get_integer(page, "storeRevision"), self.era.latest
            items = [i for i in _get_list(page, "items") if isinstance(i, dict)]
            found += items
            if not page.get("morePages") or not items:
                return found, revision, era
            query["after"] = str(items[-1].get("key"))

    async def watch(self, after: int) -> StoreChanges:
        """Return the changes that follow revision ``after``, waiting for the first one.

        The result is empty if there are none within ``watch_s`` seconds.

        Raises
        ------
        HistoryGoneError
            If the store has discarded these changes.
        """
        query: dict[str, str | int] = {
            "prefix": ALL_KEYS,
            "after": after,
            "waitMs": int(self.watch_s * 1000),
        }
        response = await self._call(WATCH_PATH, query, wait_s=self.watch_s)
        events = [
            event for event in _get_list(response, "events") if isinstance(event, dict)
        ]
        revision = max(after, _get_integer(response, "storeRevision"))
        changes = tuple(self._decode_changes(events))
        return StoreChanges(revision, changes, self.era.latest)

    async def _call(
        self,
        path: str,
        query: Mapping[str, str | int],
        wait_s: float = 0.0,
    ) -> dict[str, Any]:
        # Imported with the first read, since a started process may not need one.
        from urllib.parse import urlencode

        # A page may end with a key that no text encoding holds, and the next one
        # starts after it.
        text = urlencode(query, errors="surrogatepass")
        response = await self.client.get(f"{path}?{text}", wait_s=wait_s)
        self.era.record(response.headers)
        if response.status == GONE:
            raise HistoryGoneError(
                f"{path}: the history after revision {query.get('after')} is no longer "
                "available"
            )
        if response.status != OK:
            raise StoreError(f"{path}: status {response.status}")
        try:
            document = loads(response.body)
        except (ValueError, RecursionError) as error:
            raise StoreError(f"{path}: the response is not JSON") from error
        if not isinstance(document, dict):
            raise StoreError(f"{path}: the response is not a JSON object")
        return document

    def _decode_changes(self, events: Iterable[dict[str, Any]]) -> Iterator[Change]:
        for event in events:
            key = str(event.get("key"))
            if key == CONFIGURATION_KEY:
                configuration = self._decode_configuration(event)
                if configuration is not None:
                    yield ConfigurationChange(configuration)
            elif key.startswith(EVACUATION_PREFIX):
                evacuation = self._decode_evacuation(key, event)
                if evacuation is not None:
                    yield evacuation
            elif key.startswith(TARGET_PREFIX):
                yield self._decode_target(event)

    def _decode_configuration(
        self, item: Mapping[str, Any]
    ) -> FlowConfiguration | None:
        try:
            return decode_configuration(_decode_value(item))
        except DocumentError as error:
            self.on_reject(CONFIGURATION_KEY, str(error))
            return None

    def _decode_evacuation(
        self, key: str, item: Mapping[str, Any]
    ) -> EvacuationChange | None:
        # The value does not matter: the zone is evacuated while the key exists.
        try:
            return EvacuationChange(decode_zone(key), not item.get("removed"))
        except DocumentError as error:
            self.on_reject(key, str(error))
            return None

    def _decode_target(self, item: Mapping[str, Any]) -> TargetChange:
        key = str(item.get("key"))
        name = key.removeprefix(TARGET_PREFIX)
        if item.get("removed"):
            return TargetChange(name, None, is_removed=True)
        try:
            return TargetChange(
                name, decode_target(name, _decode_value(item), boot_time())
            )
        except DocumentError as error:
            self.on_reject(key, str(error))
            # The view drops a target with an invalid record, without a grace period.
            return TargetChange(name, None)


def _decode_value(item: Mapping[str, Any]) -> bytes:
    try:
        return b64decode(item.get("value", ""), validate=True)
    except (Base64Error, TypeError, ValueError) as error:
        raise DocumentError("the value is not valid base64") from error


def _get_integer(response: Mapping[str, Any], name: str) -> int:
    value = response.get(name)
    if not isinstance(value, int) or isinstance(value, bool):
        raise StoreError(f"field {name!r} is not an integer: {value!r:.40}")
    if not 0 <= value <= MAX_INTEGER:
        raise StoreError(f"field {name!r} is not from 0 to {MAX_INTEGER}")
    return value


def _get_list(response: Mapping[str, Any], name: str) -> list[Any]:
    value = response.get(name)
    if not isinstance(value, list):
        raise StoreError(f"field {name!r} is not a list")
    return value
