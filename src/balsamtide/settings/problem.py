"""Validation errors of a settings file."""

from collections.abc import Sequence
from dataclasses import dataclass
from re import compile as compile_pattern
from typing import Self

__all__ = ["Problem", "ProblemError", "SettingsError", "quote_unless_secret"]

MAX_VALUE_CHARS = 100
# Hexadecimal keys, base64 tokens, credentials in URLs and PEM markers.
SECRET_PATTERN = compile_pattern(r"[0-9A-Fa-f]{24,}|[A-Za-z0-9+/_=-]{40,}|@|-----")


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """Description of one fault in a settings file.

    Parameters
    ----------
    file : str
        Path of the settings file.
    section, key : str
        Location; the key is empty if the problem concerns the whole section, and
        both are empty if it concerns the whole file.
    found : str
        Description of what was found, without secrets.
    allowed : str
        Description of what is allowed.
    """

    file: str
    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        location = f"[{self.section}] {self.key}".strip() if self.section else ""
        prefix = ": ".join(part for part in (self.file, location) if part)
        return f"{prefix}: found {self.found}; allowed: {self.allowed}"


class ProblemError(ValueError):
    """Exception for one `Problem`; a `SettingsError` groups them.

    Parameters
    ----------
    problem : Problem
        Description of the fault.
    """

    def __init__(self, problem: Problem) -> None:
        super().__init__(str(problem))
        self.problem = problem


class SettingsError(ExceptionGroup[ProblemError]):
    """All problems of a settings file.

    Parameters
    ----------
    problems : sequence of Problem
        At least one.
    """

    problems: tuple[Problem, ...]

    def __new__(cls, problems: Sequence[Problem]) -> Self:
        """Create a group with one `ProblemError` for each problem."""
        members = [ProblemError(problem) for problem in problems]
        group = super().__new__(cls, "the settings are invalid", members)
        group.problems = tuple(problems)
        return group

    def derive(self, excs: Sequence[ProblemError], /) -> "SettingsError":  # type: ignore[override]
        """Return a group of some members; `split` and `subgroup` call it."""
        return SettingsError([member.problem for member in excs])


def quote_unless_secret(value: str) -> str:
    """Return the quoted value for a message, or a placeholder if it may be a secret.

    Long values are truncated.
    """
    if SECRET_PATTERN.search(value):
        return "a value that is hidden because it may be a secret"
    if len(value) > MAX_VALUE_CHARS:
        return repr(value[:MAX_VALUE_CHARS]) + " (truncated)"
    return repr(value)
