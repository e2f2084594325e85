"""Components and tasks of an agent whose target is configured."""

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
from balsamtide.agent.flow_admission import FlowLimits
from balsamtide.agent.flow_engine import (
    FlowEngine,
    make_quic_configuration,
)
from balsamtide.agent.flow_task import FlowTask
from balsamtide.agent.keyed_requests import KeyedRequests
from balsamtide.agent.metrics import FLOWS_OPEN, HANDSHAKES_OPEN
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
from balsamtide.requests.home import Home
from balsamtide.requests.ledger import Ledger
from balsamtide.requests.ledger_transfer import transfer_ledgers
from balsamtide.requests.stamp import StampCodec, StampIssuer
from balsamtide.requests.succession import successors
from balsamtide.settings.model import Settings
from balsamtide.telemetry.records import AuditRecord
from balsamtide.telemetry.sink import Sink

__all__ = ["ConfiguredAgent"]

# A tenure identifies the time of one process as owner of its target's ledger.
TENURE_BITS = 63
HOUSEKEEPING_PERIOD_S = 0.25
# Time without datagrams after which a drain closes a flow.
DRAIN_FLOW_IDLE_S = 1.0
# Wait for CONNECTION_CLOSE to be sent before the process ends.
CLOSE_SEND_WAIT_S = 0.5
# No peer is too busy: the share of slot time in use is at most 1.
ANY_BUSY_SHARE = 1.1


class ConfiguredAgent:
    """Flow engine, admission, hand-off and ledger of one agent.

    Parameters
    ----------
    settings : Settings
        Settings of the daemon.
    node : Node
        Membership, configuration and inner datagrams, which are those between
        processes.
    view : ServiceView
        Configuration of the own service and target.
    leases : BalancerLeases
        Balancers that have recently forwarded a datagram to this agent.
    random : Random
        Random number generator.
    sink : Sink
        Receives events, metrics and audit records.
    extra_services : sequence of object
        Additional RPC services to serve.
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
        # Queue of offers by peers that wait for a slot.
        self.pending_offers = PendingOffers(self.policy)
        self.dispatcher = Dispatcher(self.policy, after_call=self._after_policy_call)
        # Owns this agent's ledger and decides about repeats of keyed requests.
        self.home = Home(
            view.service.number, Ledger(target=view.target.number, tenure=self.tenure)
        )
        self.home.configure(view.service)
        self.hand_off_client = HandOffClient(
            view.rpc_endpoint,
            ssl=client_context(settings.rpc_tls),
            on_reply=self._record_reply,
        )
        self.target_runner = TargetRunner(Endpoint(view.target.host, view.target.port))
        self.slot_runner = SlotRunner(
            self.target_runner, dispatcher=self.dispatcher, service=lambda: view.service
        )
        self.executor = Executor(
            dispatcher=self.dispatcher,
            runner=self.slot_runner,
            hand_off=self.hand_off_client,
            target_name=view.target_name,
        )
        self.host = PeerHost(
            dispatcher=self.dispatcher,
            pending_offers=self.pending_offers,
            runner=self.slot_runner,
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
        # A target leaves while the configuration does not list it as active. Policy
        # and engine drain while it leaves or during a planned stop.
        self.is_leaving = False
        self._apply_target_state()

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
            own_destination=Destination(service.number, self.view.target.number),
            configuration=configuration,
            ids=self.node.ids,
            resets=ResetTokens(self.settings.id_keys),
            limits=FlowLimits(flows=service.rules.limits.flows),
            steering=PeerSteering(
                sample_peer=self._sample_peer, is_ready=self._is_ready
            ),
            leases=leases,
            sink=self.sink,
        )

    def _make_handler(self) -> RequestHandler:
        assert self.settings.agent is not None
        agent_settings = self.settings.agent
        stamps = StampCodec(self.settings.mac_keys)
        issuer = StampIssuer(
            stamps,
            service=self.view.service.number,
            target=self.view.target.number,
            tenure=self.tenure,
        )
        return RequestHandler(
            service_name=agent_settings.service,
            service=lambda: self.view.service,
            version=lambda: self.node.holder.held.in_force,
            zone=self.view.zone,
            new_request_id=self._new_request_id,
            flows=self.flows,
            executor=self.executor,
            keyed=KeyedRequests(
                home=self.home,
                stamps=stamps,
                issuer=issuer,
                client=self.hand_off_client,
            ),
            sink=self.sink,
        )

    def _new_request_id(self) -> str:
        assert self.settings.agent is not None
        return f"{self.settings.agent.target}-{self.random.getrandbits(64):016x}"

    # Peers

    def _record_reply(self, target: int, is_granted: bool, seconds: float) -> None:
        self.policy.peers.record_reply(target, is_granted, seconds, current_time())

    def _sample_peer(self, now: float) -> Endpoint | None:
        # Peers that are busy for less than the given share, best first.
        chosen = self.policy.peers.choose_less_busy(ANY_BUSY_SHARE, now)
        return self.view.agent_endpoint(chosen[0]) if chosen else None

    def _is_ready(self, now: float) -> bool:
        return not self.policy.is_draining and not self.policy.health.is_ejected

    def _after_policy_call(self, now: float) -> None:
        # A slot may be free for an offer that waits.
        self.pending_offers.wake()
        self._send_reports(now)

    def _send_reports(self, now: float) -> None:
        self.node.send(self.policy.due_reports(now))

    # Configuration

    def configure(self, now: float) -> None:
        """Apply the service of a new configuration version."""
        self.home.configure(self.view.service)
        if self.view.is_listed:
            self.policy.configure(self.view.service, now)
        self._apply_target_state()

    def _apply_target_state(self) -> None:
        is_leaving = not self.view.is_active
        if is_leaving == self.is_leaving:
            return
        self.is_leaving = is_leaving
        self.policy.set_leaving(is_leaving=is_leaving)
        # Unlike ``engine.drain``, this sends no GOAWAY, which could not be revoked if
        # the target becomes active again.
        self.engine.is_draining = is_leaving
        self._audit("target leaving" if is_leaving else "target active", "patch")

    # Tasks

    async def run(self) -> None:
        """Run until cancelled; needs a running trio-asyncio loop."""
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
                nursery.start_soon(self._run_housekeeping)
                await sleep_forever()
        finally:
            self.hand_off_client.close()

    def deliver(self, forward: Forward) -> None:
        """Queue a datagram of a caller; dropped until ``run`` has started."""
        if self.nursery is not None:
            self.flows.deliver(forward)

    def _start_request(self, stream: RequestStream) -> None:
        assert self.nursery is not None
        self.nursery.start_soon(self.handler.handle, stream)

    async def _run_housekeeping(self) -> None:
        while True:
            await sleep(HOUSEKEEPING_PERIOD_S)
            now = current_time()
            self.home.expire(now)
            self.sink.gauge(FLOWS_OPEN, len(self.engine.flows))
            self.sink.gauge(HANDSHAKES_OPEN, self.engine.handshakes)
            self._send_reports(now)

    # Planned stop

    async def drain(self, timeout_s: float) -> None:
        """Stop accepting flows, complete open requests, then close all flows.

        Parameters
        ----------
        timeout_s : float
            Longest wait for open flows and requests, seconds.
        """
        flows = len(self.engine.flows)
        self.sink.event(DRAIN_STARTED, flows=flows, cause="planned stop")
        self._audit("started")
        self.policy.drain()
        await self.flows.drain()
        with move_on_after(timeout_s):
            while self._has_open_work():
                await sleep(HOUSEKEEPING_PERIOD_S)
                await self.flows.close_idle(idle_s=DRAIN_FLOW_IDLE_S)
        open_flows = len(self.engine.flows)
        await self._transfer_ledgers()
        await self.flows.close_all()
        await sleep(CLOSE_SEND_WAIT_S if open_flows else 0)
        await self.target_runner.aclose()
        self._audit("ended")
        self.sink.event(AGENT_STOPPED, flows_cut=open_flows)

    async def _transfer_ledgers(self) -> None:
        """Close the ledgers permanently and transfer each to one successor."""
        self.home.close()
        announcements = await transfer_ledgers(
            self.hand_off_client,
            self.home,
            successors(self.view.service, self.view.target.number),
            instance=self.settings.instance,
            incarnation=self.node.incarnation,
        )
        peers = [
            Endpoint(p.agent_host, p.agent_port) for p in self.view.other_targets()
        ]
        self.node.send(
            [Send(peer, message) for message in announcements for peer in peers]
        )

    def _has_open_work(self) -> bool:
        open_requests = self.handler.open_requests + self.host.open_requests
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
