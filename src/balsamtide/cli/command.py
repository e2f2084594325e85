"""What all commands of balsamctl have in common."""

from collections.abc import Iterable, Sequence
from os import environ

from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import option
from cleo.io.inputs.option import Option
from httpx import BaseTransport
from msgspec.json import encode, format

from balsamtide.cli.client import AdminClient
from balsamtide.cli.errors import CommandError, ExitCode

__all__ = ["ADMIN_OPTION", "JSON_OPTION", "ControlCommand", "examples"]

DEFAULT_ADMIN = "http://127.0.0.1:9180"
ADMIN_VARIABLE = "BALSAMCTL_ADMIN"

ADMIN_OPTION: Option = option(
    "admin",
    None,
    f"URL of an admin listener (default: ${ADMIN_VARIABLE} or {DEFAULT_ADMIN}).",
    flag=False,
    multiple=True,
)
JSON_OPTION: Option = option("json", None, "Print JSON for scripts.")


def examples(*lines: str) -> str:
    """Return the help text that shows ``lines`` as examples."""
    return "Examples:\n" + "\n".join(f"  $ {line}" for line in lines)


class ControlCommand(Command):
    """A command of balsamctl.

    Parameters
    ----------
    transport : BaseTransport or None
        Replaces the network towards admin listeners.
    """

    def __init__(self, transport: BaseTransport | None = None) -> None:
        self.transport = transport
        super().__init__()

    @property
    def is_json(self) -> bool:
        """Whether JSON was asked for."""
        return bool(self.option("json"))

    @property
    def clients(self) -> tuple[AdminClient, ...]:
        """One client for each admin listener that was named."""
        default = environ.get(ADMIN_VARIABLE, DEFAULT_ADMIN)
        urls = self.option("admin") or [default]
        return tuple(AdminClient(url, transport=self.transport) for url in urls)

    @property
    def client(self) -> AdminClient:
        """The client of the first admin listener that was named."""
        return self.clients[0]

    def number(self, text: str, name: str, *, least: float = 0.0) -> float:
        """Return ``text`` as a number.

        Raises
        ------
        CommandError
            If it is no number or less than ``least``.
        """
        try:
            value = float(text)
        except ValueError:
            value = least - 1
        if value < least:
            raise CommandError(
                f"{name} must be a number of at least {least:g}, not {text!r}",
                hint=f"see 'balsamctl {self.name} --help'",
                code=ExitCode.USAGE,
            )
        return value

    def print_json(self, value: object) -> None:
        """Print ``value`` as JSON."""
        self.io.write_line(Formatter.escape(format(encode(value)).decode()))

    def print_line(self, text: str = "") -> None:
        """Print one line as it is."""
        self.io.write_line(Formatter.escape(text))

    def print_table(
        self, headers: Sequence[str], rows: Iterable[Sequence[str]]
    ) -> None:
        """Print a table."""
        table = self.table(style="compact")
        table.set_headers([header.upper() for header in headers])
        table.set_rows([[Formatter.escape(cell) for cell in row] for row in rows])
        table.render()
