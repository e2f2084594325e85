"""Balancer role: sockets for callers, connected to agents by the inner link."""

from dataclasses import dataclass
from random import Random

from trio import (
    TASK_STATUS_IGNORED,
    CancelScope,
    Nursery,
    TaskStatus,
    current_time,
    open_nursery,
    sleep,
)
from trio_asyncio import open_loop

from balsamtide.balancer.events import (
    BALANCER_STARTED,
    BALANCER_STOPPED,
    DATAGRAM_REFUSED,
    LISTEN_FAILED,
)
from balsamtide.balancer.forwarder import Dropped, Forwarder
from balsamtide.balancer.metrics import DATAGRAMS_DROPPED, DATAGRAMS_FORWARDED
from balsamtide.config.model import Configuration, Service, Target
from balsamtide.config.port import PlatformPort
from balsamtide.config.replica import ReplicaState
from balsamtide.membership.marks import ZONE_PREFIX
from balsamtide.node.node import Node
from balsamtide.node.rpc import serve_rpc, server_context
from balsamtide.protocol.messages import Endpoint, Message, Reply
from balsamtide.routing.table import RoutingTable, build_table
from balsamtide.settings.model import Settings
from balsamtide.telemetry.records import AuditRecord
from balsamtide.telemetry.sink import Sink
from balsamtide.transport.datagram_socket import DatagramSocket

__all__ = ["Balancer"]

# Time from the announcement of a planned stop to the exit: the routers in front of the
# balancers and the agents need it to switch to other balancers.
DRAIN_S = 3.0
# Interval at which the eligibility of the targets of all services is checked again, not
# only of those with changed marks.
FULL_RECHECK_PERIOD_S = 30.0

AddressKey = tuple[str, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class Binding:
    """Service address and the local endpoint that a balancer binds for it.

    Parameters
    ----------
    service : int
        Number of the service.
    address : str
        Name of the address within the service.
    local : Endpoint
        Local endpoint that callers' datagrams arrive on.
    """

    service: int
    address: str
    local: Endpoint


class Listener:
    """Socket of one binding.

    Parameters
    ----------
    binding : Binding
        Service address that the socket serves.
    socket : DatagramSocket
        Bound socket, owned by this listener.
    """

    def __init__(self, binding: Binding, socket: DatagramSocket) -> None:
        self.binding = binding
        self.socket = socket
        self.scope = CancelScope()


class Balancer:
    """Forwards datagrams in both directions without per-flow state.

    Parameters
    ----------
    settings : Settings
        Settings of a daemon with the role balancer.
    sink : Sink
        Events, metrics and audit trail.
    platform : PlatformPort
        Read access to the platform.
    random : Random
        Source of randomness.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        sink: Sink,
        platform: PlatformPort,
        random: Random,
    ) -> None:
        assert settings.balancer is not None
        self.settings = settings
        self.local_endpoints = settings.balancer.listen
        self.sink = sink
        self.node = Node(
            settings,
            sink=sink,
            platform=platform,
            random=random,
            on_data=self._on_datagram,
            on_control=self._on_control_message,
            on_change=self._on_configuration,
        )
        # Instances and zones with a believed mark, such as "leaving", or "suspect" if
        # enough observers claim it; see `balsamtide.membership.marks`.
        self.believed_subjects: frozenset[str] = frozenset()
        self.full_recheck_at = 0.0
        self.is_listener_missing = False
        self.forwarder = Forwarder(
            codec=self.node.link.codec,
            ids=self.node.ids,
            table=build_table(Configuration(), version=0, is_eligible=_never_eligible),
            version=0,
            reply_to=self.node.link.endpoint,
        )
        self.listeners: dict[AddressKey, Listener] = {}
        self.listeners_by_number: dict[tuple[int, str], Listener] = {}
        self.nursery: Nursery | None = None

    async def run(self, *, task_status: TaskStatus[None] = TASK_STATUS_IGNORED) -> None:
        """Run until a planned stop has completed."""
        try:
            async with (
                open_loop(),
                serve_rpc(
                    [self.node.state_service],
                    self.settings.rpc,
                    ssl=server_context(self.settings.rpc_tls),
                ),
                open_nursery() as nursery,
            ):
                self.nursery = nursery
                self.node.start(nursery)
                self.node.control.notify_if_due(current_time())
                self.sink.event(
                    BALANCER_STARTED,
                    addresses=len(self.listeners),
                    inner=f"{self.node.link.endpoint.host}"
                    f":{self.node.link.endpoint.port}",
                )
                task_status.started()
                await self.node.stopping.wait()
                await self._drain()
                nursery.cancel_scope.cancel()
        finally:
            self._close()
        self.sink.event(BALANCER_STOPPED)

    async def _drain(self) -> None:
        self.sink.audit(
            AuditRecord(
                kind="drain",
                subject=self.settings.instance,
                change="started",
                version=self.node.holder.held.in_force,
                cause="planned stop",
            )
        )
        self.node.announce_leaving()
        # Datagrams that arrive until the exit are still forwarded.
        await sleep(DRAIN_S)

    def _close(self) -> None:
        for listener in self.listeners.values():
            listener.socket.close()
        self.node.close()

    # Configuration

    def _on_configuration(self, held: ReplicaState, now: float) -> None:
        table = self._build_table(held, self.forwarder.table, now)
        is_changed = table is not self.forwarder.table
        if is_changed:
            self.forwarder.use_table(table, held.in_force)
        if is_changed or self.is_listener_missing:
            self._sync_listeners(held)

    def _build_table(
        self, held: ReplicaState, previous: RoutingTable | None, now: float
    ) -> RoutingTable:
        membership = self.node.membership
        return build_table(
            held.configuration,
            version=held.in_force,
            is_eligible=lambda name, target: membership.is_target_eligible(
                name, target, now
            ),
            previous=previous,
            recheck=self._take_changed_services(now),
        )

    def _take_changed_services(self, now: float) -> set[str] | None:
        """Return the services with targets whose marks changed since the last call.

        None means all services.  The call records the current marks.
        """
        membership = self.node.membership
        believed_subjects = membership.believed_subjects(now)
        changed = believed_subjects ^ self.believed_subjects
        self.believed_subjects = believed_subjects
        is_full = now >= self.full_recheck_at
        if is_full or any(s.startswith(ZONE_PREFIX) for s in changed):
            self.full_recheck_at = now + FULL_RECHECK_PERIOD_S
            return None
        services = {membership.directory.service_of(name) for name in changed}
        return {name for name in services if name is not None}

    def _sync_listeners(self, held: ReplicaState) -> None:
        wanted = {
            (service_name, name): self._make_binding(service_name, service, name)
            for service_name, service in held.configuration.services.items()
            for name in service.addresses
        }
        for key, listener in list(self.listeners.items()):
            if wanted.get(key) != listener.binding:
                self._close_listener(key)
        for key, binding in wanted.items():
            if key not in self.listeners:
                self._open_listener(key, binding)
        self.is_listener_missing = len(self.listeners) < len(wanted)

    def _make_binding(self, service_name: str, service: Service, name: str) -> Binding:
        address = service.addresses[name]
        published = Endpoint(address.host, address.port)
        local = self.local_endpoints.get((service_name, name), published)
        return Binding(service=service.number, address=name, local=local)

    def _open_listener(self, key: AddressKey, binding: Binding) -> None:
        local = binding.local
        try:
            socket = DatagramSocket(local)
        except OSError as error:
            self.sink.event(
                LISTEN_FAILED,
                reason=str(error.strerror),
                address=f"{local.host}:{local.port}",
            )
            return
        listener = Listener(binding, socket)
        self.listeners[key] = listener
        self.listeners_by_number[binding.service, binding.address] = listener
        if self.nursery is not None:
            self.nursery.start_soon(self._listen, listener)

    def _close_listener(self, key: AddressKey) -> None:
        listener = self.listeners.pop(key)
        binding = listener.binding
        self.listeners_by_number.pop((binding.service, binding.address), None)
        listener.scope.cancel()
        listener.socket.close()

    # Datagrams

    async def _listen(self, listener: Listener) -> None:
        with listener.scope:
            while True:
                batch = await listener.socket.receive()
                received_at = current_time()
                for datagram, source in batch:
                    self._forward(datagram, source, listener, received_at)

    def _forward(
        self,
        datagram: bytes,
        source: tuple[str, int],
        listener: Listener,
        received_at: float,
    ) -> None:
        result = self.forwarder.forward(
            datagram,
            Endpoint(*source),
            listener.binding.service,
            listener.binding.address,
            elapsed_us=int((current_time() - received_at) * 1e6),
        )
        if isinstance(result, Dropped):
            reason = result.reason.value
            self.sink.count(DATAGRAMS_DROPPED, reason=reason)
            self.sink.event(
                DATAGRAM_REFUSED, reason=reason, source=f"{source[0]}:{source[1]}"
            )
            return
        self.node.link.socket.send(result.datagram, result.destination)
        self.sink.count(DATAGRAMS_FORWARDED, direction="to-agent")

    def _on_datagram(self, message: Message, source: Endpoint, now: float) -> None:
        if not isinstance(message, Reply):
            self.sink.count(DATAGRAMS_DROPPED, reason="unexpected")
            return
        listener = self.listeners_by_number.get((message.service, message.address))
        if listener is None:
            self.sink.count(DATAGRAMS_DROPPED, reason="no-address")
            return
        caller = message.caller
        listener.socket.send(message.payload, (caller.host, caller.port))
        self.sink.count(DATAGRAMS_FORWARDED, direction="to-caller")

    def _on_control_message(
        self, message: Message, source: Endpoint, now: float
    ) -> None:
        """Ignore a message that only agents handle."""


def _never_eligible(name: str, target: Target) -> bool:
    return False
