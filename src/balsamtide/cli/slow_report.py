"""What `balsamctl slow` says of one service."""

from collections.abc import Iterable

from msgspec import Struct

from balsamtide.telemetry.cause import diagnose
from balsamtide.telemetry.cells import STAGES
from balsamtide.telemetry.stages import Stage
from balsamtide.telemetry.summary import (
    GroupSummary,
    RequestView,
    Summary,
    new_histogram,
    quantile_s,
)

__all__ = ["RouteTimes", "SlowReport", "StageTime", "make_report"]


class FindingLine(Struct, frozen=True):
    """One cause, in words and in numbers.

    Parameters
    ----------
    cause : str
        Identifier of the cause.
    sentence, action : str
        What was found and what to do.
    stage : str
        Where the time went; empty if attempts failed without losing time.
    scope_kind : str
        By what the requests concerned are told from the others.
    scope : tuple of str
        Its values; empty for the whole service.
    share : float
        Requests concerned, as a share of the service's requests, 0 to 1.
    lost_s : float
        Mean time lost by a request concerned, seconds.
    reason : str
        Reason of failed attempts, if they decide.
    """

    cause: str
    sentence: str
    action: str
    stage: str
    scope_kind: str
    scope: tuple[str, ...]
    share: float
    lost_s: float
    reason: str


class StageTime(Struct, frozen=True):
    """Mean time of a request in one stage, seconds.

    The baseline is weighted by the recent mix of routes, so that more long requests
    do not look like slower ones.
    """

    stage: Stage
    recent_s: float
    baseline_s: float


class RouteTimes(Struct, frozen=True):
    """Total times of the recent requests of one route, seconds."""

    route: str
    requests: int
    median_s: float
    p99_s: float
    largest_s: float


class SlowReport(Struct, frozen=True):
    """The answer to "it is slow" for one service.

    Parameters
    ----------
    service : str
        Name of the service.
    answer : str
        The first finding, or why there is none.
    findings : tuple of FindingLine
        Causes, the first one before its consequences.
    stages : tuple of StageTime
        Mean times by stage, recent and before.
    routes : tuple of RouteTimes
        Total times by route.
    slowest : tuple of RequestView
        Slowest recent requests.
    requests, baseline_requests : int
        Requests compared.
    instances, silent : tuple of str
        Agents that are contained, and agents that did not answer.
    """

    service: str
    answer: str
    findings: tuple[FindingLine, ...]
    stages: tuple[StageTime, ...]
    routes: tuple[RouteTimes, ...]
    slowest: tuple[RequestView, ...]
    requests: int
    baseline_requests: int
    instances: tuple[str, ...]
    silent: tuple[str, ...]


def make_report(summary: Summary) -> SlowReport:
    """Return the report on a merged summary."""
    diagnosis = diagnose(summary)
    return SlowReport(
        service=summary.service,
        answer=diagnosis.sentence,
        findings=tuple(
            FindingLine(
                cause=finding.kind.value,
                sentence=finding.sentence,
                action=finding.action,
                stage=finding.stage.value if finding.stage else "",
                scope_kind=finding.scope.kind.value,
                scope=finding.scope.names,
                share=finding.share,
                lost_s=finding.lost_s,
                reason=finding.reason,
            )
            for finding in diagnosis.findings
        ),
        stages=_stage_times(summary),
        routes=tuple(_route_times(summary)),
        slowest=summary.slowest,
        requests=diagnosis.requests,
        baseline_requests=diagnosis.baseline_requests,
        instances=summary.instances,
        silent=summary.silent,
    )


def _stage_times(summary: Summary) -> tuple[StageTime, ...]:
    mix = _requests_by_route(summary.recent)
    recent = _means(summary.recent, mix)
    baseline = _means(summary.baseline, mix)
    return tuple(
        StageTime(stage, recent.get(stage, 0.0), baseline.get(stage, 0.0))
        for stage in STAGES
        if stage in recent or stage in baseline
    )


def _requests_by_route(groups: Iterable[GroupSummary]) -> dict[str, int]:
    requests: dict[str, int] = {}
    for group in groups:
        route = group.key.route
        requests[route] = requests.get(route, 0) + group.count
    return requests


def _means(groups: tuple[GroupSummary, ...], mix: dict[str, int]) -> dict[Stage, float]:
    """Return mean times by stage as they would be with the routes mixed as in mix."""
    counts = _requests_by_route(groups)
    all_requests = sum(mix[route] for route in mix if route in counts)
    means: dict[Stage, float] = {}
    for group in groups:
        route = group.key.route
        if route not in mix:
            continue
        weight = mix[route] / (counts[route] * all_requests)
        for cells in group.stages:
            seconds = cells.seconds * weight
            means[cells.stage] = means.get(cells.stage, 0.0) + seconds
    return means


def _route_times(summary: Summary) -> Iterable[RouteTimes]:
    for route in summary.routes:
        histogram = new_histogram()
        histogram.decode_and_add(route.encoded)
        yield RouteTimes(
            route=route.route,
            requests=histogram.get_total_count(),
            median_s=quantile_s(histogram, 50),
            p99_s=quantile_s(histogram, 99),
            largest_s=quantile_s(histogram, 100),
        )
