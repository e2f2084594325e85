"""The commands that judge a patch before it is submitted."""

from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar, TypeVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode

from balsamtide.cli.command import (
    ADMIN_OPTION,
    JSON_OPTION,
    ControlCommand,
    examples,
)
from balsamtide.cli.errors import CommandError, ExitCode
from balsamtide.config.difference import ConfigurationChange
from balsamtide.config.patch_check import PatchReport, PatchWarning, check_patch
from balsamtide.protocol.messages import Entry, PatchOperation
from balsamtide.telemetry.admin import NumberedConfiguration

__all__ = ["PatchCheckCommand", "PatchDiffCommand"]

Document = TypeVar("Document")

AGAINST_OPTION = option(
    "against",
    None,
    "File with the configuration, as 'balsamctl configuration' prints it; without it "
    "the admin listener is asked.",
    flag=False,
)
BASE_OPTION = option(
    "base",
    None,
    "Version that the patch was written for (default: that of the configuration).",
    flag=False,
)
PATCH_ARGUMENT = argument("file", "JSON file with an RFC 6902 patch.")


class Submission(Struct, frozen=True):
    """A patch file that names its base."""

    patch: tuple[PatchOperation, ...]
    base: int | None = None
    actor: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class CheckedPatch:
    """The verdict on a patch, for scripts."""

    is_in_force: bool
    reason: str
    detail: str
    base: int
    version: int
    changes: tuple[ConfigurationChange, ...]
    warnings: tuple[PatchWarning, ...]


class PatchCommand(ControlCommand):
    """A command that reads a patch and the configuration it meets."""

    def check(self) -> CheckedPatch:
        """Return the verdict on the patch that was named."""
        submission = _read_patch(Path(self.argument("file")))
        against = self._against()
        base = self._base(submission, against)
        entry = Entry(
            number=against.entry + 1,
            base=base,
            patch=submission.patch,
            actor=submission.actor,
        )
        report = check_patch(against.configuration, against.version, entry)
        return _checked(report, base=base, version=against.version)

    def _against(self) -> NumberedConfiguration:
        path = self.option("against")
        if path is None:
            return self.client.configuration()
        return _read(Path(path), NumberedConfiguration, "configuration")

    def _base(self, submission: Submission, against: NumberedConfiguration) -> int:
        if self.option("base") is not None:
            return int(self.number(self.option("base"), "--base"))
        return against.version if submission.base is None else submission.base

    def print_verdict(self, checked: CheckedPatch) -> None:
        """Print the verdict for people."""
        if checked.is_in_force:
            self.print_line(
                f"in force: the patch on base {checked.base} holds against "
                f"version {checked.version}"
            )
        else:
            detail = f": {checked.detail}" if checked.detail else ""
            self.print_line(f"rejected ({checked.reason}){detail}")

    def exit_code(self, checked: CheckedPatch) -> int:
        """Return the exit code for a verdict."""
        return ExitCode.OK if checked.is_in_force else ExitCode.INVALID


class PatchCheckCommand(PatchCommand):
    """Says whether a patch would come into force, and what it risks."""

    name = "patch check"
    description = "Say whether a patch would come into force, and what it risks."
    arguments: ClassVar[list[Argument]] = [PATCH_ARGUMENT]
    options: ClassVar[list[Option]] = [
        AGAINST_OPTION,
        BASE_OPTION,
        ADMIN_OPTION,
        JSON_OPTION,
    ]
    help = examples(
        "balsamctl configuration > now.json",
        "balsamctl patch check drain.json --against now.json",
        "balsamctl patch check drain.json --base 41 --json",
    )

    def handle(self) -> int:
        """Check the patch."""
        checked = self.check()
        if self.is_json:
            self.print_json(checked)
            return self.exit_code(checked)
        self.print_verdict(checked)
        if checked.is_in_force:
            self.print_line(f"{len(checked.changes)} members change")
        if checked.warnings:
            self.print_table(
                ("warning", "path", "detail"),
                [(w.kind.value, w.path, w.detail) for w in checked.warnings],
            )
        return self.exit_code(checked)


class PatchDiffCommand(PatchCommand):
    """Shows what a patch would change."""

    name = "patch diff"
    description = "Show what a patch would change."
    arguments: ClassVar[list[Argument]] = [PATCH_ARGUMENT]
    options: ClassVar[list[Option]] = [
        AGAINST_OPTION,
        BASE_OPTION,
        ADMIN_OPTION,
        JSON_OPTION,
    ]
    help = examples(
        "balsamctl patch diff drain.json",
        "balsamctl patch diff drain.json --against now.json --json",
    )

    def handle(self) -> int:
        """Show the changes."""
        checked = self.check()
        if self.is_json:
            self.print_json(checked.changes)
            return self.exit_code(checked)
        if not checked.is_in_force:
            self.print_verdict(checked)
            return ExitCode.INVALID
        self.print_table(
            ("change", "path", "old", "new"),
            [
                (c.kind.value, c.path, _short(c.old), _short(c.new))
                for c in checked.changes
            ],
        )
        return ExitCode.OK


def _checked(report: PatchReport, *, base: int, version: int) -> CheckedPatch:
    evaluation = report.evaluation
    reason = evaluation.reason
    return CheckedPatch(
        is_in_force=evaluation.is_in_force,
        reason="" if reason is None else reason.value,
        detail=evaluation.detail,
        base=base,
        version=version,
        changes=report.changes,
        warnings=report.warnings,
    )


def _short(value: object) -> str:
    if value is None:
        return ""
    text = encode(value).decode()
    return text if len(text) <= 60 else f"{text[:57]}..."


def _read_patch(path: Path) -> Submission:
    try:
        operations = _read(path, tuple[PatchOperation, ...], "patch")
    except CommandError:
        return _read(path, Submission, "patch")
    return Submission(patch=operations)


def _read(path: Path, kind: type[Document], what: str) -> Document:
    try:
        return decode(path.read_bytes(), type=kind)
    except (DecodeError, ValidationError) as error:
        raise CommandError(
            f"{path} holds no {what}: {error}",
            hint="a patch is a JSON list of operations, or an object with 'patch' and "
            "'base'; a configuration is what 'balsamctl configuration' prints",
            code=ExitCode.USAGE,
        ) from error
    except OSError as error:
        raise CommandError(
            f"cannot read {path}: {error.strerror}",
            hint="check the name of the file",
            code=ExitCode.USAGE,
        ) from error
