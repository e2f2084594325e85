"""A whole deployment in one process on loopback."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from msgspec import to_builtins
from trio import Nursery, sleep

from balsamtide.agent.agent import Agent
from balsamtide.balancer.balancer import Balancer
from balsamtide.config.model import Address, Service, Target
from balsamtide.config.port import Instance, InstanceState
from balsamtide.node.node import Node
from balsamtide.protocol.connection_id import IdKeys
from balsamtide.protocol.datagram import MacKeys
from balsamtide.protocol.messages import Endpoint, PatchOperation
from balsamtide.settings.model import (
    AgentSettings,
    BalancerSettings,
    Role,
    Settings,
    TlsFiles,
)
from balsamtide.telemetry.sink import Sink
from bench.standins.certificates import Certificates, write_certificates
from bench.standins.fabric import Fabric, PathFaults
from bench.standins.memory_platform import MemoryPlatform
from bench.standins.ports import free_port
from bench.standins.target import StandInTarget, TargetRecord

__all__ = ["Deployment", "DeploymentPlan", "ServicePlan"]

HOST = "127.0.0.1"
READY_CHECK_S = 0.05
SERVER_NAME = "service.test"
MAC_KEYS = MacKeys(current=1, keys={1: b"m" * 32})
ID_KEYS = IdKeys(current=0, keys={0: b"i" * 16})


@dataclass(frozen=True, slots=True, kw_only=True)
class ServicePlan:
    """One service: its name, number, targets, slots and rules."""

    name: str
    number: int
    targets: int
    slots: int
    rules: dict[str, object] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class DeploymentPlan:
    """One installation: its region, availability zones, services and balancers."""

    name: str
    zones: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    balancers: int = 3


@dataclass(slots=True)
class RunningAgent:
    """An agent, its target and its settings."""

    settings: Settings
    target: StandInTarget
    agent: Agent | None = None


class Deployment:
    """Starts and stops the parts of one installation.

    Parameters
    ----------
    plan : DeploymentPlan
        What to start.
    folder : Path
        Where certificates are written.
    sink : callable
        Returns the sink of an instance.
    seed : int
        Seed of all random choices.
    faults : PathFaults or None
        Faults of the paths to callers.
    """

    def __init__(
        self,
        plan: DeploymentPlan,
        *,
        folder: Path,
        sink: Callable[[str], Sink],
        seed: int,
        faults: PathFaults | None = None,
    ) -> None:
        self.plan = plan
        self.sink = sink
        self.random = Random(seed)
        self.faults = faults
        self.certificates: Certificates = write_certificates(
            folder, server_name=SERVER_NAME
        )
        self.platform = MemoryPlatform()
        self.balancers: dict[str, Balancer] = {}
        self.agents: dict[str, RunningAgent] = {}
        self.records = {s.name: TargetRecord() for s in plan.services}
        self.fabrics: dict[str, Fabric] = {}
        self.instances: dict[str, Instance] = {}
        self.nursery: Nursery | None = None
        self.next_balancer = 1
        self.version = 0

    # Start

    async def start(self, nursery: Nursery) -> None:
        """Start everything and publish the first configuration."""
        self.nursery = nursery
        services = {}
        for service in self.plan.services:
            services[service.name] = await self._start_targets(service)
            self._start_fabric(service.name)
        self._list_agents()
        await self.publish(
            tuple(
                PatchOperation("add", f"/services/{name}", to_builtins(service))
                for name, service in services.items()
            )
        )
        for running in self.agents.values():
            await self._start_agent(running)
        for _ in range(self.plan.balancers):
            await self.add_balancer()

    async def wait_ready(self) -> None:
        """Return when every process holds the version in force."""
        while not all(self._is_ready(node) for node in self.nodes()):
            await sleep(READY_CHECK_S)

    def _is_ready(self, node: Node) -> bool:
        return node.holder.held.in_force >= self.version

    def nodes(self) -> list[Node]:
        """Return the control sides of all running processes."""
        agents = [
            running.agent.node for running in self.agents.values() if running.agent
        ]
        return [balancer.node for balancer in self.balancers.values()] + agents

    async def _start_targets(self, plan: ServicePlan) -> Service:
        assert self.nursery is not None
        targets = {}
        for index in range(plan.targets):
            name = f"{plan.name}-{index + 1}"
            zone = self.plan.zones[index % len(self.plan.zones)]
            target = StandInTarget(
                plan.name, slots=plan.slots, record=self.records[plan.name]
            )
            port = await self.nursery.start(target.run, HOST)
            settings = self._agent_settings(plan.name, name, zone)
            self.agents[name] = RunningAgent(settings, target)
            targets[name] = Target(
                number=index + 1,
                zone=zone,
                host=HOST,
                port=port,
                agent_host=HOST,
                agent_port=settings.inner.port,
                agent_rpc_port=settings.rpc.port,
                slots=plan.slots,
            )
        address = Address(host=HOST, port=free_port())
        rules = plan.rules
        plain = {
            "number": plan.number,
            "addresses": {"main": to_builtins(address)},
            "targets": to_builtins(targets),
            "rules": rules,
        }
        return plain  # type: ignore[return-value]

    def _agent_settings(self, service: str, target: str, zone: str) -> Settings:
        tls = TlsFiles(
            certificate=self.certificates.certificate,
            private_key=self.certificates.private_key,
        )
        return self._settings(
            f"agent-{target}",
            zone,
            Role.AGENT,
            agent=AgentSettings(service=service, target=target, tls=tls),
        )

    def _settings(
        self,
        instance: str,
        zone: str,
        role: Role,
        *,
        agent: AgentSettings | None = None,
        balancer: BalancerSettings | None = None,
    ) -> Settings:
        return Settings(
            role=role,
            instance=instance,
            region=self.plan.name,
            zone=zone,
            inner=Endpoint(HOST, free_port()),
            rpc=Endpoint(HOST, free_port()),
            admin=Endpoint(HOST, free_port()),
            platform="http://127.0.0.1:1",
            mac_keys=MAC_KEYS,
            id_keys=ID_KEYS,
            agent=agent,
            balancer=balancer,
        )

    def _start_fabric(self, service: str) -> None:
        assert self.nursery is not None
        fabric = Fabric(
            Endpoint(HOST, 0),
            balancers=lambda: self._listeners(service),
            random=self.random,
            faults=self.faults,
        )
        self.fabrics[service] = fabric
        self.nursery.start_soon(fabric.run)

    def _listeners(self, service: str) -> list[Endpoint]:
        return [
            balancer.local_endpoints[service, "main"]
            for balancer in self.balancers.values()
            if not balancer.node.stopping.is_set()
        ]

    def _list_agents(self) -> None:
        for running in self.agents.values():
            self._list(running.settings)

    def _list(self, settings: Settings) -> None:
        self.instances[settings.instance] = Instance(
            name=settings.instance,
            role=settings.role.value,
            region=settings.region,
            zone=settings.zone,
            inner=settings.inner,
            rpc=settings.rpc,
        )
        self.platform.listed = tuple(self.instances.values())

    async def _start_agent(self, running: RunningAgent) -> None:
        assert self.nursery is not None
        settings = running.settings
        running.agent = Agent(
            settings,
            sink=self.sink(settings.instance),
            platform=self.platform,
            random=Random(self.random.getrandbits(64)),
        )
        await self.nursery.start(running.agent.run)

    # Changes

    async def publish(self, patch: tuple[PatchOperation, ...]) -> None:
        """Publish a patch against the version in force."""
        self.version = await self.platform.publish(patch, base=self.version)

    async def add_balancer(self) -> str:
        """Start one more balancer and return its name."""
        assert self.nursery is not None
        name = f"balancer-{self.next_balancer}"
        zone = self.plan.zones[self.next_balancer % len(self.plan.zones)]
        self.next_balancer += 1
        listen = {
            (service.name, "main"): Endpoint(HOST, free_port())
            for service in self.plan.services
        }
        settings = self._settings(
            name, zone, Role.BALANCER, balancer=BalancerSettings(listen=listen)
        )
        self._list(settings)
        balancer = Balancer(
            settings,
            sink=self.sink(name),
            platform=self.platform,
            random=Random(self.random.getrandbits(64)),
        )
        await self.nursery.start(balancer.run)
        self.balancers[name] = balancer
        return name

    def kill_balancer(self, name: str) -> None:
        """End a balancer at once, as a crash does."""
        balancer = self.balancers.pop(name)
        assert balancer.nursery is not None
        balancer.nursery.cancel_scope.cancel()
        self.instances.pop(name)
        self.platform.listed = tuple(self.instances.values())

    def stop_balancer(self, name: str) -> None:
        """Ask a balancer for a planned stop."""
        balancer = self.balancers.pop(name)
        balancer.node.stop()
        listed = self.instances.pop(name)
        self.instances[name] = Instance(
            name=listed.name,
            role=listed.role,
            region=listed.region,
            zone=listed.zone,
            inner=listed.inner,
            rpc=listed.rpc,
            state=InstanceState.LEAVING,
        )
        self.platform.listed = tuple(self.instances.values())

    def stop_agent(self, target: str) -> None:
        """Ask an agent for a planned stop."""
        agent = self.agents[target].agent
        assert agent is not None
        agent.node.stop()

    async def replace_agent(self, target: str) -> None:
        """Stop an agent in a planned way and start its successor."""
        running = self.agents[target]
        self.stop_agent(target)
        assert running.agent is not None
        await running.agent.stopped.wait()
        await self._start_agent(running)
