"""The commands that show where a daemon stands."""

from collections.abc import Callable, Sequence
from time import monotonic, sleep
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from httpx import BaseTransport

from balsamtide.cli.command import (
    ADMIN_OPTION,
    JSON_OPTION,
    ControlCommand,
    examples,
)
from balsamtide.cli.errors import CommandError, ExitCode
from balsamtide.telemetry.status import Status

__all__ = [
    "ConfigurationCommand",
    "StatusCommand",
    "VersionWaitCommand",
    "print_statuses",
]

POLL_PERIOD_S = 0.2
DEFAULT_TIMEOUT_S = 30


class StatusCommand(ControlCommand):
    """Shows what daemons say of themselves."""

    name = "status"
    description = "Show what one or more daemons say of themselves."
    options: ClassVar[list[Option]] = [ADMIN_OPTION, JSON_OPTION]
    help = examples(
        "balsamctl status",
        "balsamctl status --admin http://10.0.1.7:9180 --admin http://10.0.2.7:9180",
    )

    def handle(self) -> int:
        """Show the status of every daemon that was named."""
        statuses = [client.status() for client in self.clients]
        if self.is_json:
            self.print_json(statuses)
        else:
            print_statuses(self, statuses)
        return ExitCode.OK


class ConfigurationCommand(ControlCommand):
    """Prints the configuration in force."""

    name = "configuration"
    description = "Print the configuration in force there, with its version, as JSON."
    options: ClassVar[list[Option]] = [ADMIN_OPTION, JSON_OPTION]
    help = examples("balsamctl configuration > now.json")

    def handle(self) -> int:
        """Print the configuration."""
        self.print_json(self.client.configuration())
        return ExitCode.OK


class VersionWaitCommand(ControlCommand):
    """Waits until a version is in force at all daemons that were named.

    Parameters
    ----------
    transport : BaseTransport or None
        Replaces the network towards admin listeners.
    pause : callable
        Waits for a number of seconds.
    """

    name = "version wait"
    description = "Wait until a configuration version is in force."
    arguments: ClassVar[list[Argument]] = [
        argument("version", "Number of the version, or a later one.")
    ]
    options: ClassVar[list[Option]] = [
        option(
            "timeout",
            None,
            "Longest wait, in seconds.",
            flag=False,
            default=str(DEFAULT_TIMEOUT_S),
        ),
        ADMIN_OPTION,
        JSON_OPTION,
    ]
    help = examples(
        "balsamctl version wait 42",
        "balsamctl version wait 42 --timeout 10 --admin http://10.0.1.7:9180",
    )

    def __init__(
        self,
        transport: BaseTransport | None = None,
        *,
        pause: Callable[[float], None] = sleep,
    ) -> None:
        self.pause = pause
        super().__init__(transport)

    def handle(self) -> int:
        """Wait for the version."""
        wanted = int(self.number(self.argument("version"), "version"))
        timeout_s = self.number(self.option("timeout"), "--timeout")
        statuses = self._wait(wanted, monotonic() + timeout_s)
        if self.is_json:
            self.print_json(statuses)
        else:
            print_statuses(self, statuses)
        return ExitCode.OK

    def _wait(self, wanted: int, deadline: float) -> list[Status]:
        clients = self.clients
        while True:
            statuses = [client.status() for client in clients]
            late = [s.instance for s in statuses if s.version < wanted]
            if not late:
                return statuses
            if monotonic() >= deadline:
                raise CommandError(
                    f"version {wanted} is not in force at {', '.join(late)}",
                    hint="see 'balsamctl audit --kind entry' for its verdict, and "
                    "'balsamctl status' for the last entry held",
                    code=ExitCode.TIMEOUT,
                )
            self.pause(POLL_PERIOD_S)


def print_statuses(command: ControlCommand, statuses: Sequence[Status]) -> None:
    """Print a table of daemons and what each believes of its peers."""
    command.print_table(
        (
            "instance",
            "role",
            "zone",
            "state",
            "version",
            "entry",
            "lag",
            "peers",
            "flows",
            "requests",
        ),
        [_row(status) for status in statuses],
    )
    for status in statuses:
        _print_beliefs(command, status)


def _row(status: Status) -> tuple[str, ...]:
    return (
        status.instance,
        status.role,
        status.zone,
        status.state,
        str(status.version),
        str(status.entry),
        str(status.lag),
        str(status.peers),
        str(status.flows),
        str(status.requests),
    )


def _print_beliefs(command: ControlCommand, status: Status) -> None:
    if status.is_cut_off:
        command.print_line(f"  {status.instance}: takes itself to be isolated")
    if status.instance in status.readers:
        command.print_line(f"  {status.instance}: reads the platform for its zone")
    if status.marks:
        command.print_line(f"  {status.instance}: marks {', '.join(status.marks)}")
