"""The project's own processes, with the commands of the deploy file."""

import os
import shlex
import signal
import subprocess
import sys
import tomllib
from collections.abc import Callable
from json import dumps
from pathlib import Path
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM
from socket import socket as Socket
from threading import Lock
from time import monotonic, sleep

from review.standins2.store import Store

ROOT = Path(__file__).resolve().parents[2]
STOP_TIMEOUT_S = 10.0
PORT_NAMES = ("packets", "ready", "control", "outbound", "app", "inner", "metrics")


class Record:
    """The record of a run, with times since its start.

    Parameters
    ----------
    path : Path
        Where it is written.
    """

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = monotonic()

    def __call__(self, line: str) -> None:
        """Write a line."""
        text = f"{monotonic() - self.started_at:8.3f} {line}"
        self.file.write(text + "\n")
        self.file.flush()


def free_ports(hosts: list[str]) -> dict[str, int]:
    """Return ports that are free on all machines, for TCP and UDP."""
    found: list[int] = []
    # Below the range from which the kernel chooses ports of clients.
    port = 10_000 + os.getpid() % 15_000
    while len(found) < len(PORT_NAMES):
        port += 1
        if all(_is_free(host, port) for host in hosts):
            found.append(port)
    return dict(zip(PORT_NAMES, found, strict=True))


def _is_free(host: str, port: int) -> bool:
    for kind in (SOCK_STREAM, SOCK_DGRAM):
        with Socket(AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Fleet:
    """The processes of a small deployment.

    Parameters
    ----------
    folder : Path
        Where settings and logs are written.
    store : Store
        The platform's store.
    zones : sequence of str
        All zones.
    seeds : sequence of str
        Hosts of the seeds.
    ports : mapping of str to int
        Ports, the same on all machines.
    bounds : mapping of str to float
        Further bounds of the settings.
    log : callable
        Takes a line for the record.
    """

    def __init__(
        self,
        *,
        folder: Path,
        store: Store,
        zones: list[str],
        seeds: list[str],
        ports: dict[str, int],
        log: Callable[[str], None],
        bounds: dict[str, float] | None = None,
    ) -> None:
        self.folder = folder
        self.store = store
        self.zones = zones
        self.seeds = seeds
        self.ports = ports
        self.log = log
        self.bounds = bounds or {}
        self.addresses: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.is_closed = False
        self.lock = Lock()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.roles = {role["on"]: role for role in deploy["roles"].values()}

    def start(self, host: str, zone: str, service: str = "") -> None:
        """Start the process of a machine; with a service an agent."""
        role = self.roles["side" if service else "front"]
        command = shlex.split(role["run"])
        command[0] = sys.executable if command[0] == "python3" else command[0]
        path = self.folder / f"{host}.yaml"
        path.write_text(dumps(self._settings(host, zone, service)))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BALSAMTIDE_SETTINGS": str(path),
            "BALSAMTIDE_METRICS_PORT": str(self.ports["metrics"]),
        }
        with self.lock, (self.folder / f"{host}.log").open("ab") as log:
            if self.is_closed:
                return
            self.processes[host] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.log(f"{host}: process started ({service or 'balancer'})")

    def _settings(self, host: str, zone: str, service: str) -> dict[str, object]:
        ports = self.ports
        if host not in self.addresses:
            self.addresses[host] = self.store.listen(host)
        binds = {
            "datagramAddr": f"{host}:{ports['packets']}",
            "ready": f"{host}:{ports['ready']}",
        }
        if service:
            binds["outbound"] = f"{host}:{ports['outbound']}"
        else:
            binds["control"] = f"{host}:{ports['control']}"
        settings: dict[str, object] = {
            "nodeId": f"node-{host}",
            "role": "agent" if service else "balancer",
            "machineClass": "side" if service else "front",
            "servedRoles": ["side"] if service else ["front", "control"],
            "ipAddr": host,
            "zone": zone,
            "region": "region",
            "zones": dict.fromkeys(self.zones, "region"),
            "bindAddrs": binds,
            "internalPorts": [ports["inner"], ports["inner"]],
            "seedAddrs": [f"{seed}:{ports['control']}" for seed in self.seeds],
            "bootstrap": False,
            "heartbeatMs": round(self.store.heartbeat_s * 1000),
            "bounds": {
                "reuseAfterS": 2,
                "contactMs": 4000,
                "drainTimeoutMs": 3000,
                "gracePeriodS": 6,
                "configApplyMs": 3000,
                "recoveryS": 12,
                "misrouteMs": 2000,
                "flowTtlS": 60,
            }
            | self.bounds,
            "hashMode": "steady",
            "deploymentMode": "agent",
            "platform": {
                "address": self.addresses[host],
                "deploymentMode": "read",
                "readsPerS": 2000,
                "historyS": 20,
            },
        }
        if service:
            settings |= {"app": f"{host}:{ports['app']}", "service": service}
        return settings

    def signal(self, host: str, number: int) -> None:
        """Send a signal to the process of a machine."""
        self.processes[host].send_signal(number)
        self.log(f"{host}: {signal.Signals(number).name}")

    def end(self, host: str, number: int) -> None:
        """Send a signal to a process and wait until it has ended."""
        self.signal(host, number)
        code = self.processes[host].wait(STOP_TIMEOUT_S)
        self.log(f"{host}: process ended with {code}")

    def close(self) -> None:
        """End all processes that are left."""
        with self.lock:
            self.is_closed = True
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    until = monotonic() + timeout_s
    while not condition():
        if monotonic() > until:
            return False
        sleep(0.02)
    return True
