"""The command-line tool balsamctl."""

from balsamtide.cli.errors import CommandError, ExitCode

__all__ = ["CommandError", "ExitCode"]
