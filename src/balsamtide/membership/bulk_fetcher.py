"""Task that fetches bulk state when joining and when entries exceed a datagram."""

from collections.abc import Awaitable, Callable, Sequence
from random import Random
from ssl import SSLContext

import trio

from balsamtide.config.port import Instance
from balsamtide.membership.events import STATE_FETCH_FAILED, STATE_FETCHED
from balsamtide.membership.membership import Membership
from balsamtide.membership.platform_reader import SnapshotLog
from balsamtide.membership.state_rpc import State, StateError, fetch_state
from balsamtide.protocol.actions import Send

__all__ = ["BulkFetcher", "Fetch", "make_fetch"]

Fetch = Callable[[Instance, int, float], Awaitable[State]]

FETCH_TIMEOUT_S = 5.0
# After this many peers a joiner relies on dissemination and the platform.
MAX_JOIN_ATTEMPTS = 4
CHECK_INTERVAL_S = 0.2
# Mean delay after a failed fetch, before jitter.
RETRY_DELAY_S = 1.0


def make_fetch(ssl: SSLContext | None = None) -> Fetch:
    """Return a function that fetches the state of a peer over grpclib."""

    async def fetch(peer: Instance, after: int, deadline: float) -> State:
        return await fetch_state(peer.rpc, after=after, deadline=deadline, ssl=ssl)

    return fetch


class BulkFetcher:
    """Fetches bulk state from peers for one process.

    Parameters
    ----------
    membership : Membership
        Chooses the peers and receives the marks.
    log : SnapshotLog
        Log that receives the entries or the snapshot.
    fetch : callable
        Fetches the state of a peer, given the last entry held and a deadline.
    deliver : callable
        Sends messages to peers; must not block.
    random : Random
        Random source for jitter and the order of peers.
    """

    def __init__(
        self,
        membership: Membership,
        *,
        log: SnapshotLog,
        fetch: Fetch,
        deliver: Callable[[Sequence[Send]], None],
        random: Random,
    ) -> None:
        self.membership = membership
        self.log = log
        self.fetch = fetch
        self.deliver = deliver
        self.random = random

    async def join(self) -> bool:
        """Fetch state from one of a few random peers; return whether one succeeded."""
        peers = list(self.membership.peers())
        self.random.shuffle(peers)
        for peer in peers[:MAX_JOIN_ATTEMPTS]:
            if await self._fetch_from(peer):
                return True
        return False

    async def run(self) -> None:
        """Fetch bulk state whenever membership requires it, until cancelled."""
        while True:
            peer = self.membership.bulk_peer()
            if peer is None:
                await trio.sleep(CHECK_INTERVAL_S)
            elif not await self._fetch_from(peer):
                await trio.sleep(RETRY_DELAY_S * (0.5 + self.random.random()))

    async def _fetch_from(self, peer: Instance) -> bool:
        deadline = trio.current_time() + FETCH_TIMEOUT_S
        sink = self.membership.sink
        try:
            state = await self.fetch(peer, self.log.held.number, deadline)
        except StateError as error:
            sink.event(STATE_FETCH_FAILED, peer=peer.name, error=str(error))
            return False
        self._apply(state, peer)
        sink.event(STATE_FETCHED, peer=peer.name, number=state.number)
        return True

    def _apply(self, state: State, peer: Instance) -> None:
        now = trio.current_time()
        source = f"peer:{peer.name}"
        if state.entries:
            self.log.offer_entries(state.entries, source=source, now=now)
        if state.snapshot is not None:
            self.log.offer_snapshot(state.snapshot, source=source, now=now)
        sends = [
            *self.membership.receive_marks(state.marks, now),
            *self.membership.entries_arrived(now),
        ]
        self.deliver(sends)
