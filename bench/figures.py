"""Figures with their targets, printed as a table and written as JSON."""

from argparse import ArgumentParser
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass
from importlib import import_module
from json import dump
from pathlib import Path
from pkgutil import iter_modules
from types import ModuleType

__all__ = ["Figure", "main", "print_table"]

Measure = Callable[[], Iterable["Figure"]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """One measured figure.

    Parameters
    ----------
    name : str
        What was measured, with the subject first, as ``"epidemic: last member"``.
    figure : float
        The value.
    unit : str
        Its unit.
    target : str
        The stated target such as ``"<= 4"``, empty if there is none.
    baseline : float or None
        The same figure for the baseline in the same run.
    met : bool or None
        Whether the target is met; None without a target.
    """

    name: str
    figure: float
    unit: str
    target: str = ""
    baseline: float | None = None
    met: bool | None = None


def _format(value: float | None) -> str:
    return "" if value is None else f"{value:.4g}"


def print_table(figures: Sequence[Figure]) -> None:
    """Print figures as a table."""
    print(
        f"{'measure':58} {'figure':>10} {'unit':12} {'target':>10} {'baseline':>10} met"
    )
    for row in figures:
        met = {True: "yes", False: "NO", None: ""}[row.met]
        print(
            f"{row.name:58} {_format(row.figure):>10} {row.unit:12} "
            f"{row.target:>10} {_format(row.baseline):>10} {met}",
            flush=True,
        )


def _modules(package: ModuleType, wanted: Sequence[str]) -> list[ModuleType]:
    names = [module.name for module in iter_modules(package.__path__)]
    unknown = set(wanted) - set(names)
    if unknown:
        raise SystemExit(f"unknown: {sorted(unknown)}; there are: {sorted(names)}")
    return [
        import_module(f"{package.__name__}.{name}")
        for name in sorted(names)
        if not wanted or name in wanted
    ]


def main(package: ModuleType) -> int:
    """Run the modules of ``package`` named on the command line, or all of them."""
    parser = ArgumentParser(description=package.__doc__)
    parser.add_argument("modules", nargs="*", help="modules to run, all by default")
    parser.add_argument("--json", type=Path, help="also write the figures here")
    options = parser.parse_args()
    figures: list[Figure] = []
    for module in _modules(package, options.modules):
        rows = list(module.figures())
        print_table(rows)
        figures.extend(rows)
    if options.json:
        with options.json.open("w") as file:
            dump([asdict(row) for row in figures], file, indent=2)
    return 0
