"""Carries packets right after the start, while libraries are still loading.

A process that was killed is missed until it carries packets again, and loading trio
takes longer than everything else together.  So a plain loop serves the sockets first.
Before each module that is loaded meanwhile it takes what has arrived.
"""

from collections.abc import Callable, Coroutine
from math import inf
from select import POLLIN, poll
from sys import meta_path
from time import monotonic
from typing import Any

from balsamtide.fleet.merge import with_listing
from balsamtide.fleet.store import FleetStore, Listing, StoreError
from balsamtide.flow_node.events import NODE_LOADED, STORE_LOST
from balsamtide.flow_node.runtime import FlowRuntime
from balsamtide.flow_node.startup_client import SocketWait, StartupClient

__all__ = ["StartupLoop"]

# Longest sleep of the loop while the store is read.
LONGEST_WAIT_S = 0.05
# Packets are handled before a module loads for at most so long; then loading goes on,
# since readiness and the store's news wait for it.
LONGEST_PAUSE_S = 0.02


class PacketsFirst:
    """A finder of modules that takes what has arrived before each one is loaded.

    Its base class is left out: `importlib.abc` loads a dozen modules more.
    """

    def __init__(self, take: Callable[[], None]) -> None:
        self.take = take

    def find_spec(self, *_: Any) -> None:
        """Find nothing."""
        self.take()


class StartupLoop:
    """Serves a runtime's sockets until the libraries are loaded.

    Parameters
    ----------
    runtime : FlowRuntime
        Sockets and decisions.
    client : StartupClient
        Connection to the store.
    store : FleetStore
        The store behind the client.
    timeout_s : float
        Longest time of reading the store.
    """

    def __init__(
        self,
        runtime: FlowRuntime,
        *,
        client: StartupClient,
        store: FleetStore,
        timeout_s: float,
    ) -> None:
        self.runtime = runtime
        self.client = client
        self.reading: Coroutine[Any, None, Listing] = store.read_all()
        self.read_until = monotonic() + timeout_s
        self.wait: SocketWait | None = None
        self.poller = poll()
        self.handlers = {}
        for socket, handler in runtime.receivers():
            descriptor = socket.socket.fileno()
            self.handlers[descriptor] = socket, handler
            self.poller.register(descriptor, POLLIN)

    def run(self, load: Callable[[], None]) -> None:
        """Read the store, then load libraries, and carry packets all the while."""
        self._step()
        while self.wait is not None:
            self._serve(LONGEST_WAIT_S)
            if monotonic() > self.read_until:
                self._end_reading(StoreError("no answer in time"))
        self._load(load)
        self.runtime.sink.event(NODE_LOADED)

    def _load(self, load: Callable[[], None]) -> None:
        finder = PacketsFirst(self._take_packets)
        meta_path.insert(0, finder)
        try:
            load()
        finally:
            meta_path.remove(finder)

    def _take_packets(self) -> None:
        until = monotonic() + LONGEST_PAUSE_S
        while self._serve(0.0) and monotonic() < until:
            pass

    def _serve(self, wait_s: float) -> bool:
        """Take what has arrived, and what is due; return whether anything was."""
        due_s = max(0.0, self.runtime.wake_at() - monotonic())
        ready = self.poller.poll(min(wait_s, due_s) * 1000)
        for descriptor, _ in ready:
            if self.wait is not None and descriptor == self.wait.descriptor:
                self._step()
            else:
                socket, handler = self.handlers[descriptor]
                handler(socket.drain(), monotonic())
        now = monotonic()
        if self.runtime.wake_at() <= now:
            self.runtime.tick(now)
            self.runtime.sink.flush()
        return bool(ready)

    # Reading the store

    def _step(self) -> None:
        """Go on with the reading until it waits for its socket."""
        self._forget_wait()
        try:
            self.wait = self.reading.send(None)
        except StopIteration as end:
            self._end_reading(end.value)
        except StoreError as error:
            self._end_reading(error)
        else:
            self.poller.register(self.wait.descriptor, self.wait.events)

    def _forget_wait(self) -> None:
        if self.wait is not None:
            self.poller.unregister(self.wait.descriptor)
            self.wait = None

    def _end_reading(self, result: Listing | StoreError) -> None:
        self._forget_wait()
        self.reading.close()
        self.client.close()
        if isinstance(result, StoreError):
            self.runtime.store_lost_at = monotonic()
            self.runtime.sink.event(STORE_LOST, reason=str(result))
            return
        sharing = self.runtime.sharing
        now = monotonic()
        before = sharing.view
        view = with_listing(before, result, grace_until=-inf, now=now)
        self.runtime.act(sharing.take_reading(view, now))
        self.runtime.note_view(before, "store")
