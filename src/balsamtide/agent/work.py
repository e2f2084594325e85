"""What an agent runs once it knows its target."""

from collections.abc import Sequence
from random import Random

from trio import (
    Nursery,
    current_time,
    move_on_after,
    open_nursery,
    sleep,
    sleep_forever,
)

from balsamtide.admission.deadline_admission import (
    AdmissionIdentity,
    DeadlineAdmission,
)
from balsamtide.admission.pending_offers import PendingOffers
from balsamtide.agent.connection import ResetTokens
from balsamtide.agent.dispatcher import Dispatcher
from balsamtide.agent.events import AGENT_STOPPED, DRAIN_STARTED
from balsamtide.agent.execution import Executor
from balsamtide.agent.flow_engine import (
    FlowEngine,
    make_quic_configuration,
)
from balsamtide.agent.flow_task import FlowTask
from balsamtide.agent.keyed_requests import KeyedRequests
from balsamtide.agent.metrics import FLOWS_OPEN, HANDSHAKES_OPEN
from balsamtide.agent.new_flows import FlowLimits
from balsamtide.agent.peer_host import PeerHost
from balsamtide.agent.request_handler import RequestHandler
from balsamtide.agent.request_stream import RequestStream
from balsamtide.agent.return_path import BalancerLeases
from balsamtide.agent.service_view import ServiceView
from balsamtide.agent.slot_runner import SlotRunner
from balsamtide.agent.steering import PeerSteering
from balsamtide.agent.target_client import TargetRunner
from balsamtide.node.node import Node
from balsamtide.node.rpc import client_context, serve_rpc, server_context
from balsamtide.protocol.actions import Send
from balsamtide.protocol.connection_id import Destination
from balsamtide.protocol.messages import Endpoint, Forward
from balsamtide.requests.hand_off_client import HandOffClient
from balsamtide.requests.hand_off_server import HandOffService
from balsamtide.requests.hand_over import hand_over_ledgers
from balsamtide.requests.home import Home
from balsamtide.requests.ledger import Ledger
from balsamtide.requests.stamp import StampCodec, StampIssuer
from balsamtide.requests.succession import successors
from balsamtide.settings.model import Settings
from balsamtide.telemetry.records import AuditRecord
from balsamtide.telemetry.sink import Sink

__all__ = ["AgentWork"]

TENURE_BITS = 63
HOUSEKEEPING_PERIOD_S = 0.25
DRAIN_IDLE_S = 1.0
CLOSE_S = 0.5
# Above every share of slot time, so that any peer that takes work is a candidate.
ANY_BUSY_SHARE = 1.1


class AgentWork:
    """Flows, admission, hand-off and ledger of one agent.

    Parameters
    ----------
    settings : Settings
        Of the daemon.
    node : Node
        The control side.
    view : ServiceView
        The own service and target in the version in force.
    leases : BalancerLeases
        What the agent heard of balancers.
    random : Random
        Source of every random choice.
    sink : Sink
        Events, counts and audit trail.
    extra_services : sequence of object
        Further RPC services to serve.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        node: Node,
        view: ServiceView,
        leases: BalancerLeases,
        random: Random,
        sink: Sink,
        extra_services: Sequence[object] = (),
    ) -> None:
        assert settings.agent is not None
        self.settings = settings
        self.node = node
        self.view = view
        self.sink = sink
        self.random = random
        self.extra_services = extra_services
        self.tenure = random.getrandbits(TENURE_BITS)
        self.policy = self._make_policy()
        self.pending_offers = PendingOffers(self.policy)
        self.dispatcher = Dispatcher(self.policy, on_change=self._after_change)
        self.home = Home(
            view.service.number, Ledger(target=view.target.number, tenure=self.tenure)
        )
        self.home.configure(view.service)
        self.client = HandOffClient(
            view.rpc_endpoint,
            ssl=client_context(settings.rpc_tls),
            on_reply=self._record_reply,
        )
        self.target = TargetRunner(Endpoint(view.target.host, view.target.port))
        self.runner = SlotRunner(
            self.target, dispatcher=self.dispatcher, service=lambda: view.service
        )
        self.executor = Executor(
            dispatcher=self.dispatcher,
            runner=self.runner,
            hand_off=self.client,
            target_name=view.target_name,
        )
        self.host = PeerHost(
            dispatcher=self.dispatcher,
            pending_offers=self.pending_offers,
            runner=self.runner,
            executor=self.executor,
            home=self.home,
        )
        self.engine = self._make_engine(leases)
        self.flows = FlowTask(
            engine=self.engine,
            send=node.send,
            on_request=self._start_request,
            sink=sink,
        )
        self.handler = self._make_handler()
        self.nursery: Nursery | None = None
        self.is_leaving = False
        self._use_state()

    def _make_policy(self) -> DeadlineAdmission:
        identity = AdmissionIdentity(
            instance=self.settings.instance,
            incarnation=self.node.incarnation,
            target=self.view.target.number,
            tenure=self.tenure,
        )
        return DeadlineAdmission(
            identity,
            self.view.service,
            now=current_time(),
            random=self.random,
            sink=self.sink,
        )

    def _make_engine(self, leases: BalancerLeases) -> FlowEngine:
        assert self.settings.agent is not None
        tls = self.settings.agent.tls
        configuration = make_quic_configuration()
        configuration.load_cert_chain(tls.certificate, tls.private_key)
        service = self.view.service
        return FlowEngine(
            own=Destination(service.number, self.view.target.number),
            configuration=configuration,
            ids=self.node.ids,
            resets=ResetTokens(self.settings.id_keys),
            limits=FlowLimits(flows=service.rules.limits.flows),
            steering=PeerSteering(best_peer=self._best_peer, is_ready=self._is_ready),
            leases=leases,
            sink=self.sink,
        )

    def _make_handler(self) -> RequestHandler:
        assert self.settings.agent is not None
        own = self.settings.agent
        stamps = StampCodec(self.settings.mac_keys)
        issuer = StampIssuer(
            stamps,
            service=self.view.service.number,
            target=self.view.target.number,
            tenure=self.tenure,
        )
        return RequestHandler(
            service_name=own.service,
            service=lambda: self.view.service,
            version=lambda: self.node.holder.held.in_force,
            zone=self.view.zone,
            new_request_id=self._new_request_id,
            flows=self.flows,
            executor=self.executor,
            keyed=KeyedRequests(
                home=self.home, stamps=stamps, issuer=issuer, client=self.client
            ),
            sink=self.sink,
        )

    def _new_request_id(self) -> str:
        assert self.settings.agent is not None
        return f"{self.settings.agent.target}-{self.random.getrandbits(64):016x}"

    # Peers

    def _record_reply(self, target: int, is_granted: bool, seconds: float) -> None:
        self.policy.peers.record_reply(target, is_granted, seconds, current_time())

    def _best_peer(self, now: float) -> Endpoint | None:
        chosen = self.policy.peers.choose_less_busy(ANY_BUSY_SHARE, now)
        return self.view.agent_endpoint(chosen[0]) if chosen else None

    def _is_ready(self, now: float) -> bool:
        return not self.policy.is_draining and not self.policy.health.is_ejected

    def _after_change(self, now: float) -> None:
        self.pending_offers.wake()
        self._send_reports(now)

    def _send_reports(self, now: float) -> None:
        self.node.send(self.policy.due_reports(now))

    # Configuration

    def configure(self, now: float) -> None:
        """Take the service of a new configuration version."""
        self.home.configure(self.view.service)
        if self.view.is_listed:
            self.policy.configure(self.view.service, now)
        self._use_state()

    def _use_state(self) -> None:
        is_leaving = not self.view.is_active
        if is_leaving == self.is_leaving:
            return
        self.is_leaving = is_leaving
        self.policy.set_leaving(is_leaving=is_leaving)
        self.engine.is_draining = is_leaving
        self._audit("target leaving" if is_leaving else "target active", "patch")

    # Tasks

    async def run(self) -> None:
        """Run until cancelled, inside a trio-asyncio loop."""
        services = [HandOffService(self.host), self.node.state_service]
        try:
            async with (
                serve_rpc(
                    [*services, *self.extra_services],
                    self.settings.rpc,
                    ssl=server_context(self.settings.rpc_tls),
                ),
                open_nursery() as nursery,
            ):
                self.nursery = nursery
                nursery.start_soon(self.flows.run)
                nursery.start_soon(self.dispatcher.run)
                nursery.start_soon(self._keep_house)
                await sleep_forever()
        finally:
            self.client.close()

    def deliver(self, forward: Forward) -> None:
        """Take a datagram of a caller."""
        if self.nursery is not None:
            self.flows.deliver(forward)

    def _start_request(self, stream: RequestStream) -> None:
        assert self.nursery is not None
        self.nursery.start_soon(self.handler.handle, stream)

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
        flows = len(self.engine.flows)
        self.sink.event(DRAIN_STARTED, flows=flows, cause="planned stop")
        self._audit("started")
        self.policy.drain()
        await self.flows.drain()
        with move_on_after(timeout_s):
            while self._is_busy():
                await sleep(HOUSEKEEPING_PERIOD_S)
                await self.flows.close_idle(idle_s=DRAIN_IDLE_S)
        cut = len(self.engine.flows)
        await self._hand_over()
        await self.flows.close_all()
        await sleep(CLOSE_S if cut else 0)
        await self.target.aclose()
        self._audit("ended")
        self.sink.event(AGENT_STOPPED, flows_cut=cut)

    async def _hand_over(self) -> None:
        """Close the ledgers for good and give each to one successor."""
        self.home.close()
        announcements = await hand_over_ledgers(
            self.client,
            self.home,
            successors(self.view.service, self.view.target.number),
            instance=self.settings.instance,
            incarnation=self.node.incarnation,
        )
        peers = [Endpoint(p.agent_host, p.agent_port) for p in self.view.peers()]
        self.node.send([Send(peer, said) for said in announcements for peer in peers])

    def _is_busy(self) -> bool:
        open_requests = self.handler.open_requests + self.host.running
        return bool(self.engine.flows or open_requests)

    def _audit(self, change: str, cause: str = "planned stop") -> None:
        self.sink.audit(
            AuditRecord(
                kind="drain",
                subject=self.settings.instance,
                change=change,
                version=self.node.holder.held.in_force,
                cause=cause,
            )
        )
