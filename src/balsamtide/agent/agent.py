"""The role agent: it waits for its target's configuration, then works for it."""

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

from balsamtide.agent.events import AGENT_STARTED
from balsamtide.agent.return_path import BalancerLeases
from balsamtide.agent.service_view import ServiceView
from balsamtide.agent.work import AgentWork
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
    """Ends flows beside one target and runs their requests.

    Parameters
    ----------
    settings : Settings
        Of the daemon; the role is agent.
    sink : Sink
        Events, counts and audit trail.
    platform : PlatformPort
        Read access to the platform.
    random : Random
        Source of every random choice.
    extra_services : sequence of object
        Further RPC services that the agent serves.
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
        self.own_settings = settings.agent
        self.sink = sink
        self.random = random
        self.extra_services = extra_services
        self.leases = BalancerLeases()
        self.node = Node(
            settings,
            sink=sink,
            platform=platform,
            random=random,
            on_data=self._take_datagram,
            on_other=self._take_control,
            on_change=self._use_configuration,
        )
        self.work: AgentWork | None = None
        self.nursery: Nursery | None = None
        self.stopped = Event()

    async def run(self, *, task_status: TaskStatus[None] = TASK_STATUS_IGNORED) -> None:
        """Run until a planned stop has ended."""
        try:
            async with open_loop(), open_nursery() as nursery:
                self.nursery = nursery
                self.node.start(nursery)
                self.node.control.check(current_time())
                task_status.started()
                await self.node.stopping.wait()
                self.node.announce_leaving()
                if self.work is not None:
                    await self.work.drain(self.settings.drain_timeout_s)
                nursery.cancel_scope.cancel()
        finally:
            self.node.close()
            self.stopped.set()

    @property
    def state(self) -> str:
        """What the agent is ready for, as in load reports."""
        if self.work is None:
            return "starting"
        return self.work.policy.report(current_time()).state

    def _use_configuration(self, held: ReplicaState, now: float) -> None:
        self._use_balancers()
        if self.work is None:
            self._start_work(held)
            return
        service = held.configuration.services.get(self.own_settings.service)
        if service is not None and service is not self.work.view.service:
            self.work.view.use(service)
            self.work.configure(now)

    def _use_balancers(self) -> None:
        peers = self.node.membership.peers()
        self.leases.use_list(tuple(p.inner for p in peers if p.role == "balancer"))

    def _start_work(self, held: ReplicaState) -> None:
        view = ServiceView.find(
            held.configuration, self.own_settings.service, self.own_settings.target
        )
        if view is None or self.nursery is None:
            return
        self.work = AgentWork(
            self.settings,
            node=self.node,
            view=view,
            leases=self.leases,
            random=self.random,
            sink=self.sink,
            extra_services=self.extra_services,
        )
        self.nursery.start_soon(self.work.run)
        self.sink.event(
            AGENT_STARTED,
            service=self.own_settings.service,
            target=self.own_settings.target,
        )

    def _take_datagram(self, message: Message, source: Endpoint, now: float) -> None:
        if isinstance(message, Forward) and self.work is not None:
            self.work.deliver(message)

    def _take_control(self, message: Message, source: Endpoint, now: float) -> None:
        if self.work is None:
            return
        if isinstance(message, LoadReport):
            self.work.dispatcher.receive_load(message, now)
        elif isinstance(message, TenureClosed):
            self.work.home.record_closure(message)
