"""The command that checks a settings file."""

from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from balsamtide.cli.command import JSON_OPTION, ControlCommand, examples
from balsamtide.cli.errors import CommandError, ExitCode
from balsamtide.settings import Problem, Settings, SettingsError, load_settings

__all__ = ["SettingsCheckCommand"]


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckedSettings:
    """What a settings file says, without keys, or what is wrong with it."""

    is_valid: bool
    role: str = ""
    instance: str = ""
    region: str = ""
    zone: str = ""
    admin: str = ""
    problems: tuple[Problem, ...] = ()


class SettingsCheckCommand(ControlCommand):
    """Checks a settings file as the daemon does at its start."""

    name = "settings check"
    description = "Check a settings file and the files that it names."
    arguments: ClassVar[list[Argument]] = [argument("file", "The INI file.")]
    options: ClassVar[list[Option]] = [JSON_OPTION]
    help = examples(
        "balsamctl settings check /etc/balsamtide/agent.ini",
        "balsamctl settings check --json agent.ini",
    )

    def handle(self) -> int:
        """Check the file."""
        path = Path(self.argument("file"))
        checked = _check(path)
        if self.is_json:
            self.print_json(checked)
        elif checked.is_valid:
            self.print_line(f"{path}: valid settings of the {checked.role}")
            self.print_line(f"  {checked.instance} in {checked.zone}, {checked.region}")
        else:
            self._refuse(path, checked)
        return ExitCode.OK if checked.is_valid else ExitCode.INVALID

    def _refuse(self, path: Path, checked: CheckedSettings) -> None:
        self.print_table(
            ("section", "key", "found", "allowed"),
            [(p.section, p.key, p.found, p.allowed) for p in checked.problems],
        )
        raise CommandError(
            f"{path}: {len(checked.problems)} problems",
            hint="correct the file as the last column says; docs/settings.md lists "
            "every setting",
            code=ExitCode.INVALID,
        )


def _check(path: Path) -> CheckedSettings:
    try:
        return _valid(load_settings(path))
    except SettingsError as error:
        return CheckedSettings(is_valid=False, problems=error.problems)


def _valid(settings: Settings) -> CheckedSettings:
    return CheckedSettings(
        is_valid=True,
        role=settings.role.value,
        instance=settings.instance,
        region=settings.region,
        zone=settings.zone,
        admin=f"{settings.admin.host}:{settings.admin.port}",
    )
