"""Check every model in this folder and every mutant of it.

``python -m spec.run`` generates a verifier with spin for each check, compiles it with
gcc and searches the whole state space.  A model passes if the search was exhaustive
and found no error; a mutant passes if the search found the violation it stands for.
"""

import re
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from os import geteuid
from pathlib import Path
from shutil import which
from tempfile import TemporaryDirectory
from time import perf_counter

from spec.checks import CHECKS, Check

FOLDER = Path(__file__).parent
WORKERS = 4
MEMORY_LIMIT_MB = 2000
DEPTH_LIMIT = 4_000_000
HASH_TABLE_BITS = 22
SEARCH_TIMEOUT_S = 600
TRAIL_LINES = 60
INCOMPLETE = ("max search depth too small", "Search not completed")


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What one search found.

    Parameters
    ----------
    check : Check
        What was checked.
    states : int
        States stored.
    seconds : float
        Time of the search, without generation and compilation.
    failure : str
        Why the check failed, empty if it passed.
    """

    check: Check
    states: int = 0
    seconds: float = 0.0
    failure: str = ""


def _command(arguments: Sequence[str], folder: Path) -> str:
    done = subprocess.run(
        arguments,
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=SEARCH_TIMEOUT_S,
        check=False,
    )
    return done.stdout + done.stderr


def _build(check: Check, folder: Path) -> str:
    macros = [f"-D{macro}" for macro in check.macros]
    model = FOLDER / f"{check.model}.pml"
    output = _command(["spin", "-a", *macros, str(model)], folder)
    mode = ["-DNFAIR=3"] if check.is_liveness else ["-DSAFETY", "-DNOCLAIM"]
    limit = f"-DMEMLIM={MEMORY_LIMIT_MB}"
    build = ["gcc", "-w", "-O2", *mode, limit, "-o", "pan", "pan.c"]
    return output + _command(build, folder)


def _search(check: Check, folder: Path) -> str:
    mode = ["-a", "-f"] if check.is_liveness else []
    limits = [f"-m{DEPTH_LIMIT}", f"-w{HASH_TABLE_BITS}"]
    return _command(["./pan", *mode, *limits], folder)


def _trail(check: Check, folder: Path) -> str:
    macros = [f"-D{macro}" for macro in check.macros]
    trails = [str(path) for path in folder.glob("*.trail")]
    if not trails:
        return ""
    model = str(FOLDER / f"{check.model}.pml")
    replay = ["spin", "-t", "-p", *macros, "-k", trails[0], model]
    return "\n".join(_command(replay, folder).splitlines()[-TRAIL_LINES:])


def _failure(check: Check, output: str) -> str:
    errors = re.search(r"errors: (\d+)", output)
    if errors is None:
        return f"no search: {output[-500:]}"
    reports = [line for line in output.splitlines() if line.startswith("pan:")]
    if check.violations:
        texts = [report.replace(" ", "") for report in reports]
        wanted = [violation.replace(" ", "") for violation in check.violations]
        is_found = any(w in text for w in wanted for text in texts)
        return "" if is_found else "the violation was not found"
    if errors[1] != "0":
        return "; ".join(reports)
    cut_short = [text for text in INCOMPLETE if text in output]
    return "; ".join(cut_short)


def run(check: Check) -> Result:
    """Run one check in a temporary folder."""
    with TemporaryDirectory(prefix="balsamtide-spec-") as name:
        folder = Path(name)
        built = _build(check, folder)
        if not (folder / "pan").exists():
            return Result(check=check, failure=f"no verifier: {built}")
        start = perf_counter()
        output = _search(check, folder)
        seconds = perf_counter() - start
        failure = _failure(check, output)
        if failure:
            failure += "\n" + _trail(check, folder)
    states = re.search(r"(\d+) states, stored", output)
    return Result(
        check=check,
        states=int(states[1]) if states else 0,
        seconds=seconds,
        failure=failure,
    )


def _ensure_spin() -> None:
    if which("spin") is None:
        sudo = [] if geteuid() == 0 else ["sudo", "-n"]
        for arguments in (["update"], ["install", "-y", "spin"]):
            subprocess.run([*sudo, "apt-get", *arguments], check=False)
    missing = [tool for tool in ("spin", "gcc") if which(tool) is None]
    if missing:
        raise SystemExit(
            f"{' and '.join(missing)} not found: the models need the packages spin and "
            "gcc (apt-get install -y spin gcc)"
        )


def _print(result: Result) -> None:
    kind = "mutant" if result.check.violations else "model"
    verdict = "FAILED" if result.failure else "passed"
    print(
        f"{result.check.name:40} {kind:7} {result.check.properties:45} "
        f"{result.states:>9} {result.seconds:>7.1f} {verdict}",
        flush=True,
    )
    if result.failure:
        print(result.failure, flush=True)


def main() -> int:
    """Run all checks and return the exit code."""
    _ensure_spin()
    print(
        f"{'check':40} {'kind':7} {'properties':45} {'states':>9} {'seconds':>7} result"
    )
    with ThreadPoolExecutor(WORKERS) as pool:
        results = []
        for result in pool.map(run, CHECKS):
            _print(result)
            results.append(result)
    failed = sum(bool(result.failure) for result in results)
    print(f"{len(results) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
