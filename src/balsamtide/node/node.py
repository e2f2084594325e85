"""Parts that all roles start: inner link, configuration and membership."""

from collections.abc import Callable, Sequence
from random import Random

from trio import Event, Nursery, current_time, move_on_after, sleep

from balsamtide.config.port import Instance, PlatformPort
from balsamtide.config.replica import ConfigurationReplica, ReplicaState
from balsamtide.membership.bulk_fetcher import BulkFetcher, make_fetch
from balsamtide.membership.membership import Membership
from balsamtide.membership.platform_reader import read_platform
from balsamtide.membership.state_rpc import StateService
from balsamtide.node.control_loop import ControlLoop
from balsamtide.node.inner_link import InnerLink, MessageHandler
from balsamtide.node.rpc import client_context
from balsamtide.protocol.actions import Send
from balsamtide.protocol.connection_id import ConnectionIdCodec
from balsamtide.protocol.datagram import DatagramCodec
from balsamtide.protocol.messages import Endpoint, Message
from balsamtide.settings.model import Settings
from balsamtide.telemetry.sink import Sink
from balsamtide.transport.datagram_socket import DatagramSocket

__all__ = ["Node"]

INCARNATION_BITS = 32
PEER_LIST_TIMEOUT_S = 2.0
PEER_LIST_CHECK_PERIOD_S = 0.05


class Node:
    """Role-independent part of a process.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    sink : Sink
        Events, metrics and audit trail.
    platform : PlatformPort
        Read access to the platform.
    random : Random
        Source of randomness.
    on_data, on_control : callable
        Handlers of forwarded datagrams, and of control messages after membership has
        handled them.
    on_change : callable
        Called as `ControlLoop` describes.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        sink: Sink,
        platform: PlatformPort,
        random: Random,
        on_data: MessageHandler,
        on_control: MessageHandler,
        on_change: Callable[[ReplicaState, float], None],
    ) -> None:
        self.settings = settings
        self.sink = sink
        self.platform = platform
        self.random = random
        self.on_control = on_control
        self.incarnation = random.getrandbits(INCARNATION_BITS)
        self.ids = ConnectionIdCodec(settings.id_keys)
        self.link = InnerLink(
            socket=DatagramSocket(settings.inner),
            codec=DatagramCodec(settings.mac_keys),
            sink=sink,
            on_data=on_data,
            on_control=self._receive_control,
        )
        self.holder = ConfigurationReplica(sink=sink)
        self.membership = Membership(
            self._own_instance(),
            incarnation=self.incarnation,
            log=self.holder,  # Entries of the configuration, shared with peers.
            sink=sink,
            random=random,
            now=current_time(),
        )
        self.control = ControlLoop(
            holder=self.holder,
            membership=self.membership,
            send=self.send,
            on_change=on_change,
        )
        self.stopping = Event()

    def _own_instance(self) -> Instance:
        settings = self.settings
        return Instance(
            name=settings.instance,
            role=settings.role.value,
            region=settings.region,
            zone=settings.zone,
            inner=self.link.endpoint,
            rpc=settings.rpc,
        )

    def send(self, sends: Sequence[Send]) -> None:
        """Send inner messages."""
        self.link.send(sends)

    def _receive_control(self, message: Message, source: Endpoint, now: float) -> None:
        self.control.receive(message, source, now)
        self.on_control(message, source, now)

    @property
    def state_service(self) -> StateService:
        """RPC service from which starting processes fetch configuration and marks."""
        return StateService(
            self.holder, marks=lambda: self.membership.marks(current_time())
        )

    def start(self, nursery: Nursery) -> None:
        """Start the tasks that all roles share, inside a trio-asyncio loop."""
        nursery.start_soon(self.link.run)
        nursery.start_soon(self.control.run)
        nursery.start_soon(self._read_platform)
        nursery.start_soon(self._fetch_state)

    async def _read_platform(self) -> None:
        await read_platform(
            self.membership,
            log=self.holder,
            platform=self.platform,
            deliver=self._send_and_notify,
            random=self.random,
        )

    async def _fetch_state(self) -> None:
        fetcher = BulkFetcher(
            self.membership,
            log=self.holder,
            fetch=make_fetch(client_context(self.settings.rpc_tls)),
            deliver=self._send_and_notify,
            random=self.random,
        )
        with move_on_after(PEER_LIST_TIMEOUT_S):
            while not self.membership.peers():
                await sleep(PEER_LIST_CHECK_PERIOD_S)
        # Fetch the initial state from one peer, then any state that is missing later.
        await fetcher.join()
        await fetcher.run()

    def _send_and_notify(self, sends: Sequence[Send]) -> None:
        self.send(sends)
        self.control.notify_if_due(current_time())

    def stop(self) -> None:
        """Request a planned stop."""
        self.stopping.set()

    def announce_leaving(self) -> None:
        """Announce to the peers that this process accepts no new work."""
        self.send(self.membership.announce_leaving(current_time()))

    def close(self) -> None:
        """Close the inner socket."""
        self.link.socket.close()
