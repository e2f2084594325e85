"""Tests of balsamctl against an admin listener in memory."""

from itertools import count
from pathlib import Path
from re import findall

import pytest
from cleo.testers.application_tester import ApplicationTester
from msgspec.json import decode, encode

from balsamtide.cli.application import ControlApplication
from balsamtide.cli.errors import ExitCode
from balsamtide.cli.status_commands import print_statuses
from balsamtide.telemetry.status import Status
from bench.standins.request_records import make_fault, summarise
from examples.make_keys import write_keys
from tests.fakes_admin import CONFIGURATION, make_admin, run_command

COMMANDS = sorted(
    name
    for name in ControlApplication().all()
    if name not in ("help", "list", "completions")
)
EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "balancer.ini"
STATE = "/services/timetable/targets/timetable-1/state"
DRAIN = f'[{{"op":"replace","path":"{STATE}","value":"%s"}}]'


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        ("status", "agent-1"),
        ("status --admin http://a --admin http://b", "agent-1"),
        ("version wait 7", "ready"),
        ("explain r1", "30.0 ms 75%"),
        ("explain r1", "attempt 1: timetable-2 not-run full"),
        ("slow --service timetable", "too few requests to compare"),
        ("slow --service timetable --admin http://a --admin http://b", "few requests"),
        ("audit", "started <now>"),
        ("audit --kind drain --since 2020-01-01", "drain"),
        ("events --number 799", "peer=agent-2"),
        ("metrics list", "balsamtide_request_duration_seconds"),
        ("configuration", '"version": 7'),
        ("completions bash", "version wait"),
    ],
)
def test_commands_answer_people(arguments: str, expected: str) -> None:
    """Each command prints what it found."""
    run = run_command(arguments)
    assert (run.code, run.error) == (ExitCode.OK, "")
    assert expected in run.output


@pytest.mark.parametrize(
    "arguments",
    [
        "status --json",
        "version wait 7 --json",
        "explain r1 --json",
        "slow --service timetable --json",
        "audit --json",
        "events --json",
        "metrics list --json",
        "configuration",
    ],
)
def test_commands_answer_scripts(arguments: str) -> None:
    """Each command prints valid JSON and nothing else."""
    run = run_command(arguments)
    assert run.code == ExitCode.OK
    assert decode(run.output)


@pytest.mark.parametrize(
    ("arguments", "code", "hint"),
    [
        ("explain unknown", ExitCode.NOT_FOUND, "ask an agent of its service"),
        ("slow --service export", ExitCode.NOT_FOUND, "--admin"),
        ("slow", ExitCode.USAGE, "--service NAME"),
        ("slow --service timetable --html /no/where", ExitCode.USAGE, "directory"),
        ("version wait 9 --timeout 0", ExitCode.TIMEOUT, "audit --kind entry"),
        ("version wait soon", ExitCode.USAGE, "version wait --help"),
        ("audit --since noon", ExitCode.USAGE, "10m"),
        ("patch check /no/file", ExitCode.USAGE, "name of the file"),
        ("status --nonsense", ExitCode.USAGE, "balsamctl list"),
        ("nonsense", ExitCode.USAGE, "balsamctl list"),
    ],
)
def test_errors_say_what_to_try(arguments: str, code: ExitCode, hint: str) -> None:
    """A command that fails has its own exit code and says what to try."""
    run = run_command(arguments)
    assert run.code == code
    assert run.error.startswith("error: ")
    assert hint in run.error.split("try: ")[1]


def test_unreachable_listener_is_told_from_other_errors() -> None:
    """Where nothing listens, the exit code says so and names the option."""
    application = ControlApplication()
    tester = ApplicationTester(application)
    assert tester.execute("status --admin http://127.0.0.1:1") == ExitCode.UNREACHABLE
    assert "--admin" in tester.io.fetch_error()


def test_version_wait_polls_until_in_force() -> None:
    """Waiting ends with the first status that has the version."""
    versions = count(5)
    run = run_command("version wait 7", make_admin(version=lambda: next(versions)))
    assert run.code == ExitCode.OK
    assert next(versions) == 8


def test_page_draws_within_its_frame(tmp_path: Path) -> None:
    """Bars and marks of the page lie inside the drawing, and bars have their length."""
    page = tmp_path / "slow.html"
    admin = make_admin(summarise(1, make_fault("queue behind exports", 1)))
    run_command(f"slow --service timetable --html {page}", admin)
    drawings = findall(r'viewBox="0 0 (\d+) (\d+)"(.*?)</svg>', page.read_text())
    assert len(drawings) == 2
    for width, height, content in drawings:
        boxes = findall(
            r'<rect x="([\d.]+)" y="([\d.]+)" width="([\d.]+)" height="(\d+)"', content
        )
        boxes += findall(r'<circle cx="([\d.]+)" cy="([\d.]+)" (r)="(\d+)"', content)
        assert boxes
        for left, top, size, depth in boxes:
            right = float(left) + (0 if size == "r" else float(size))
            assert right < float(width)
            assert float(top) + float(depth) <= float(height)


@pytest.mark.parametrize("name", COMMANDS)
def test_help_shows_an_example(name: str) -> None:
    """Every command's help has an example that names the command."""
    run = run_command(f"{name} --help")
    assert f"$ balsamctl {name}" in run.output


@pytest.mark.parametrize(
    ("patch", "options", "code", "expected"),
    [
        (DRAIN % "draining", "", ExitCode.OK, "in force"),
        (DRAIN % "disabled", "", ExitCode.OK, "cuts-flows"),
        (DRAIN % "asleep", "", ExitCode.INVALID, "rejected"),
        (DRAIN % "draining", "--base 99", ExitCode.INVALID, "rejected"),
        ('{"base":7,"patch":%s}' % (DRAIN % "draining"), "", ExitCode.OK, "base 7"),
        ("{}", "", ExitCode.USAGE, ""),
    ],
)
@pytest.mark.parametrize("is_offline", [True, False])
def test_patch_check_gives_the_daemons_verdict(
    tmp_path: Path,
    patch: str,
    options: str,
    code: ExitCode,
    expected: str,
    is_offline: bool,
) -> None:
    """A patch is judged alike against a file and against a listener."""
    file, against = tmp_path / "patch.json", tmp_path / "now.json"
    file.write_text(patch)
    against.write_bytes(encode(CONFIGURATION))
    source = f"--against {against}" if is_offline else ""
    run = run_command(f"patch check {file} {options} {source}")
    assert run.code == code
    assert expected in run.output


def test_patch_diff_shows_old_and_new(tmp_path: Path) -> None:
    """A difference names the member with its old and its new value."""
    file = tmp_path / "patch.json"
    file.write_text(DRAIN % "draining")
    run = run_command(f"patch diff {file}")
    line = next(line for line in run.output.splitlines() if "changed" in line)
    assert line.split() == [
        "changed",
        STATE,
        '"active"',
        '"draining"',
    ]


def test_slow_names_the_cause_and_writes_the_page(tmp_path: Path) -> None:
    """The command and its page both name an injected cause, with text escaped."""
    fault = make_fault("zone far away", 1)
    admin = make_admin(summarise(1, fault))
    page = tmp_path / "slow.html"
    run = run_command(f"slow --service timetable --html {page}", admin)
    assert run.code == ExitCode.OK
    assert f"zone {fault.scope.names[0]}" in run.output
    text = page.read_text()
    assert f"zone {fault.scope.names[0]}" in text
    assert "started &lt;now&gt;" in text
    assert "<script" not in text
    assert "http" not in text


@pytest.mark.parametrize(
    ("change", "code", "expected"),
    [
        (("", ""), ExitCode.OK, "valid settings of the balancer"),
        (("zone = zone-a", "zone = "), ExitCode.INVALID, "zone"),
        (("7103", "70000"), ExitCode.INVALID, "admin"),
    ],
)
@pytest.mark.parametrize("is_json", [True, False])
def test_settings_check_lists_all_problems(
    tmp_path: Path,
    change: tuple[str, str],
    code: ExitCode,
    expected: str,
    is_json: bool,
) -> None:
    """A settings file is checked as the daemon does, with the files it names."""
    write_keys(tmp_path / "keys")
    file = tmp_path / "balancer.ini"
    file.write_text(EXAMPLE.read_text().replace(*change))
    run = run_command(f"settings check {file}" + " --json" * is_json)
    assert run.code == code
    if is_json:
        assert decode(run.output)["is_valid"] is (code == ExitCode.OK)
    else:
        assert expected in run.output


@pytest.mark.parametrize(
    ("status", "line"),
    [
        ({"readers": ("agent-1",)}, "agent-1: reads the platform"),
        ({"marks": ("agent-9 suspect",)}, "agent-1: marks agent-9 suspect"),
        ({"is_cut_off": True}, "agent-1: takes itself to be isolated"),
    ],
)
def test_status_tells_what_a_daemon_believes(status, line):
    """Readers, believed marks and isolation are told below the table."""
    lines = []

    class Printer:
        """Collects what is printed."""

        def print_table(self, header, rows):
            """Keep the table."""
            lines.append(" ".join(header))

        def print_line(self, text):
            """Keep a line."""
            lines.append(text)

    known = Status(
        instance="agent-1",
        role="agent",
        region="r",
        zone="z",
        state="ready",
        version=3,
        entry=4,
        **status,
    )
    print_statuses(Printer(), [known])
    assert any(line in text for text in lines)
    assert "lag peers" in lines[0]
