"""Reads single settings and collects what is wrong with them."""

from configparser import ConfigParser, DuplicateOptionError, DuplicateSectionError
from configparser import Error as ParserError
from pathlib import Path
from typing import TypeVar

from balsamtide.settings.fields import Field
from balsamtide.settings.files import FileFault
from balsamtide.settings.problem import Problem, shown

__all__ = ["Reader"]

Value = TypeVar("Value")

MAX_SETTINGS_BYTES = 1_000_000


class Reader:
    """A settings file with the problems found so far.

    Parameters
    ----------
    path : Path
        The file.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.problems: list[Problem] = []
        self.used: set[tuple[str, str]] = set()
        self.allowed: dict[str, set[str]] = {}
        self.parser = ConfigParser(
            interpolation=None, default_section="\0", delimiters=("=",)
        )
        self.parser.optionxform = str  # type: ignore[assignment, method-assign]
        self.is_parsed = self._parse()

    def add(self, section: str, key: str, found: str, allowed: str) -> None:
        """Note a problem."""
        problem = Problem(
            file=str(self.path), section=section, key=key, found=found, allowed=allowed
        )
        self.problems.append(problem)

    def _parse(self) -> bool:
        try:
            with self.path.open("rb") as file:
                octets = file.read(MAX_SETTINGS_BYTES + 1)
            if len(octets) > MAX_SETTINGS_BYTES:
                self.add("", "", f"more than {MAX_SETTINGS_BYTES} octets", "less")
                return False
            self.parser.read_string(octets.decode("utf-8"))
        except (OSError, UnicodeDecodeError) as error:
            found = getattr(error, "strerror", None) or "octets that are not UTF-8"
            self.add("", "", found, "a readable INI file in UTF-8")
        except DuplicateOptionError as error:
            found = f"the key again in line {error.lineno}"
            self.add(error.section, error.option, found, "each key once")
        except DuplicateSectionError as error:
            found = f"the section again in line {error.lineno}"
            self.add(error.section, "", found, "each section once")
        except ParserError as error:
            lines = getattr(error, "errors", None) or [(getattr(error, "lineno", 0),)]
            numbers = ", ".join(str(line[0]) for line in lines[:5])
            self.add("", "", f"line {numbers}", "[SECTION], KEY = VALUE or # COMMENT")
        return not self.problems

    def has(self, section: str) -> bool:
        """Tell whether the file has a section."""
        return self.parser.has_section(section)

    def keys(self, section: str) -> list[str]:
        """Return the keys of a section; it need not be there."""
        return list(self.parser[section]) if self.has(section) else []

    def allow(self, section: str, key: str) -> None:
        """Note what a section may hold, for messages."""
        self.allowed.setdefault(section, set()).add(key)

    def text(self, section: str, key: str) -> str | None:
        """Return the text of a key, None if it is missing."""
        self.used.add((section, key))
        self.allow(section, key)
        return self.parser.get(section, key, fallback=None)

    def take(self, field: Field[Value], key: str = "") -> Value | None:
        """Return the value of a setting, None after noting a problem with it.

        Parameters
        ----------
        field : Field
            The setting.
        key : str
            The key, where it is not that of the field.
        """
        key = key or field.key
        found = self.text(field.section, key)
        if found is None:
            found = field.default
        if found is None:
            self.add(field.section, key, "nothing", field.converter.allowed)
            return None
        try:
            return field.converter.convert(found)
        except ValueError:
            self.add(field.section, key, shown(found), field.converter.allowed)
            return None

    def take_path(self, field: Field[str]) -> Path | None:
        """Return the path that a setting names, relative to the settings file."""
        found = self.take(field)
        return None if found is None else self.path.parent / found

    def add_file(self, section: str, key: str, fault: FileFault) -> None:
        """Note a problem with a file that a setting names."""
        self.add(section, key, fault.found, fault.allowed)

    def add_unused(self) -> None:
        """Note all sections and keys that nobody asked for."""
        for section in self.parser.sections():
            if section not in self.allowed:
                allowed = " or ".join(f"[{name}]" for name in sorted(self.allowed))
                self.add(section, "", "a section that does not belong here", allowed)
                continue
            allowed = ", ".join(sorted(self.allowed[section]))
            for key in self.keys(section):
                if (section, key) not in self.used:
                    self.add(section, key, "an unknown key", allowed)
