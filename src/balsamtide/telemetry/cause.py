"""Names the cause of lost time from a summary, without I/O.

Every group of recent requests is compared, stage by stage, with the requests of the
same route some minutes before, on the same target where there were enough.  A stage
is found if clearly more of its requests are slow and the time lost is material.  What
counts as slow is tried at several shares of the earlier requests: a high one shows
that all requests got slower, a low one that a few stopped.  The stage is then narrowed
down to the targets, zone or version that hold the excess.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from balsamtide.telemetry.baseline import USUAL_SLOW_SHARES, Baseline, Excess
from balsamtide.telemetry.diagnosis import (
    CauseKind,
    Diagnosis,
    Finding,
    Scope,
    ScopeKind,
)
from balsamtide.telemetry.stages import Stage
from balsamtide.telemetry.summary import GroupKey, GroupSummary, Summary

__all__ = ["SILENT_REASONS", "CauseAnalysis", "diagnose"]

MIN_REQUESTS = 30
MIN_DEVIATIONS = 6.0
MIN_SLOW_REQUESTS = 8.0
MIN_SLOWDOWN = 0.1
MIN_FAILED_SHARE = 0.01
SCOPE_SHARE = 0.9
SCOPE_DEVIATIONS = 4.0
SILENT_SHARE = 0.4
CONSEQUENCE_SHARE = 0.1
SILENT_REASONS = frozenset(("connect-timeout", "peer-silent", "target-timeout"))
TIE_ORDER = (
    ScopeKind.TARGET,
    ScopeKind.BALANCER_VERSION,
    ScopeKind.VERSION,
    ScopeKind.ZONE,
)

STAGE_KINDS = {
    Stage.CALLER_PATH: CauseKind.SLOW_PATH,
    Stage.BALANCER: CauseKind.BALANCER,
    Stage.INNER_PATH: CauseKind.SLOW_PATH,
    Stage.STEERED: CauseKind.STEERING,
    Stage.HANDSHAKE: CauseKind.HANDSHAKE,
    Stage.QUEUED_SHORT: CauseKind.SHORT_QUEUE,
    Stage.QUEUED_LONG: CauseKind.LONG_QUEUE,
    Stage.QUEUED_COLD: CauseKind.COLD_START,
    Stage.QUEUED_LIMIT: CauseKind.LIMIT,
    Stage.HAND_OFF: CauseKind.HAND_OFF,
    Stage.TARGET: CauseKind.SLOW_TARGET,
    Stage.CALLER_STALL: CauseKind.SLOW_CALLER,
    Stage.LOSS_STALL: CauseKind.LOSSY_PATH,
    Stage.RETURN_PATH: CauseKind.SLOW_PATH,
    Stage.UNEXPLAINED: CauseKind.UNEXPLAINED,
}
WORK_STAGES = (Stage.TARGET, Stage.QUEUED_LONG, Stage.QUEUED_COLD)
CONSEQUENCES: dict[Stage, tuple[Stage, ...]] = {
    Stage.QUEUED_SHORT: WORK_STAGES,
    Stage.QUEUED_LIMIT: WORK_STAGES,
    Stage.HAND_OFF: (*WORK_STAGES, Stage.INNER_PATH),
    Stage.RETURN_PATH: (Stage.LOSS_STALL,),
    Stage.CALLER_PATH: (Stage.LOSS_STALL,),
    Stage.CALLER_STALL: (Stage.LOSS_STALL,),
    Stage.HANDSHAKE: (Stage.LOSS_STALL, Stage.INNER_PATH),
}
DIMENSIONS: dict[ScopeKind, Callable[[GroupKey], str | int]] = {
    ScopeKind.TARGET: lambda key: key.target,
    ScopeKind.ZONE: lambda key: key.zone,
    ScopeKind.VERSION: lambda key: key.version,
    ScopeKind.BALANCER_VERSION: lambda key: key.balancer_version,
}


@dataclass(frozen=True, slots=True)
class Row:
    """A recent group with its excess in the stage looked at."""

    group: GroupSummary
    excess: Excess


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A scope that holds the excess."""

    scope: Scope
    requests: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StageFinding:
    """A finding with what ranks it."""

    finding: Finding
    slowdown: float
    deviations: float


def diagnose(summary: Summary) -> Diagnosis:
    """Compare the recent requests of ``summary`` with its baseline."""
    return CauseAnalysis(summary).diagnose()


class CauseAnalysis:
    """The comparison of one summary's two windows.

    Parameters
    ----------
    summary : Summary
        Merged summary of a service.
    """

    def __init__(self, summary: Summary) -> None:
        self.summary = summary
        self.baseline = Baseline(summary.baseline)
        self.requests = sum(group.count for group in summary.recent)

    def diagnose(self) -> Diagnosis:
        """Return the findings, causes before their consequences."""
        is_comparable = min(self.requests, self.baseline.requests) >= MIN_REQUESTS
        return Diagnosis(
            service=self.summary.service,
            findings=self._findings() if is_comparable else (),
            requests=self.requests,
            baseline_requests=self.baseline.requests,
            is_comparable=is_comparable,
            silent=self.summary.silent,
        )

    def _findings(self) -> tuple[Finding, ...]:
        found = [
            finding
            for finding in (self._look_at(stage) for stage in Stage)
            if finding is not None
        ]
        ranked = [item.finding for item in sorted(found, key=_rank(found))]
        reasons = {finding.reason for finding in ranked}
        failures = [f for f in self._failures() if f.reason not in reasons]
        return (*ranked, *failures)

    def _rows(self, stage: Stage, usual_share: float) -> list[Row]:
        rows = []
        for group in self.summary.recent:
            reference = self.baseline.reference(group)
            if reference is not None:
                rows.append(Row(group, reference.excess(group, stage, usual_share)))
        return rows

    def _look_at(self, stage: Stage) -> StageFinding | None:
        found = [
            finding
            for share in USUAL_SLOW_SHARES
            if (finding := self._compare(stage, share)) is not None
        ]
        return max(found, key=lambda item: item.deviations, default=None)

    def _compare(self, stage: Stage, usual_share: float) -> StageFinding | None:
        rows = self._rows(stage, usual_share)
        scope = self._narrow(rows)
        inside = [row for row in rows if _is_in(scope, row.group.key)]
        excess = Excess.total(row.excess for row in inside)
        if not _is_found(excess):
            return None
        reason = self._silent_reason(inside, excess)
        finding = Finding(
            kind=self._kind(stage, scope, reason),
            stage=stage,
            scope=scope,
            share=min(1.0, excess.count / self.requests),
            lost_s=_lost_each_s(inside),
            reason=reason,
        )
        return StageFinding(
            finding=finding, slowdown=excess.slowdown, deviations=excess.deviations
        )

    def _narrow(self, rows: list[Row]) -> Scope:
        candidates = [
            candidate
            for kind in TIE_ORDER
            if (candidate := _candidate(kind, rows)) is not None
        ]
        if not candidates:
            return Scope(ScopeKind.SERVICE)
        best = min(candidates, key=lambda c: (len(c.scope.names), c.requests))
        return best.scope

    def _kind(self, stage: Stage, scope: Scope, reason: str) -> CauseKind:
        if reason:
            return CauseKind.SILENT_CONNECTION
        if self._is_stale(scope):
            return CauseKind.STALE_VERSION
        kind = STAGE_KINDS[stage]
        if kind is CauseKind.SLOW_PATH and scope.kind is ScopeKind.ZONE:
            return CauseKind.FAR_ZONE
        return kind

    def _is_stale(self, scope: Scope) -> bool:
        if scope.kind not in (ScopeKind.VERSION, ScopeKind.BALANCER_VERSION):
            return False
        value = DIMENSIONS[scope.kind]
        newest = max(int(value(group.key)) for group in self.summary.recent)
        return all(int(name) < newest for name in scope.names)

    def _silent_reason(self, rows: Iterable[Row], excess: Excess) -> str:
        counts = _reason_counts(row.group for row in rows)
        silent = {r: n for r, n in counts.items() if r in SILENT_REASONS}
        if sum(silent.values()) < SILENT_SHARE * excess.count:
            return ""
        return max(silent, key=lambda reason: silent[reason])

    def _failures(self) -> Iterable[Finding]:
        before = _reason_counts(self.summary.baseline)
        for reason, number in _reason_counts(self.summary.recent).items():
            usual = (before.get(reason, 0) + 0.5) / (self.baseline.requests + 1)
            excess = Excess(
                count=number - self.requests * usual,
                variance=self.requests * usual,
                seconds=0.0,
                requests=self.requests,
                slowdown=0.0,
            )
            if _is_failure(excess):
                is_silent = reason in SILENT_REASONS
                yield Finding(
                    kind=(
                        CauseKind.SILENT_CONNECTION if is_silent else CauseKind.FAILURES
                    ),
                    stage=None,
                    scope=Scope(ScopeKind.SERVICE),
                    share=min(1.0, excess.count / self.requests),
                    lost_s=0.0,
                    reason=reason,
                )


def _lost_each_s(rows: Iterable[Row]) -> float:
    slower = Excess.total(row.excess for row in rows if row.excess.count > 0)
    return max(0.0, slower.seconds / slower.count)


def _is_found(excess: Excess) -> bool:
    return (
        excess.deviations >= MIN_DEVIATIONS
        and excess.count >= MIN_SLOW_REQUESTS
        and excess.slowdown >= MIN_SLOWDOWN * excess.requests
    )


def _is_failure(excess: Excess) -> bool:
    return (
        excess.deviations >= MIN_DEVIATIONS
        and excess.count >= MIN_SLOW_REQUESTS
        and excess.count >= MIN_FAILED_SHARE * excess.requests
    )


def _is_in(scope: Scope, key: GroupKey) -> bool:
    if scope.kind is ScopeKind.SERVICE:
        return True
    return str(DIMENSIONS[scope.kind](key)) in scope.names


def _candidate(kind: ScopeKind, rows: list[Row]) -> Candidate | None:
    parts: dict[str, list[Excess]] = {}
    for row in rows:
        name = str(DIMENSIONS[kind](row.group.key))
        parts.setdefault(name, []).append(row.excess)
    totals = {name: Excess.total(excesses) for name, excesses in parts.items()}
    total = Excess.total(totals.values())
    if total.count <= 0:
        return None
    names: list[str] = []
    count, requests = 0.0, 0
    for name in sorted(totals, key=lambda name: totals[name].count, reverse=True):
        if count >= SCOPE_SHARE * total.count:
            break
        names.append(name)
        count += totals[name].count
        requests += totals[name].requests
    if len(names) > len(totals) // 2:
        return None
    if not _is_concentrated(count, total.count, requests / total.requests):
        return None
    return Candidate(scope=Scope(kind, tuple(sorted(names))), requests=requests)


def _is_concentrated(count: float, total: float, request_share: float) -> bool:
    expected = total * request_share
    deviation = (expected * (1 - request_share)) ** 0.5
    return count - expected > SCOPE_DEVIATIONS * deviation


def _reason_counts(groups: Iterable[GroupSummary]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for group in groups:
        for item in group.reasons:
            counts[item.reason] = counts.get(item.reason, 0) + item.count
    return counts


def _rank(found: list[StageFinding]) -> Callable[[StageFinding], tuple[bool, float]]:
    by_stage = {item.finding.stage: item for item in found}

    def rank(item: StageFinding) -> tuple[bool, float]:
        stage = item.finding.stage
        causes = CONSEQUENCES.get(stage, ()) if stage else ()
        is_consequence = any(
            by_stage[cause].slowdown >= CONSEQUENCE_SHARE * item.slowdown
            for cause in causes
            if cause in by_stage
        )
        return is_consequence, -item.slowdown

    return rank
