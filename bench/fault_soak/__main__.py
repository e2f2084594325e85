"""Run the soak: ``python -m bench.fault_soak --seeds 1 2 3``."""

import subprocess
import sys
from argparse import ArgumentParser, Namespace
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from itertools import chain
from pathlib import Path
from random import SystemRandom
from shutil import rmtree
from tempfile import mkdtemp
from threading import Lock
from time import monotonic

import trio

from bench.fault_soak.soak_run import SoakOptions, SoakResult, play

__all__ = ["main"]

MAX_SEED = 1_000_000
DEFAULT_SEEDS = (1, 2, 3)


def _parse() -> Namespace:
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", nargs="*", type=int, default=[])
    parser.add_argument("--minutes", type=float, default=0.0, help="with fresh seeds")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--faults-s", type=float, default=8.0)
    parser.add_argument("--balancers", type=int, default=3)
    parser.add_argument("--targets", type=int, default=4)
    parser.add_argument("--folder", type=Path, help="keeps logs of every run")
    return parser.parse_args()


def _play_one(seed: int, options: Namespace) -> SoakResult:
    folder = options.folder / f"seed-{seed}" if options.folder else Path(mkdtemp())
    folder.mkdir(parents=True, exist_ok=True)
    run = SoakOptions(
        seed=seed,
        folder=folder,
        faults_s=options.faults_s,
        balancers=options.balancers,
        targets=options.targets,
    )
    result = trio.run(play, run)
    if not options.folder and not result.breaches:
        rmtree(folder)
    elif result.breaches:
        print(f"logs of seed {seed}: {folder}", flush=True)
    return result


def _report(result: SoakResult) -> None:
    verdict = "failed" if result.breaches else "passed"
    print(f"seed {result.seed}: {verdict}, {result.served} of {result.calls} served")
    if result.breaches:
        for line in chain(result.faults, map(str, result.breaches)):
            print(f"    {line}")
    sys.stdout.flush()


def _seeds(options: Namespace) -> Iterator[int]:
    yield from options.seeds or ([] if options.minutes else DEFAULT_SEEDS)
    until = monotonic() + options.minutes * 60
    while monotonic() < until:
        yield SystemRandom().randrange(MAX_SEED)


def _play_apart(seed: int, options: Namespace) -> int:
    """Play one seed in a process of its own, since a run has its own event loop."""
    command = [sys.executable, "-m", "bench.fault_soak", "--seeds", str(seed)]
    for name in ("faults_s", "balancers", "targets", "folder"):
        value = getattr(options, name)
        if value is not None:
            command += [f"--{name.replace('_', '-')}", str(value)]
    return subprocess.run(command, check=False).returncode


def _play_all(options: Namespace) -> int:
    """Play all seeds, some at a time, and return how many failed."""
    seeds = _seeds(options)
    lock = Lock()

    def play_in_turn(_: int) -> int:
        failed = 0
        while True:
            # An executor would draw fresh seeds far ahead of those that are played.
            with lock:
                seed = next(seeds, None)
            if seed is None:
                return failed
            failed += _play_apart(seed, options)

    with ThreadPoolExecutor(options.jobs) as pool:
        return sum(pool.map(play_in_turn, range(options.jobs)))


def main() -> int:
    """Play the seeds and return 1 if a promise was broken."""
    options = _parse()
    if len(options.seeds) == 1 and not options.minutes:
        result = _play_one(options.seeds[0], options)
        _report(result)
        return 1 if result.breaches else 0
    failed = _play_all(options)
    print(f"{failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
