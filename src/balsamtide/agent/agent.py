"""The role agent: flows, requests and hand-off beside one target."""

from random import Random

from trio import (
    TASK_STATUS_IGNORED,
    Nursery,
    TaskStatus,
    current_time,
    move_on_after,
    open_nursery,
    sleep,
)

from balsamtide.admission.deadline_admission import (
    AdmissionIdentity,
    DeadlineAdmission,
)
from balsamtide.agent.dispatcher import Dispatcher
from balsamtide.agent.events import AGENT_STARTED, AGENT_STOPPED, DRAIN_STARTED
from balsamtide.agent.flow_engine import (
    FlowEngine,
    FlowLimits,
    make_quic_configuration,
)
from balsamtide.agent.flow_task import FlowTask
from balsamtide.agent.keyed_requests import KeyedRequests
from balsamtide.agent.metrics import FLOWS_OPEN, HANDSHAKES_OPEN
from balsamtide.agent.request_handler import AgentIdentity, RequestHandler
from balsamtide.agent.request_stream import RequestStream
from balsamtide.agent.return_path import BalancerLeases
from balsamtide.agent.steering import NoSteering
from balsamtide.agent.target_client import TargetRunner
from balsamtide.config.holder import Held
from balsamtide.config.model import Service, Target
from balsamtide.config.port import PlatformPort
from balsamtide.node.node import Node
from balsamtide.protocol.connection_id import Destination
from balsamtide.protocol.messages import (
    Endpoint,
    Forward,
    Heartbeat,
    LoadReport,
    Message,
    TenureClosed,
)
from balsamtide.requests.home import Home
from balsamtide.requests.ledger import Ledger
from balsamtide.requests.stamp import StampCodec, StampIssuer
from balsamtide.settings.model import Settings
from balsamtide.telemetry.sink import AuditRecord, Sink

__all__ = ["Agent", "ConfigurationMissingError"]

TENURE_BITS = 63
RESET_KEY_BYTES = 32
HOUSEKEEPING_PERIOD_S = 0.25
DRAIN_IDLE_S = 1.0
CLOSE_S = 0.5


class ConfigurationMissingError(Exception):
    """The configuration names no such service or target."""


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
    """

    def __init__(
        self,
        settings: Settings,
        *,
        sink: Sink,
        platform: PlatformPort,
        random: Random,
    ) -> None:
        assert settings.agent is not None
        self.settings = settings
        self.own_settings = settings.agent
        self.sink = sink
        self.random = random
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
        self.service: Service | None = None
        self.target: Target | None = None
        self.work: AgentWork | None = None
        self.nursery: Nursery | None = None
        self.is_draining = False

    async def run(self, *, task_status: TaskStatus[None] = TASK_STATUS_IGNORED) -> None:
        """Run until a planned stop has ended."""
        try:
            async with open_nursery() as nursery:
                self.nursery = nursery
                self.node.start(nursery)
                self.node.control.check(current_time())
                task_status.started()
                await self.node.stopping.wait()
                await self._drain()
                nursery.cancel_scope.cancel()
        finally:
            self.node.close()

    # Configuration

    def _use_configuration(self, held: Held, now: float) -> None:
        service = held.configuration.services.get(self.own_settings.service)
        target = service.targets.get(self.own_settings.target) if service else None
        if service is None or target is None:
            return
        is_new = service is not self.service
        self.service = service
        self.target = target
        if self.work is None:
            self._start_work(service, target, now)
        elif is_new:
            self.work.policy.configure(service, now)

    def _start_work(self, service: Service, target: Target, now: float) -> None:
        assert self.nursery is not None
        self.work = AgentWork(self, service, target, now)
        self.work.start(self.nursery)
        self.sink.event(
            AGENT_STARTED,
            service=self.own_settings.service,
            target=self.own_settings.target,
        )

    # Messages

    def _take_datagram(self, message: Message, source: Endpoint, now: float) -> None:
        if isinstance(message, Forward) and self.work is not None:
            self.work.flows.deliver(message)

    def _take_control(self, message: Message, source: Endpoint, now: float) -> None:
        if self.work is None:
            return
        if isinstance(message, LoadReport):
            self.work.dispatcher.receive_load(message, now)
        elif isinstance(message, TenureClosed):
            self.work.home.closed(message)
        elif isinstance(message, Heartbeat) and message.sender in self.balancer_names:
            self.leases.heard(source, now)

    @property
    def balancer_names(self) -> frozenset[str]:
        """Names of the balancers that the platform lists."""
        peers = self.node.membership.peers()
        return frozenset(p.name for p in peers if p.role == "balancer")

    # Planned stop

    async def _drain(self) -> None:
        self.is_draining = True
        self.node.announce_leaving()
        if self.work is not None:
            await self.work.drain(self.settings.drain_timeout_s)


class AgentWork:
    """What an agent runs once it knows its target.

    Parameters
    ----------
    agent : Agent
        The agent.
    service : Service
        The service in force.
    target : Target
        Its own target.
    now : float
        Current time, seconds.
    """

    def __init__(
        self, agent: Agent, service: Service, target: Target, now: float
    ) -> None:
        settings = agent.settings
        own = agent.own_settings
        self.agent = agent
        self.sink = agent.sink
        node = agent.node
        tenure = agent.random.getrandbits(TENURE_BITS)
        self.policy = DeadlineAdmission(
            AdmissionIdentity(
                instance=settings.instance,
                incarnation=node.incarnation,
                target=target.number,
                tenure=tenure,
            ),
            service,
            now=now,
            random=agent.random,
            sink=agent.sink,
        )
        self.dispatcher = Dispatcher(self.policy, on_change=self._send_reports)
        self.ledger = Ledger(target=target.number, tenure=tenure)
        self.home = Home(service.number, self.ledger)
        stamps = StampCodec(settings.mac_keys)
        self.runner = TargetRunner(Endpoint(target.host, target.port))
        configuration = make_quic_configuration()
        configuration.load_cert_chain(own.tls.certificate, own.tls.private_key)
        self.engine = FlowEngine(
            own=Destination(service.number, target.number),
            configuration=configuration,
            ids=node.ids,
            reset_key=agent.random.randbytes(RESET_KEY_BYTES),
            limits=FlowLimits(flows=service.rules.limits.flows),
            steering=NoSteering(),
            leases=agent.leases,
            sink=agent.sink,
        )
        self.flows = FlowTask(
            engine=self.engine,
            send=node.send,
            on_request=self._start_request,
            sink=agent.sink,
        )
        self.handler = RequestHandler(
            identity=AgentIdentity(
                service=own.service, target=own.target, zone=settings.zone
            ),
            service=self._service,
            version=lambda: node.holder.held.in_force,
            new_request_id=self._new_request_id,
            flows=self.flows,
            dispatcher=self.dispatcher,
            keyed=KeyedRequests(
                home=self.home,
                stamps=stamps,
                issuer=StampIssuer(
                    stamps,
                    service=service.number,
                    target=target.number,
                    tenure=tenure,
                ),
                runner_at_home=lambda decision: self.runner,
            ),
            runner=self.runner,
            hand_off=lambda targets: self.runner,
            sink=agent.sink,
        )
        self.nursery: Nursery | None = None

    def _service(self) -> Service:
        assert self.agent.service is not None
        return self.agent.service

    def _new_request_id(self) -> str:
        number = self.agent.random.getrandbits(64)
        return f"{self.agent.own_settings.target}-{number:016x}"

    def start(self, nursery: Nursery) -> None:
        """Start the tasks."""
        self.nursery = nursery
        nursery.start_soon(self.flows.run)
        nursery.start_soon(self.dispatcher.run)
        nursery.start_soon(self._keep_house)

    def _start_request(self, stream: RequestStream) -> None:
        assert self.nursery is not None
        self.nursery.start_soon(self.handler.handle, stream)

    def _send_reports(self, now: float) -> None:
        self.agent.node.send(self.policy.reports(now))

    async def _keep_house(self) -> None:
        while True:
            await sleep(HOUSEKEEPING_PERIOD_S)
            now = current_time()
            self.home.expire(now)
            self.sink.gauge(FLOWS_OPEN, len(self.engine.flows))
            self.sink.gauge(HANDSHAKES_OPEN, self.engine.handshakes)
            self._send_reports(now)

    # Planned stop

    async def drain(self, timeout_s: float) -> None:
        """Take no new flows, finish the open requests, then close the flows."""
        self.sink.event(
            DRAIN_STARTED, flows=len(self.engine.flows), cause="planned stop"
        )
        self._audit("started")
        self.policy.drain()
        await self.flows.drain()
        with move_on_after(timeout_s):
            while self.engine.flows:
                await sleep(HOUSEKEEPING_PERIOD_S)
                await self.flows.close_idle(idle_s=DRAIN_IDLE_S)
        self.home.close()
        cut = len(self.engine.flows)
        await self.flows.close_all()
        await sleep(CLOSE_S if cut else 0)
        await self.runner.aclose()
        self._audit("ended")
        self.sink.event(AGENT_STOPPED, flows_cut=cut)

    def _audit(self, change: str) -> None:
        self.sink.audit(
            AuditRecord(
                kind="drain",
                subject=self.agent.settings.instance,
                change=change,
                version=self.agent.node.holder.held.in_force,
                cause="planned stop",
            )
        )
