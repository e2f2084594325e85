"""Poll loop that forwards packets while the process still imports its libraries.

A killed process causes an outage until it forwards packets again, and importing trio
takes longer than the rest of the startup.  Packets are therefore handled before trio is
imported: by a plain poll loop until the store was read, then by an import hook that
reads the sockets before each module is imported.
"""

from collections.abc import Callable, Coroutine
from math import inf
from select import POLLIN, poll
from sys import meta_path
from typing import Any

from balsamtide.clock import boot_time
from balsamtide.fleet.merge import with_listing
from balsamtide.fleet.store import FleetStore, Listing, StoreError
from balsamtide.flow_node.events import NODE_LOADED, STORE_LOST
from balsamtide.flow_node.runtime import FlowRuntime
from balsamtide.flow_node.startup_client import SocketWait, StartupClient

__all__ = ["StartupLoop"]

# Longest poll while the store is read.
MAX_POLL_S = 0.05
# Longest time spent on packets before each import; limited because readiness and
# updates from the store wait for the imports.
MAX_IMPORT_DELAY_S = 0.02


class PacketServingFinder:
    """Meta path finder that serves the sockets before each import.

    It does not derive from `importlib.abc.MetaPathFinder`, whose module imports a dozen
    others.
    """

    def __init__(self, serve: Callable[[], None]) -> None:
        self.serve = serve

    def find_spec(self, *_: Any) -> None:
        """Serve the sockets and leave the import to the other finders."""
        self.serve()


class StartupLoop:
    """Serves a runtime's sockets until the libraries are imported.

    Parameters
    ----------
    runtime : FlowRuntime
        Sockets and packet handling of the role.
    client : StartupClient
        Connection to the store; closed after the read.
    store : FleetStore
        Store that reads through ``client``.
    timeout_s : float
        Longest time without progress of the read, seconds.
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
        self.read_coroutine: Coroutine[Any, None, Listing] = store.read_all()
        self.timeout_s = timeout_s
        self.read_deadline = boot_time() + timeout_s
        self.is_read_over = False
        # What the suspended read waits for, None while it does not run.
        self.read_wait: SocketWait | None = None
        self.poller = poll()
        self.handlers = {}
        for socket, handler in runtime.socket_handlers():
            descriptor = socket.socket.fileno()
            self.handlers[descriptor] = socket, handler
            self.poller.register(descriptor, POLLIN)

    def run(self, import_libraries: Callable[[], None]) -> None:
        """Get a view, then import libraries; forward packets meanwhile.

        The view comes from a peer or from the store, whichever is faster.  Nothing can
        be forwarded without it, so the imports wait.
        """
        while not self._is_wait_over():
            self._poll(MAX_POLL_S)
        self._import_while_serving(import_libraries)
        self._end_read()
        self.runtime.sink.event(NODE_LOADED)

    def _is_wait_over(self) -> bool:
        """Start the read when it is due; return whether the wait for a view is over."""
        now = boot_time()
        if self.read_wait is not None:
            if now > self.read_deadline:
                host, port = self.client.address
                self._finish_read(StoreError(f"{host}:{port}: no response in time"))
        elif not self.is_read_over and self.runtime.gossip.should_read(now):
            self._resume_read()
        # The store has nothing before the first configuration.
        return self.runtime.has_view or self.is_read_over

    def _import_while_serving(self, import_libraries: Callable[[], None]) -> None:
        finder = PacketServingFinder(self._serve_sockets)
        meta_path.insert(0, finder)
        try:
            import_libraries()
        finally:
            meta_path.remove(finder)

    def _serve_sockets(self) -> None:
        until = boot_time() + MAX_IMPORT_DELAY_S
        while self._poll(0.0) and boot_time() < until:
            pass

    def _poll(self, wait_s: float) -> bool:
        """Handle readable sockets and expired timers; return if a socket was ready."""
        due_s = max(0.0, self.runtime.next_deadline() - boot_time())
        ready = self.poller.poll(min(wait_s, due_s) * 1000)
        for descriptor, _ in ready:
            if self.read_wait is not None and descriptor == self.read_wait.descriptor:
                self._resume_read()
            else:
                socket, handler = self.handlers[descriptor]
                handler(socket.receive_queued(), boot_time())
        now = boot_time()
        if self.runtime.next_deadline() <= now:
            self.runtime.tick(now)
            self.runtime.sink.flush()
        return bool(ready)

    # Store read

    def _resume_read(self) -> None:
        """Resume the read until it waits for its socket again."""
        self._clear_read_wait()
        self.read_deadline = boot_time() + self.timeout_s
        try:
            self.read_wait = self.read_coroutine.send(None)
        except StopIteration as end:
            self._finish_read(end.value)
        except StoreError as error:
            self._finish_read(error)
        else:
            self.poller.register(self.read_wait.descriptor, self.read_wait.events)

    def _clear_read_wait(self) -> None:
        if self.read_wait is not None:
            self.poller.unregister(self.read_wait.descriptor)
            self.read_wait = None

    def _end_read(self) -> None:
        self._clear_read_wait()
        self.is_read_over = True
        self.read_coroutine.close()
        self.client.close()

    def _finish_read(self, result: Listing | StoreError) -> None:
        self._end_read()
        if isinstance(result, StoreError):
            self.runtime.outage_started_at = boot_time()
            self.runtime.sink.event(STORE_LOST, reason=str(result))
            return
        gossip = self.runtime.gossip
        now = boot_time()
        before = gossip.view
        view = with_listing(gossip.shared_view, result, grace_until=-inf, now=now)
        if view.era > result.era:
            # A peer has passed on a view that is newer than this read.
            return
        self.runtime.execute(gossip.apply_store_view(view, now))
        self.runtime.process_view_change(before, "store")
