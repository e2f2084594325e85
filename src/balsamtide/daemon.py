"""Daemon ``balsamtided``: runs one role and its admin listener until a planned stop."""

import sys
from argparse import ArgumentParser
from collections.abc import Sequence
from pathlib import Path
from random import SystemRandom
from signal import SIGINT, SIGTERM

from trio import current_time, open_nursery, open_signal_receiver, run

from balsamtide.agent.agent import Agent
from balsamtide.balancer.balancer import Balancer
from balsamtide.config.platform_client import HttpPlatform
from balsamtide.node.events import PROCESS_STARTED, PROCESS_STOPPED
from balsamtide.node.rpc import client_context
from balsamtide.settings import SettingsError, load_settings
from balsamtide.settings.model import Role, Settings
from balsamtide.telemetry.admin import (
    AdminApplication,
    NumberedConfiguration,
    serve_admin,
)
from balsamtide.telemetry.query_rpc import Peer, PeerQuery, TelemetryService
from balsamtide.telemetry.records import AuditRecord
from balsamtide.telemetry.status import Status
from balsamtide.telemetry.telemetry import Telemetry
from balsamtide.transport.boot_time_clock import BootTimeClock

__all__ = ["EXIT_SETTINGS", "EXIT_START", "Daemon", "main"]

EXIT_START = 1
EXIT_SETTINGS = 2


class Daemon:
    """Runs one process from its start to its planned stop.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.telemetry = Telemetry.from_settings(settings)
        self.started_at = current_time()
        self.platform = HttpPlatform(settings.platform)
        self.role = self._make_role()

    def _make_role(self) -> Agent | Balancer:
        random = SystemRandom()
        if self.settings.role is Role.BALANCER:
            return Balancer(
                self.settings,
                sink=self.telemetry,
                platform=self.platform,
                random=random,
            )
        service = TelemetryService(self.telemetry.request_log)
        return Agent(
            self.settings,
            sink=self.telemetry,
            platform=self.platform,
            random=random,
            extra_services=(service,),
        )

    async def run(self) -> None:
        """Run until a planned stop has completed."""
        settings = self.settings
        try:
            async with self.platform, open_nursery() as nursery:
                await nursery.start(serve_admin, self._make_admin(), settings.admin)
                nursery.start_soon(self.telemetry.run)
                nursery.start_soon(self._handle_signals)
                self._audit_role("started")
                self.telemetry.event(
                    PROCESS_STARTED,
                    instance=settings.instance,
                    role=settings.role.value,
                )
                await self.role.run()
                nursery.cancel_scope.cancel()
        finally:
            self._audit_role("stopped")
            self.telemetry.event(PROCESS_STOPPED, instance=settings.instance)
            self.telemetry.close()

    async def _handle_signals(self) -> None:
        with open_signal_receiver(SIGTERM, SIGINT) as signals:
            async for _ in signals:
                self.role.node.stop()

    def _audit_role(self, change: str) -> None:
        self.telemetry.audit(
            AuditRecord(
                kind="role",
                subject=self.settings.instance,
                change=change,
                version=self.role.node.holder.held.in_force,
                cause=f"{self.settings.role.value} process",
            )
        )

    # Admin listener

    def _make_admin(self) -> AdminApplication:
        if not isinstance(self.role, Agent):
            return AdminApplication(
                self.telemetry, status=self.status, configuration=self.configuration
            )
        query = PeerQuery(
            self.telemetry.request_log,
            peers=self._service_peers,
            sink=self.telemetry,
            ssl=client_context(self.settings.rpc_tls),
        )
        return AdminApplication(
            self.telemetry,
            status=self.status,
            ask_summary=query.summary,
            ask_request=query.request,
            configuration=self.configuration,
        )

    def _service_peers(self) -> Sequence[Peer]:
        configured = self.role.configured if isinstance(self.role, Agent) else None
        if configured is None:
            return ()
        view = configured.view
        return [
            Peer(view.target_name(target.number), endpoint)
            for target in view.other_targets()
            if (endpoint := view.rpc_endpoint(target.number)) is not None
        ]

    def configuration(self) -> NumberedConfiguration:
        """Return the configuration that this process has in force."""
        held = self.role.node.holder.held
        return NumberedConfiguration(
            version=held.in_force, entry=held.number, configuration=held.configuration
        )

    def status(self) -> Status:
        """Return the status of the daemon."""
        node = self.role.node
        held = node.holder.held
        settings = self.settings
        agent_settings = settings.agent
        configured = self.role.configured if isinstance(self.role, Agent) else None
        membership = node.membership.status()
        return Status(
            instance=settings.instance,
            role=settings.role.value,
            region=settings.region,
            zone=settings.zone,
            state=self._state(),
            version=held.in_force,
            entry=held.number,
            service=agent_settings.service if agent_settings else "",
            target=agent_settings.target if agent_settings else "",
            flows=len(configured.engine.flows) if configured else 0,
            requests=configured.handler.open_requests if configured else 0,
            peers=membership.peers,
            uptime_s=current_time() - self.started_at,
            lag=membership.lag,
            readers=membership.readers,
            marks=tuple(
                sorted(
                    {f"{m.subject} {m.kind}" for m in membership.marks if m.is_believed}
                )
            ),
            is_cut_off=membership.is_cut_off,
        )

    def _state(self) -> str:
        if self.role.node.stopping.is_set():
            return "draining"
        if isinstance(self.role, Agent):
            return self.role.state
        return "ready" if self.role.listeners else "starting"


async def _run_daemon(settings: Settings) -> None:
    await Daemon(settings).run()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit code.

    Returns
    -------
    int
        0 after a planned stop, 1 if the daemon could not start or failed with an
        operating system error, 2 if the settings are not valid.
    """
    parser = ArgumentParser(
        prog="balsamtided",
        description="Run one balancer or agent of balsamtide.",
        epilog="Exit codes: 0 planned stop, 1 could not start or failed, "
        "2 invalid settings.",
    )
    parser.add_argument("--settings", type=Path, required=True, metavar="FILE.ini")
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.settings)
    except SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        return EXIT_SETTINGS
    exit_code = 0
    try:
        run(_run_daemon, settings, clock=BootTimeClock())
    except* OSError as errors:
        print(
            "balsamtided: stopped by an operating system error: "
            f"{_first_error(errors)}",
            file=sys.stderr,
        )
        exit_code = EXIT_START
    return exit_code


def _first_error(error: BaseException) -> BaseException:
    """Return the first error in nested exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


if __name__ == "__main__":
    sys.exit(main())
