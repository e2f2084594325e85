"""Exit codes of balsamctl and the errors that carry them."""

from enum import IntEnum

__all__ = ["CommandError", "ExitCode"]


class ExitCode(IntEnum):
    """Exit codes; scripts may rely on them."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    INVALID = 3
    UNREACHABLE = 4
    NOT_FOUND = 5
    TIMEOUT = 6


MEANINGS = {
    ExitCode.OK: "The command did what was asked.",
    ExitCode.INTERNAL: "A fault in balsamctl itself; please report it.",
    ExitCode.USAGE: "Unknown command, option or value.",
    ExitCode.INVALID: "The settings are not valid, or the patch would be rejected.",
    ExitCode.UNREACHABLE: "The admin listener did not answer.",
    ExitCode.NOT_FOUND: "What was asked for is not known there.",
    ExitCode.TIMEOUT: "It did not happen in the time allowed.",
}


class CommandError(Exception):
    """A command that could not do what was asked.

    Parameters
    ----------
    message : str
        What went wrong.
    hint : str
        What to try.
    code : ExitCode
        Exit code of the process.
    """

    def __init__(self, message: str, *, hint: str, code: ExitCode) -> None:
        super().__init__(message)
        self.message = message
        self.hint = hint
        self.code = code
