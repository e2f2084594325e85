"""Fleet of real daemons as child processes; stand-ins run in the test process."""

import subprocess
import sys
from dataclasses import dataclass, field
from itertools import count
from os import getpid
from pathlib import Path
from random import Random
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket

import trio
from httpx import AsyncClient, HTTPError

from balsamtide.config.port import Instance
from balsamtide.protocol.messages import Endpoint, PatchOperation
from bench.standins.certificates import write_certificates
from bench.standins.deployment import SERVER_NAME
from bench.standins.fabric import Fabric
from bench.standins.platform import PlatformStandin
from bench.standins.target import StandInTarget, TargetRecord

HOST = "127.0.0.1"
ZONES = ("zone-a", "zone-b")
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_PERIOD_S = 0.1
# Time between the parts of a streamed response.
PART_S = 0.05
SETTINGS = """\
[balsamtide]
role = {role}
instance = {name}
region = region-1
zone = {zone}
inner = {inner}
rpc = {rpc}
admin = {admin}
platform = {platform}
drain_timeout = 60

[keys]
mac_current = 1
mac_1_file = mac-1.hex
id_current = 0
id_0_file = id-0.hex

{role_section}
"""


# Below the ephemeral port range, so that no client socket takes the port of a stopped
# daemon; each test process uses its own block of ports.
FIRST_PORT = 10_000
BLOCK_PORTS = 500
BLOCKS = 40
PORTS = count(FIRST_PORT + BLOCK_PORTS * (getpid() % BLOCKS))


def free_port():
    """Return a port that is free for TCP and UDP, another one at each call.

    Unlike `bench.standins.ports.free_port`, it never returns a port twice, so that the
    port of a stopped daemon stays unused until the daemon is restarted.
    """
    for port in PORTS:
        if all(_is_free(kind, port) for kind in (SOCK_STREAM, SOCK_DGRAM)):
            return port
    raise AssertionError("unreachable")


def _is_free(kind, port):
    with socket(AF_INET, kind) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def _local_endpoint():
    return f"{HOST}:{free_port()}"


@dataclass(slots=True)
class Process:
    """One daemon as a child process."""

    name: str
    settings: Path
    admin: str
    log: Path
    child: subprocess.Popen[bytes] | None = None

    def start(self):
        """Start the daemon."""
        command = [sys.executable, "-m", "balsamtide.daemon", "--settings"]
        with self.log.open("ab") as log:
            self.child = subprocess.Popen(
                [*command, str(self.settings)], stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to this child process only."""
        assert self.child is not None
        self.child.send_signal(number)

    async def wait_ready(self):
        """Wait until the daemon reports that it is ready."""
        async with AsyncClient() as client:
            with trio.fail_after(READY_TIMEOUT_S):
                while not await self._is_ready(client):
                    await trio.sleep(POLL_PERIOD_S)

    async def _is_ready(self, client):
        assert self.child.poll() is None, self.log.read_text()[-3000:]
        try:
            response = await client.get(f"http://{self.admin}/status")
        except HTTPError:
            return False
        return response.json()["state"] in ("ready", "cold", "full")

    async def stop(self):
        """Stop the daemon with SIGTERM and return its exit code."""
        self.signal(SIGTERM)
        with trio.fail_after(STOP_TIMEOUT_S):
            while self.child.poll() is None:
                await trio.sleep(POLL_PERIOD_S)
        return self.child.returncode

    def kill(self):
        """Kill the child process and wait for its end."""
        if self.child is None or self.child.poll() is not None:
            return
        self.child.send_signal(SIGCONT)
        self.child.send_signal(SIGKILL)
        self.child.wait()


@dataclass(slots=True)
class ProcessFleet:
    """Balancers, and agents with targets for each service, as child processes."""

    folder: Path
    targets_per_service: dict[str, int]
    balancers: int = 2
    platform: PlatformStandin = field(default_factory=PlatformStandin)
    processes: dict[str, Process] = field(default_factory=dict)
    # What the targets of each service ran; one record for all targets of a service.
    records: dict[str, TargetRecord] = field(default_factory=dict)
    fabrics: dict[str, Fabric] = field(default_factory=dict)
    listeners: dict[str, dict[str, Endpoint]] = field(default_factory=dict)
    # Whether the fabric sends datagrams to a balancer, by its name.
    in_rotation: dict[str, bool] = field(default_factory=dict)
    authority: str = ""

    async def start(self, nursery):
        """Start the stand-ins and every daemon."""
        self._write_keys()
        await nursery.start(self.platform.serve)
        services = {}
        for number, service in enumerate(self.targets_per_service, start=1):
            services[service] = await self._add_service(service, number, nursery)
        for index in range(self.balancers):
            self._add_balancer(f"balancer-{index + 1}", ZONES[index % 2])
        patch = tuple(
            PatchOperation("add", f"/services/{name}", value)
            for name, value in services.items()
        )
        self.platform.publish(patch, base=0)
        for process in self.processes.values():
            process.start()
        for process in self.processes.values():
            await process.wait_ready()

    def stop(self):
        """Kill every child process."""
        for process in self.processes.values():
            process.kill()

    def _write_keys(self):
        files = write_certificates(self.folder, server_name=SERVER_NAME)
        self.authority = str(files.certificate)
        for name, octets in (("mac-1", 32), ("id-0", 16)):
            path = self.folder / f"{name}.hex"
            path.write_text(Random(name).randbytes(octets).hex())
            path.chmod(0o600)

    async def _add_service(self, service, number, nursery):
        record = self.records[service] = TargetRecord()
        targets = {}
        for index in range(self.targets_per_service[service]):
            target = StandInTarget(service, slots=2, record=record, part_s=PART_S)
            port = await nursery.start(target.run, HOST)
            name = f"{service}-{index + 1}"
            zone = ZONES[index % 2]
            section = (
                f"[agent]\nservice = {service}\ntarget = {name}\n"
                "certificate = certificate.pem\nprivate_key = private_key.pem\n"
            )
            instance = self._add(f"agent-{name}", "agent", zone, section)
            targets[name] = {
                "number": index + 1,
                "zone": zone,
                "host": HOST,
                "port": port,
                "agent_host": HOST,
                "agent_port": instance.inner.port,
                "agent_rpc_port": instance.rpc.port,
                "slots": 2,
            }
        fabric = Fabric(
            Endpoint(HOST, 0),
            balancers=lambda: self._rotation(service),
            random=Random(number),
        )
        self.fabrics[service] = fabric
        nursery.start_soon(fabric.run)
        address = {"host": HOST, "port": free_port()}
        return {"number": number, "addresses": {"main": address}, "targets": targets}

    def _rotation(self, service):
        return [
            listeners[service]
            for name, listeners in self.listeners.items()
            if self.in_rotation[name]
        ]

    def _add_balancer(self, name, zone):
        self.listeners[name] = {
            service: Endpoint(HOST, free_port()) for service in self.targets_per_service
        }
        self.in_rotation[name] = True
        lines = [
            f"listen.{service}.main = {endpoint.host}:{endpoint.port}"
            for service, endpoint in self.listeners[name].items()
        ]
        self._add(name, "balancer", zone, "[balancer]\n" + "\n".join(lines))

    def _add(self, name, role, zone, section):
        inner, rpc, admin = (_local_endpoint() for _ in range(3))
        settings = self.folder / f"{name}.ini"
        settings.write_text(
            SETTINGS.format(
                role=role,
                name=name,
                zone=zone,
                inner=inner,
                rpc=rpc,
                admin=admin,
                platform=self.platform.url,
                role_section=section,
            )
        )
        log = self.folder / f"{name}.log"
        self.processes[name] = Process(name, settings, admin, log)
        instance = Instance(
            name=name,
            role=role,
            region="region-1",
            zone=zone,
            inner=_endpoint(inner),
            rpc=_endpoint(rpc),
        )
        self.platform.list_instance(instance)
        return instance

    async def replace(self, name):
        """Stop a daemon with SIGTERM, restart it and return the exit code."""
        process = self.processes[name]
        if name in self.in_rotation:
            self.in_rotation[name] = False
        code = await process.stop()
        process.start()
        await process.wait_ready()
        if name in self.in_rotation:
            self.in_rotation[name] = True
        return code

    async def freeze(self, name, seconds):
        """Suspend a daemon for ``seconds``, as a pause of its instance does."""
        process = self.processes[name]
        process.signal(SIGSTOP)
        await trio.sleep(seconds)
        process.signal(SIGCONT)


def _endpoint(text):
    host, _, port = text.rpartition(":")
    return Endpoint(host, int(port))
