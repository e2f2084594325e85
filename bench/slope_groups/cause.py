"""How often a cause is still named when its fault is weaker."""

from collections.abc import Iterator

from balsamtide.telemetry.cause import diagnose
from bench.figures import Figure
from bench.standins.request_records import FAULTS, make_fault, summarise

__all__ = ["figures"]

FIRST_SEED = 700
SEEDS = 8
STRENGTHS = (0.5, 0.25, 0.125)


def figures() -> Iterator[Figure]:
    """Yield the share of runs with the right cause, by fault and strength."""
    for name in FAULTS:
        for strength in STRENGTHS:
            yield _named_share(name, strength)


def _named_share(name: str, strength: float) -> Figure:
    seeds = range(FIRST_SEED, FIRST_SEED + SEEDS)
    right = sum(_is_named(name, seed, strength) for seed in seeds)
    return Figure(
        name=f"cause: {name} at {strength:g} of its strength",
        figure=100 * right / SEEDS,
        unit="% of runs",
    )


def _is_named(name: str, seed: int, strength: float) -> bool:
    fault = make_fault(name, seed, strength=strength)
    findings = diagnose(summarise(seed, fault)).findings
    if not findings:
        return False
    return findings[0].kind is fault.kind and findings[0].scope == fault.scope
