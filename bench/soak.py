"""Run the property-based tests for longer: ``python -m bench.soak --seeds 1 2 3``."""

import subprocess
import sys
from argparse import ArgumentParser
from collections.abc import Sequence
from os import environ

__all__ = ["main"]

EXAMPLES_VARIABLE = "BALSAMTIDE_SOAK_EXAMPLES"
DEFAULT_EXAMPLES = 2000
DEFAULT_SEEDS = (1, 2, 3)


def _run(seed: int, examples: int, workers: int, paths: Sequence[str]) -> bool:
    command = [
        sys.executable,
        "-m",
        "pytest",
        f"-n{workers}",
        "--hypothesis-profile=soak",
        f"--hypothesis-seed={seed}",
        "-m",
        "not processes",
        *paths,
    ]
    environment = {**environ, EXAMPLES_VARIABLE: str(examples)}
    return subprocess.run(command, env=environment, check=False).returncode == 0


def main() -> int:
    """Run the tests once for each seed and return the exit code."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("paths", nargs="*", default=["tests"])
    parser.add_argument("--seeds", nargs="+", type=int, default=DEFAULT_SEEDS)
    parser.add_argument("--examples", type=int, default=DEFAULT_EXAMPLES)
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args()
    failed = []
    for seed in options.seeds:
        print(f"seed {seed}, {options.examples} examples a property", flush=True)
        if not _run(seed, options.examples, options.workers, options.paths):
            failed.append(seed)
    print(f"{len(options.seeds) - len(failed)} seeds passed, {len(failed)} failed")
    if failed:
        print(f"failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
