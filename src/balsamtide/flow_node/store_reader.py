"""Task that reads the platform's store while this process is a reader.

Readers are the few processes that read the store for the whole fleet; the others get
their views by gossip.
"""

from collections.abc import Callable, Sequence
from math import inf
from random import Random

from trio import current_time, sleep

from balsamtide.fleet.merge import LAPSE_GRACE_S, with_changes, with_listing
from balsamtide.fleet.store import (
    FleetStore,
    HistoryGoneError,
    ResponseTooLargeError,
    StoreChanges,
    StoreError,
)
from balsamtide.fleet.view import FleetView
from balsamtide.fleet.view_gossip import ViewGossip
from balsamtide.flow_node.events import STORE_BACK, STORE_LOST, STORE_READING
from balsamtide.flow_node.metrics import STORE_CALLS
from balsamtide.protocol.flow_actions import Action
from balsamtide.telemetry.sink import Sink

__all__ = ["StoreReader"]

# Interval at which a process that does not read checks whether it has become a reader.
READER_CHECK_PERIOD_S = 0.1
# Retry backoff after a failed request, doubled up to the maximum, so that a recovered
# store is noticed within a second and a half.
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.2


class StoreReader:
    """Reads and watches the store and passes the views on for sharing.

    Parameters
    ----------
    store : FleetStore
        The store.
    gossip : ViewGossip
        Decides whether this process is a reader, announces to peers that it is one (its
        claim) and receives the views.
    execute : callable
        Executes actions.
    on_view : callable
        Called after each read with the previous view and ``"store"``, which names the
        origin of the new view.
    sink : Sink
        Events and metrics.
    random : Random
        Source of the retry jitter.
    outage_started_at : float
        Start of the current outage of the store, infinite if there is none.
    """

    def __init__(
        self,
        *,
        store: FleetStore,
        gossip: ViewGossip,
        execute: Callable[[Sequence[Action]], None],
        on_view: Callable[[FleetView, str], None],
        sink: Sink,
        random: Random,
        outage_started_at: float,
    ) -> None:
        self.store = store
        self.gossip = gossip
        self.execute = execute
        self.on_view = on_view
        self.sink = sink
        self.random = random
        self.outage_started_at = outage_started_at
        # Targets without a record are kept as lapsed until this time.
        self.grace_until = -inf
        self.backoff_s = MIN_BACKOFF_S
        # Set if the changes since the view's revision can't be read.
        self.needs_listing = False
        self.is_reading = False

    async def run(self) -> None:
        """Read while this process is a reader, until cancelled."""
        while True:
            should_read = self.gossip.should_read(current_time())
            if should_read is not self.is_reading:
                self._set_reading(should_read)
            if should_read:
                await self._read()
            else:
                await sleep(READER_CHECK_PERIOD_S)

    def _set_reading(self, should_read: bool) -> None:
        self.is_reading = should_read
        self.sink.event(STORE_READING, is_reader=should_read)
        if not should_read:
            self.gossip.withdraw_claim()
        elif self.outage_started_at == inf and self.gossip.is_unread(current_time()):
            # The process that saw the start of an outage may be gone.  Without a grace
            # time, live targets whose records lapsed would count as gone.
            self.outage_started_at = self.gossip.confirmed_at

    async def _read(self) -> None:
        try:
            view = await self._read_view()
        except StoreError as error:
            await self._back_off(error)
        else:
            if view is not None:
                self._apply_view(view)

    async def _read_view(self) -> FleetView | None:
        """Return the view after a read, None if the store has to be listed next."""
        current = self.gossip.shared_view
        should_list = self.gossip.should_list(current_time())
        # The revision is negative until a view was read or pulled.
        if self.needs_listing or should_list or current.revision < 0:
            return await self._list(current)
        changes = await self._watch(current.revision)
        # The view may be of another era by now, to which the changes do not belong.
        eras = {current.era, self.gossip.shared_view.era}
        if changes is not None and eras != {changes.era}:
            self.sink.count(STORE_CALLS, outcome="other-era")
            changes = None
        if changes is None:
            self.needs_listing = True
            return None
        self._record_success()
        return with_changes(
            self.gossip.shared_view,
            changes,
            grace_until=self.grace_until,
            now=current_time(),
        )

    async def _list(self, current: FleetView) -> FleetView | None:
        """Return the view after a listing, None if the store has to be listed again."""
        listing = await self.store.read_all()
        if (listing.era, listing.revision) < current.position:
            raise StoreError(
                f"the store is at revision {listing.revision} of era {listing.era}, "
                f"behind revision {current.revision} of era {current.era} of the view"
            )
        view = self.gossip.shared_view
        if listing.era < view.era:
            self.needs_listing = True
            return None
        self._record_success()
        self.needs_listing = False
        return with_listing(
            view, listing, grace_until=self.grace_until, now=current_time()
        )

    async def _watch(self, revision: int) -> StoreChanges | None:
        """Return the changes after a revision, None if they can't be read."""
        try:
            return await self.store.watch(revision)
        except HistoryGoneError as error:
            self._report_unreadable("history-gone", error)
        except ResponseTooLargeError as error:
            # Another attempt would get a response that is at least as long.
            self._report_unreadable("too-large", error)
        return None

    def _report_unreadable(self, outcome: str, error: StoreError) -> None:
        self.sink.count(STORE_CALLS, outcome=outcome)
        self.sink.event(STORE_LOST, reason=str(error))

    def _record_success(self) -> None:
        self.sink.count(STORE_CALLS, outcome="answered")
        if self.outage_started_at < inf:
            now = current_time()
            self.grace_until = now + LAPSE_GRACE_S
            lost_ms = round((now - self.outage_started_at) * 1000)
            self.outage_started_at = inf
            self.backoff_s = MIN_BACKOFF_S
            self.sink.event(STORE_BACK, lost_ms=lost_ms)

    def _apply_view(self, view: FleetView) -> None:
        before = self.gossip.view
        self.execute(self.gossip.apply_store_view(view, current_time()))
        self.on_view(before, "store")

    async def _back_off(self, error: StoreError) -> None:
        now = current_time()
        self.sink.count(STORE_CALLS, outcome="failed")
        if self.outage_started_at == inf:
            self.outage_started_at = now
            self.sink.event(STORE_LOST, reason=str(error))
        self.gossip.withdraw_claim()
        await sleep(self.backoff_s * self.random.uniform(0.7, 1.3))
        self.backoff_s = min(MAX_BACKOFF_S, 2 * self.backoff_s)
