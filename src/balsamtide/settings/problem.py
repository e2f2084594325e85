"""What is wrong with a settings file."""

from collections.abc import Sequence
from dataclasses import dataclass
from re import compile as compile_pattern
from typing import Self

__all__ = ["Problem", "ProblemError", "SettingsError", "shown"]

MAX_SHOWN_CHARS = 100
SECRET_LIKE = compile_pattern(r"[0-9A-Fa-f]{24,}|[A-Za-z0-9+/_=-]{40,}|@|-----")


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """One thing that is wrong.

    Parameters
    ----------
    file : str
        Path of the settings file.
    section, key : str
        Where; empty where the whole file or section is meant.
    found : str
        What was found, without secrets.
    allowed : str
        What is allowed.
    """

    file: str
    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        place = f"[{self.section}] {self.key}".strip() if self.section else ""
        where = ": ".join(part for part in (self.file, place) if part)
        return f"{where}: found {self.found}; allowed: {self.allowed}"


class ProblemError(ValueError):
    """One problem as a member of a `SettingsError`.

    Parameters
    ----------
    problem : Problem
        What is wrong.
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
        """Make a group with one member for each problem."""
        members = [ProblemError(problem) for problem in problems]
        group = super().__new__(cls, "the settings are invalid", members)
        group.problems = tuple(problems)
        return group

    def derive(self, excs: Sequence[ProblemError], /) -> "SettingsError":  # type: ignore[override]
        """Return a group of some of the members."""
        return SettingsError([member.problem for member in excs])


def shown(value: str) -> str:
    """Return ``value`` for a message, unless it looks like a secret."""
    if SECRET_LIKE.search(value):
        return "a value that is not shown because it may be a secret"
    if len(value) > MAX_SHOWN_CHARS:
        return repr(value[:MAX_SHOWN_CHARS]) + " and more"
    return repr(value)
