"""Service at the crest: 0.5x to 3x of capacity in a second, 20 s, and back."""

from collections.abc import Iterator

from bench.figures import Figure
from bench.load_model import (
    DEPLOYMENTS,
    Deployment,
    LoadModel,
    PolicyFactory,
    Record,
    deadline_policy,
    fifo_policy,
    percentile,
)

__all__ = ["CrestFigures", "figures", "run_crest"]

SEED = 11
CALM_LOAD = 0.5
CREST_LOAD = 3.0
RISE_AT_S = 10.0
RISE_S = 1.0
CREST_S = 20.0
AFTER_S = 9.0
BUCKET_S = 0.2
NORMAL_FACTOR = 2.0
ABNORMAL_SHARE = 0.05
CREST_FROM_S = RISE_AT_S + RISE_S
CREST_TO_S = CREST_FROM_S + CREST_S
END_S = CREST_TO_S + AFTER_S


def crest_load(now: float) -> float:
    """Return the offered load at ``now`` relative to capacity."""
    if now < RISE_AT_S or now >= CREST_TO_S:
        return CALM_LOAD
    risen = min(1.0, (now - RISE_AT_S) / RISE_S)
    return CALM_LOAD + risen * (CREST_LOAD - CALM_LOAD)


class CrestFigures:
    """What one run of the crest shows.

    Parameters
    ----------
    model : LoadModel
        The finished run.
    """

    def __init__(self, model: LoadModel) -> None:
        self.model = model

    @property
    def useful_share(self) -> float:
        """Slot time of answers in time over what the slots can do, at the crest."""
        work = sum(
            record.demand_s
            for record in self.model.records.values()
            if record.is_useful and CREST_FROM_S <= record.finished < CREST_TO_S
        )
        return work / (self.model.deployment.capacity * CREST_S)

    @property
    def refusal_p99_s(self) -> float:
        """Time to a refusal at the crest, 99th percentile."""
        refused = [r for r in self._crest() if r.is_refused]
        return percentile([r.latency_s for r in refused], 99)

    @property
    def answer_p99_s(self) -> float:
        """Time to an answer at the crest, 99th percentile."""
        answered = [r for r in self._crest() if not r.is_refused]
        return percentile([r.latency_s for r in answered], 99)

    @property
    def recovery_s(self) -> float:
        """Time after the crest until no bucket is abnormal any more."""
        calm = self.model.arrived(RISE_AT_S / 2, RISE_AT_S)
        usual = NORMAL_FACTOR * percentile([r.latency_s for r in calm], 99)
        last = 0.0
        start = CREST_TO_S
        while start < END_S - AFTER_S / 3:
            bucket = self.model.arrived(start, start + BUCKET_S)
            late = [r for r in bucket if r.is_refused or r.latency_s > usual]
            if len(late) > ABNORMAL_SHARE * len(bucket):
                last = start + BUCKET_S - CREST_TO_S
            start += BUCKET_S
        return last

    def _crest(self) -> list[Record]:
        return self.model.arrived(CREST_FROM_S, CREST_TO_S)


def run_crest(
    deployment: Deployment, policy: PolicyFactory, seed: int = SEED
) -> CrestFigures:
    """Run one crest."""
    model = LoadModel(deployment, policy, seed)
    model.offer_load(crest_load, END_S)
    model.run(END_S)
    return CrestFigures(model)


def figures() -> Iterator[Figure]:
    """Measure the crest for each deployment."""
    for deployment in DEPLOYMENTS:
        product = run_crest(deployment, deadline_policy)
        baseline = run_crest(deployment, fifo_policy)
        subject = f"crest, {deployment.name}"
        share = product.useful_share
        yield Figure(
            name=f"{subject}: useful work of what slots can do",
            figure=100 * share,
            unit="%",
            target=">= 95",
            baseline=100 * baseline.useful_share,
            met=share >= 0.95,
        )
        refusal = product.refusal_p99_s
        yield Figure(
            name=f"{subject}: refusal p99",
            figure=1000 * refusal,
            unit="ms",
            target="<= 20",
            met=refusal <= 0.02,
        )
        yield Figure(
            name=f"{subject}: answer p99",
            figure=1000 * product.answer_p99_s,
            unit="ms",
            baseline=1000 * baseline.answer_p99_s,
        )
        recovery = product.recovery_s
        yield Figure(
            name=f"{subject}: back to normal",
            figure=recovery,
            unit="s",
            target="<= 1",
            baseline=baseline.recovery_s,
            met=recovery <= 1.0,
        )
        yield Figure(
            name=f"{subject}: load reports per agent",
            figure=product.model.report_bytes / deployment.targets / END_S,
            unit="bytes/s",
            target="<= 4000",
            met=product.model.report_bytes / deployment.targets / END_S <= 4000,
        )
