"""Parsing of a settings file, with collection of all validation errors."""

from configparser import ConfigParser, DuplicateOptionError, DuplicateSectionError
from configparser import Error as ParserError
from pathlib import Path
from typing import TypeVar

from balsamtide.settings.fields import Field
from balsamtide.settings.files import InvalidFileError
from balsamtide.settings.problem import Problem, quote_unless_secret

__all__ = ["SettingsReader"]

Value = TypeVar("Value")

MAX_SETTINGS_BYTES = 1_000_000


class SettingsReader:
    """Parse a settings file, convert single settings and collect all problems.

    Parameters
    ----------
    path : Path
        Path of the settings file.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.problems: list[Problem] = []
        self.known_keys: set[tuple[str, str]] = set()
        self.listed_keys: dict[str, set[str]] = {}
        # No section provides defaults: `[DEFAULT]` is an unknown section.
        self.parser = ConfigParser(
            interpolation=None, default_section="\0", delimiters=("=",)
        )
        # Keys are case-sensitive.
        self.parser.optionxform = str  # type: ignore[assignment, method-assign]
        self.is_parsed = self._parse()

    def add_problem(self, section: str, key: str, found: str, allowed: str) -> None:
        """Add a problem; section and key are empty if it concerns the whole file."""
        problem = Problem(
            file=str(self.path), section=section, key=key, found=found, allowed=allowed
        )
        self.problems.append(problem)

    def _parse(self) -> bool:
        try:
            with self.path.open("rb") as file:
                content = file.read(MAX_SETTINGS_BYTES + 1)
            if len(content) > MAX_SETTINGS_BYTES:
                self.add_problem(
                    "",
                    "",
                    f"more than {MAX_SETTINGS_BYTES} bytes",
                    f"at most {MAX_SETTINGS_BYTES} bytes",
                )
                return False
            self.parser.read_string(content.decode("utf-8"))
        except (OSError, UnicodeDecodeError) as error:
            found = getattr(error, "strerror", None) or "content that is not UTF-8"
            self.add_problem("", "", found, "a readable INI file in UTF-8")
        except DuplicateOptionError as error:
            found = f"a duplicate key in line {error.lineno}"
            self.add_problem(
                error.section, error.option, found, "each key at most once"
            )
        except DuplicateSectionError as error:
            found = f"a duplicate section in line {error.lineno}"
            self.add_problem(error.section, "", found, "each section at most once")
        except ParserError as error:
            # A `ParsingError` lists (line number, text) in `errors`; a missing section
            # header has only `lineno`. At most 5 lines are reported.
            lines = getattr(error, "errors", None) or [(getattr(error, "lineno", 0),)]
            numbers = ", ".join(str(line[0]) for line in lines[:5])
            self.add_problem(
                "",
                "",
                f"invalid syntax in line {numbers}",
                "[SECTION], KEY = VALUE or # COMMENT",
            )
        return not self.problems

    def has_section(self, section: str) -> bool:
        """Return whether the file has a section."""
        return self.parser.has_section(section)

    def keys(self, section: str) -> list[str]:
        """Return the keys of a section, none if the section is missing."""
        return list(self.parser[section]) if self.has_section(section) else []

    def list_key(self, section: str, key: str) -> None:
        """List a key in messages on unknown keys; this makes its section known."""
        self.listed_keys.setdefault(section, set()).add(key)

    def get_text(self, section: str, key: str) -> str | None:
        """Return the text of a key, or None if it is missing; make the key known."""
        self.known_keys.add((section, key))
        self.list_key(section, key)
        return self.parser.get(section, key, fallback=None)

    def read(self, field: Field[Value], key: str = "") -> Value | None:
        """Return the value of a setting, or add a problem and return None.

        Parameters
        ----------
        field : Field
            Definition of the setting.
        key : str
            Key in the file; empty for the key of the field.
        """
        key = key or field.key
        text = self.get_text(field.section, key)
        if text is None:
            text = field.default
        if text is None:
            self.add_problem(
                field.section,
                key,
                "nothing, but the key is required",
                field.converter.allowed,
            )
            return None
        try:
            return field.converter.convert(text)
        except ValueError:
            self.add_problem(
                field.section, key, quote_unless_secret(text), field.converter.allowed
            )
            return None

    def read_path(self, field: Field[str]) -> Path | None:
        """Return the path in a setting, resolved against the file's directory."""
        found = self.read(field)
        return None if found is None else self.path.parent / found

    def add_file_problem(self, section: str, key: str, error: InvalidFileError) -> None:
        """Add a problem with the file named in a setting."""
        self.add_problem(section, key, error.found, error.allowed)

    def add_unknown_keys(self) -> None:
        """Add a problem for each unknown section and key; call after all reads."""
        for section in self.parser.sections():
            if section not in self.listed_keys:
                allowed = " or ".join(f"[{name}]" for name in sorted(self.listed_keys))
                self.add_problem(
                    section,
                    "",
                    "a section that is unknown or not for this role",
                    allowed,
                )
                continue
            allowed = ", ".join(sorted(self.listed_keys[section]))
            for key in self.keys(section):
                if (section, key) not in self.known_keys:
                    self.add_problem(section, key, "an unknown key", allowed)
