"""Daemon role ``agent``: waits until its target is configured, then serves it."""

from collections.abc import Sequence
from random import Random

from trio import (
    TASK_STATUS_IGNORED,
    Event,
    Nursery,
    TaskStatus,
    current_time,
    open_nursery,
)
from trio_asyncio import open_loop

from balsamtide.agent.configured_agent import ConfiguredAgent
from balsamtide.agent.events import AGENT_STARTED
from balsamtide.agent.return_path import BalancerLeases
from balsamtide.agent.service_view import ServiceView
from balsamtide.config.port import PlatformPort
from balsamtide.config.replica import ReplicaState
from balsamtide.node.node import Node
from balsamtide.protocol.messages import (
    Endpoint,
    Forward,
    LoadReport,
    Message,
    TenureClosed,
)
from balsamtide.settings.model import Settings
from balsamtide.telemetry.sink import Sink

__all__ = ["Agent"]


class Agent:
    """Terminates the flows of one target and runs their requests.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon, whose role must be agent.
    sink : Sink
        Receives events, metrics and audit records.
    platform : PlatformPort
        Read access to the platform.
    random : Random
        Random number generator.
    extra_services : sequence of object
        Additional RPC services to serve.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        sink: Sink,
        platform: PlatformPort,
        random: Random,
        extra_services: Sequence[object] = (),
    ) -> None:
        assert settings.agent is not None
        self.settings = settings
        self.agent_settings = settings.agent
        self.sink = sink
        self.random = random
        self.extra_services = extra_services
        self.leases = BalancerLeases()
        self.node = Node(
            settings,
            sink=sink,
            platform=platform,
            random=random,
            on_data=self._on_datagram,
            # Every other inner message, that is, all but forwarded caller datagrams.
            on_control=self._on_control_message,
            on_change=self._on_configuration,
        )
        self.configured: ConfiguredAgent | None = None
        self.nursery: Nursery | None = None
        self.stopped = Event()

    async def run(self, *, task_status: TaskStatus[None] = TASK_STATUS_IGNORED) -> None:
        """Run until a planned stop has completed."""
        try:
            async with open_loop(), open_nursery() as nursery:
                self.nursery = nursery
                self.node.start(nursery)
                # Applies a configuration that the node already holds, so that the
                # agent may be configured before its start is reported.
                self.node.control.notify_if_due(current_time())
                task_status.started()
                await self.node.stopping.wait()
                self.node.announce_leaving()
                if self.configured is not None:
                    await self.configured.drain(self.settings.drain_timeout_s)
                nursery.cancel_scope.cancel()
        finally:
            self.node.close()
            self.stopped.set()

    @property
    def state(self) -> str:
        """State of the agent as in its load reports, ``starting`` until configured."""
        if self.configured is None:
            return "starting"
        return self.configured.policy.load_report(current_time()).state

    def _on_configuration(self, held: ReplicaState, now: float) -> None:
        self._update_balancers()
        if self.configured is None:
            self._start_configured(held)
            return
        service = held.configuration.services.get(self.agent_settings.service)
        if service is not None and service is not self.configured.view.service:
            self.configured.view.update(service)
            self.configured.configure(now)

    def _update_balancers(self) -> None:
        peers = self.node.membership.peers()
        self.leases.set_fallback(tuple(p.inner for p in peers if p.role == "balancer"))

    def _start_configured(self, held: ReplicaState) -> None:
        view = ServiceView.find(
            held.configuration, self.agent_settings.service, self.agent_settings.target
        )
        if view is None or self.nursery is None:
            return
        self.configured = ConfiguredAgent(
            self.settings,
            node=self.node,
            view=view,
            leases=self.leases,
            random=self.random,
            sink=self.sink,
            extra_services=self.extra_services,
        )
        self.nursery.start_soon(self.configured.run)
        self.sink.event(
            AGENT_STARTED,
            service=self.agent_settings.service,
            target=self.agent_settings.target,
        )

    def _on_datagram(self, message: Message, source: Endpoint, now: float) -> None:
        if isinstance(message, Forward) and self.configured is not None:
            self.configured.deliver(message)

    def _on_control_message(
        self, message: Message, source: Endpoint, now: float
    ) -> None:
        if self.configured is None:
            return
        if isinstance(message, LoadReport):
            self.configured.dispatcher.receive_load(message, now)
        elif isinstance(message, TenureClosed):
            self.configured.home.record_closure(message)
