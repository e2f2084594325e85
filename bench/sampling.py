"""Slopes with their spread, from repeated samples at several sizes."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from statistics import linear_regression

from bench.figures import Figure

__all__ = ["Slope", "fit", "fit_together", "slope_figures"]

REPEATS = 5
Cost = Callable[[int], float]


@dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """A straight line through samples at several sizes.

    Parameters
    ----------
    per_unit : float
        Cost of one more unit, by the least sample of each size.
    low, high : float
        Least and greatest slope of a single round of samples.
    fixed : float
        Cost at size 0, by the least sample of each size.
    """

    per_unit: float
    low: float
    high: float
    fixed: float


def fit(cost: Cost, sizes: Sequence[int], *, repeats: int = REPEATS) -> Slope:
    """Measure ``cost`` at each size, several times over, and fit lines.

    Parameters
    ----------
    cost : callable
        Takes a size and returns its cost.
    sizes : sequence of int
        At least three sizes.
    repeats : int
        Rounds; each takes fresh samples of every size.
    """
    return fit_together({"": cost}, sizes, repeats=repeats)[""]


def fit_together(
    costs: Mapping[str, Cost], sizes: Sequence[int], *, repeats: int = REPEATS
) -> dict[str, Slope]:
    """Fit several costs, with their samples taken in turn so that noise is shared."""
    rounds: dict[str, list[list[float]]] = {name: [] for name in costs}
    for _ in range(repeats):
        for name, cost in costs.items():
            rounds[name].append([cost(size) for size in sizes])
    return {name: _slope(sizes, samples) for name, samples in rounds.items()}


def _slope(sizes: Sequence[int], rounds: Sequence[Sequence[float]]) -> Slope:
    # Other load on the machine only adds, so the least sample of a size counts.
    least = [min(samples) for samples in zip(*rounds, strict=True)]
    line = linear_regression(sizes, least)
    slopes = [linear_regression(sizes, samples).slope for samples in rounds]
    return Slope(
        per_unit=line.slope, low=min(slopes), high=max(slopes), fixed=line.intercept
    )


def slope_figures(
    name: str, slope: Slope, *, unit: str, scale: float = 1.0
) -> Iterator[Figure]:
    """Yield a slope with its least and greatest value."""
    yield Figure(name=name, figure=slope.per_unit * scale, unit=unit)
    yield Figure(name=f"{name}, least", figure=slope.low * scale, unit=unit)
    yield Figure(name=f"{name}, greatest", figure=slope.high * scale, unit=unit)
