"""The command-line application."""

import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.formatters.formatter import Formatter
from cleo.io.inputs.input import Input
from cleo.io.io import IO
from cleo.io.outputs.output import Output
from httpx import BaseTransport

from balsamtide import __version__
from balsamtide.cli.errors import CommandError, ExitCode
from balsamtide.cli.patch_commands import PatchCheckCommand, PatchDiffCommand
from balsamtide.cli.request_commands import ExplainCommand, SlowCommand
from balsamtide.cli.settings_commands import SettingsCheckCommand
from balsamtide.cli.status_commands import (
    ConfigurationCommand,
    StatusCommand,
    VersionWaitCommand,
)
from balsamtide.cli.trail_commands import (
    AuditCommand,
    EventsCommand,
    MetricsListCommand,
)

__all__ = ["ControlApplication", "main"]


class ControlApplication(Application):
    """The application balsamctl, with its exit codes.

    Parameters
    ----------
    transport : BaseTransport or None
        Replaces the network towards admin listeners.
    """

    def __init__(self, transport: BaseTransport | None = None) -> None:
        super().__init__("balsamctl", __version__)
        self.set_display_name("balsamctl")
        self.auto_exits(False)
        self.catch_exceptions(False)
        for command in _commands(transport):
            self.add(command)

    def run(
        self,
        input: Input | None = None,
        output: Output | None = None,
        error_output: Output | None = None,
    ) -> int:
        """Run one command and return its exit code."""
        io = self.create_io(input, output, error_output)
        try:
            return super().run(io.input, io.output, io.error_output)
        except CommandError as error:
            _print_error(io, error.message, error.hint)
            return error.code
        except CleoError as error:
            _print_error(io, str(error).strip(), "see 'balsamctl list'")
            return ExitCode.USAGE


def main() -> int:
    """Run the command-line tool and return its exit code."""
    return ControlApplication().run()


def _commands(transport: BaseTransport | None) -> tuple[Command, ...]:
    return (
        AuditCommand(transport),
        ConfigurationCommand(transport),
        EventsCommand(transport),
        ExplainCommand(transport),
        MetricsListCommand(transport),
        PatchCheckCommand(transport),
        PatchDiffCommand(transport),
        SettingsCheckCommand(transport),
        SlowCommand(transport),
        StatusCommand(transport),
        VersionWaitCommand(transport),
    )


def _print_error(io: IO, message: str, hint: str) -> None:
    io.write_error_line(f"error: {Formatter.escape(message)}")
    io.write_error_line(f"try: {Formatter.escape(hint)}")


if __name__ == "__main__":
    sys.exit(main())
