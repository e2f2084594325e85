"""The processes under test: real daemons on loopback addresses."""

import signal
import subprocess
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from json import dumps
from os import environ
from pathlib import Path

from trio import Nursery, current_time, sleep

from bench.fault_soak.promises import Promise, PromiseLog
from bench.fault_soak.store_link import StoreLink
from bench.standins.flow_platform import LoopbackStore, settings_document

__all__ = ["EVACUATION_S", "DaemonProcess", "SoakFleet"]

POLL_S = 0.05
# The platform ends a process this long after the request to stop.
GRACE_S = 6.0
# Within this time an evacuated zone gets no more new flows; shorter than on the
# platform, so that runs stay short.
EVACUATION_S = 3.0


@dataclass(slots=True)
class DaemonProcess:
    """One daemon.

    Parameters
    ----------
    host : str
        Loopback address of its instance.
    service : str
        Service of its target, empty for a balancer.
    zone : str
        Availability zone.
    link : StoreLink
        Its way to the store.
    child : Popen or None
        The running process.
    is_end_expected : bool
        Whether a signal of the soak ends it.
    log_bytes : int
        Size of its log when it started.
    """

    host: str
    service: str
    zone: str
    link: StoreLink
    child: subprocess.Popen[bytes] | None = None
    is_end_expected: bool = False
    log_bytes: int = 0

    @property
    def is_running(self) -> bool:
        """Whether the process lives."""
        return self.child is not None and self.child.poll() is None


@dataclass(slots=True)
class SoakFleet:
    """Starts and ends the daemons, each by its own id.

    Parameters
    ----------
    folder : Path
        Where settings and logs are written.
    ports : mapping of str to int
        Ports, the same on all instances.
    store : LoopbackStore
        The platform's store.
    seeds : list of str
        Instances that the processes find the others by.
    log : PromiseLog
        Where breaches go.
    """

    folder: Path
    ports: Mapping[str, int]
    store: LoopbackStore
    seeds: list[str]
    log: PromiseLog
    daemons: dict[str, DaemonProcess] = field(default_factory=dict)

    async def add(
        self, nursery: Nursery, host: str, *, zone: str, service: str = ""
    ) -> None:
        """Add an instance and start its daemon."""
        store_host, _, store_port = self.store.address.rpartition(":")
        link = StoreLink((store_host, int(store_port)))
        await link.listen(nursery, "127.0.0.1")
        self.daemons[host] = DaemonProcess(host, service, zone, link)
        self.write_settings(host)
        self.start(host)

    def write_settings(self, host: str) -> None:
        """Write an instance's settings, which a running daemon reads again."""
        daemon = self.daemons[host]
        document = settings_document(
            host,
            ports=self.ports,
            store=daemon.link.address,
            seeds=self.seeds,
            service=daemon.service,
            zone=daemon.zone,
            evacuate_ms=round(EVACUATION_S * 1000),
        )
        path = self.folder / f"{host}.yaml"
        draft = path.with_suffix(".new")
        draft.write_text(dumps(document))
        draft.replace(path)

    def start(self, host: str) -> None:
        """Start a daemon unless it runs."""
        daemon = self.daemons[host]
        if daemon.is_running:
            return
        daemon.is_end_expected = False
        with self._log_path(host).open("ab") as log:
            daemon.log_bytes = log.tell()
            daemon.child = subprocess.Popen(
                [sys.executable, "-m", "balsamtide.flow_daemon"],
                env=environ
                | {
                    "BALSAMTIDE_SETTINGS": str(self.folder / f"{host}.yaml"),
                    "PYTHONPATH": "src",
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _log_path(self, host: str) -> Path:
        return self.folder / f"{host}.log"

    def _has_begun(self, daemon: DaemonProcess) -> bool:
        """Whether a daemon has written a line since its start.

        Until the interpreter has loaded the program, a signal ends the process as the
        system has it; such a process has carried nothing.
        """
        return self._log_path(daemon.host).stat().st_size > daemon.log_bytes

    def _is_end_wrong(self, daemon: DaemonProcess, allowed: tuple[int, ...]) -> bool:
        code = daemon.child.returncode if daemon.child else 0
        if code in (-signal.SIGTERM, -signal.SIGHUP):
            return self._has_begun(daemon)
        return code not in allowed

    def send(self, host: str, number: signal.Signals) -> None:
        """Send a signal to one daemon."""
        daemon = self.daemons[host]
        if daemon.child is not None and daemon.is_running:
            daemon.child.send_signal(number)

    def kill(self, host: str) -> None:
        """End a daemon at once."""
        self.daemons[host].is_end_expected = True
        self.send(host, signal.SIGKILL)

    async def stop(self, host: str) -> None:
        """Ask a daemon to stop and check how it ends."""
        daemon = self.daemons[host]
        child = daemon.child
        if child is None or not daemon.is_running or daemon.is_end_expected:
            return
        daemon.is_end_expected = True
        child.send_signal(signal.SIGTERM)
        until = current_time() + GRACE_S
        while child.poll() is None and current_time() < until:
            await sleep(POLL_S)
        if child.poll() is None:
            # A daemon that was paused meanwhile has had no time to end.
            self.send(host, signal.SIGCONT)
            child.kill()
        elif self._is_end_wrong(daemon, (0, -signal.SIGKILL)):
            detail = f"{host} ended with {child.returncode}"
            self.log.breach(Promise.STOP, current_time(), detail)

    async def watch(self) -> None:
        """Note daemons that end without being asked to, until cancelled."""
        while True:
            for daemon in self.daemons.values():
                self._check_end(daemon)
            await sleep(POLL_S)

    def _check_end(self, daemon: DaemonProcess) -> None:
        child = daemon.child
        if child is None or daemon.is_running or daemon.is_end_expected:
            return
        daemon.is_end_expected = True
        if self._is_end_wrong(daemon, ()):
            detail = f"{daemon.host} ended by itself: {child.returncode}"
            self.log.breach(Promise.STOP, current_time(), detail)
        else:
            self.start(daemon.host)

    def close(self) -> None:
        """End all daemons."""
        for daemon in self.daemons.values():
            if daemon.child is not None:
                daemon.child.kill()
                daemon.child.wait()
