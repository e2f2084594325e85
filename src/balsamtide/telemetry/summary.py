"""Mergeable summaries of the recent requests of one service."""

from collections.abc import Iterable, Sequence
from heapq import nlargest
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from balsamtide.protocol.verdict import Verdict
from balsamtide.telemetry.cells import STAGES, Cells, StageCells
from balsamtide.telemetry.records import RequestRecord
from balsamtide.telemetry.stages import Stage

__all__ = [
    "Group",
    "GroupKey",
    "GroupSummary",
    "RequestView",
    "RouteHistogram",
    "Summary",
    "merge",
    "new_histogram",
    "quantile_s",
]

MAX_GROUPS = 24
MAX_SLOWEST = 10
MAX_REASONS = 8
MAX_ROUTES = 12
OTHER = "other"
HISTOGRAM_UNIT_S = 0.0001
HISTOGRAM_LARGEST_UNITS = 36_000_000
HISTOGRAM_DIGITS = 1
HISTOGRAM_WORD_BYTES = 4


class GroupKey(NamedTuple):
    """What the requests of one group have in common."""

    route: str
    target: str
    zone: str
    version: int
    balancer_version: int


OTHER_KEY = GroupKey(OTHER, OTHER, OTHER, 0, 0)


class ReasonCount(Struct, frozen=True, array_like=True):
    """Attempts that failed for one reason."""

    reason: str
    count: int


class GroupSummary(Struct, frozen=True, array_like=True):
    """The requests of one group in one window.

    Parameters
    ----------
    key : GroupKey
        What they have in common.
    count : int
        Requests.
    failed : int
        Requests whose status was 500 or above.
    stages : tuple of StageCells
        Time by stage.
    reasons : tuple of ReasonCount
        Attempts that failed, by reason.
    """

    key: GroupKey
    count: int
    failed: int
    stages: tuple[StageCells, ...]
    reasons: tuple[ReasonCount, ...] = ()


class RouteHistogram(Struct, frozen=True, array_like=True):
    """Total times of the requests of a route, an encoded HDR histogram."""

    route: str
    encoded: bytes


class RequestView(Struct, frozen=True):
    """One finished request, as shown to people.

    Parameters
    ----------
    request_id, service, route, target, zone, version, verdict, status, reason
        As in `RequestRecord`.
    balancer_version : int
        As in `RequestRecord`.
    stages : dict of Stage to float
        Seconds by stage.
    total_s : float
        Sum over all stages, seconds.
    attempts : tuple of str
        One line an attempt.
    agent : str
        Instance identifier of the agent that kept the record.
    """

    request_id: str
    service: str
    route: str
    target: str
    zone: str
    version: int
    balancer_version: int
    verdict: str
    status: int
    reason: str
    stages: dict[Stage, float]
    total_s: float
    attempts: tuple[str, ...]
    agent: str

    @classmethod
    def of(cls, record: RequestRecord, *, agent: str) -> "RequestView":
        """Return the view of ``record``."""
        return cls(
            request_id=record.request_id,
            service=record.service,
            route=record.route,
            target=record.target,
            zone=record.zone,
            version=record.version,
            balancer_version=record.balancer_version,
            verdict=record.verdict.value,
            status=record.status,
            reason=record.reason,
            stages=record.stages,
            total_s=record.total_s,
            attempts=record.attempts,
            agent=agent,
        )


class Summary(Struct, frozen=True):
    """Recent requests of a service against those of some minutes before.

    Parameters
    ----------
    service : str
        Name of the service.
    instances : tuple of str
        Agents whose requests are contained.
    recent, baseline : tuple of GroupSummary
        Groups of the two windows.
    routes : tuple of RouteHistogram
        Total times by route in the recent window.
    slowest : tuple of RequestView
        Slowest recent requests, slowest first.
    silent : tuple of str
        Agents that were asked and did not answer.
    """

    service: str
    instances: tuple[str, ...] = ()
    recent: tuple[GroupSummary, ...] = ()
    baseline: tuple[GroupSummary, ...] = ()
    routes: tuple[RouteHistogram, ...] = ()
    slowest: tuple[RequestView, ...] = ()
    silent: tuple[str, ...] = ()


class Group:
    """The requests of one group as they are counted."""

    __slots__ = ("count", "failed", "reasons", "stages", "total", "verdicts")

    def __init__(self) -> None:
        self.count = 0
        self.failed = 0
        self.total = Cells()
        self.verdicts: dict[Verdict, int] = {}
        self.reasons: dict[str, int] = {}
        self.stages: dict[Stage, Cells] = {}

    def add(self, record: RequestRecord) -> float:
        """Count one request and return its total time, in seconds."""
        self.count += 1
        self.verdicts[record.verdict] = self.verdicts.get(record.verdict, 0) + 1
        total_s = 0.0
        for stage, seconds in record.stages.items():
            total_s += seconds
            cells = self.stages.get(stage)
            if cells is None:
                cells = self.cells(stage)
            cells.add(seconds)
        self.total.add(total_s)
        return total_s

    def cells(self, stage: Stage) -> Cells:
        """Return the cells of ``stage``, new ones if there are none."""
        cells = self.stages.get(stage)
        if cells is None:
            cells = self.stages[stage] = Cells()
        return cells

    def add_reason(self, reason: str, number: int = 1) -> None:
        """Count failed attempts; reasons beyond the limit count as ``other``."""
        if reason not in self.reasons and len(self.reasons) >= MAX_REASONS:
            reason = OTHER
        self.reasons[reason] = self.reasons.get(reason, 0) + number

    def add_group(self, other: "Group") -> None:
        """Add what was counted elsewhere in this process."""
        self.count += other.count
        self.failed += other.failed
        self.total.add_cells(other.total)
        for verdict, number in other.verdicts.items():
            self.verdicts[verdict] = self.verdicts.get(verdict, 0) + number
        for stage, cells in other.stages.items():
            own = self.stages.get(stage)
            if own is None:
                self.stages[stage] = cells.copy()
            else:
                own.add_cells(cells)
        for reason, number in other.reasons.items():
            self.add_reason(reason, number)

    def merge(self, other: GroupSummary) -> None:
        """Add what another process counted."""
        self.count += other.count
        self.failed += other.failed
        for cells in other.stages:
            self.cells(cells.stage).merge(cells)
        for item in other.reasons:
            self.add_reason(item.reason, item.count)

    def freeze(self, key: GroupKey) -> GroupSummary:
        """Return an immutable copy."""
        return GroupSummary(
            key=key,
            count=self.count,
            failed=self.failed,
            stages=tuple(
                self.stages[stage].freeze(stage)
                for stage in STAGES
                if stage in self.stages
            ),
            reasons=tuple(ReasonCount(*item) for item in self.reasons.items()),
        )


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of durations in units of 0.1 ms.

    A value is known to within 6.25% of itself or 0.1 ms, up to an hour.
    """
    return HdrHistogram(
        1,
        HISTOGRAM_LARGEST_UNITS,
        HISTOGRAM_DIGITS,
        word_size=HISTOGRAM_WORD_BYTES,
    )


def quantile_s(histogram: HdrHistogram, percent: float) -> float:
    """Return a percentile in seconds."""
    return histogram.get_value_at_percentile(percent) * HISTOGRAM_UNIT_S


def freeze_groups(groups: dict[GroupKey, Group]) -> tuple[GroupSummary, ...]:
    """Return the largest groups; the others are added up into one."""
    ranked = sorted(groups, key=lambda key: groups[key].count, reverse=True)
    kept, rest = ranked[: MAX_GROUPS - 1], ranked[MAX_GROUPS - 1 :]
    frozen = [groups[key].freeze(key) for key in kept]
    if rest:
        other = Group()
        for key in rest:
            other.add_group(groups[key])
        frozen.append(other.freeze(OTHER_KEY))
    return tuple(frozen)


def merge(summaries: Sequence[Summary]) -> Summary:
    """Return the summary of all requests in ``summaries``, of one service."""
    if not summaries:
        raise ValueError("nothing to merge")
    return Summary(
        service=summaries[0].service,
        instances=_union(summary.instances for summary in summaries),
        recent=_merge_groups(summary.recent for summary in summaries),
        baseline=_merge_groups(summary.baseline for summary in summaries),
        routes=_merge_routes(summaries),
        slowest=_merge_slowest(summaries),
        silent=_union(summary.silent for summary in summaries),
    )


def _union(parts: Iterable[tuple[str, ...]]) -> tuple[str, ...]:
    return tuple(sorted({name for part in parts for name in part}))


def _merge_groups(
    parts: Iterable[tuple[GroupSummary, ...]],
) -> tuple[GroupSummary, ...]:
    groups: dict[GroupKey, Group] = {}
    for part in parts:
        for summary in part:
            groups.setdefault(summary.key, Group()).merge(summary)
    return freeze_groups(groups)


def _merge_routes(summaries: Sequence[Summary]) -> tuple[RouteHistogram, ...]:
    merged: dict[str, HdrHistogram] = {}
    for summary in summaries:
        for part in summary.routes:
            route = part.route
            if route not in merged and len(merged) >= MAX_ROUTES:
                route = OTHER
            histogram = merged.setdefault(route, new_histogram())
            histogram.decode_and_add(part.encoded)
    return tuple(
        RouteHistogram(route, histogram.encode()) for route, histogram in merged.items()
    )


def _merge_slowest(summaries: Sequence[Summary]) -> tuple[RequestView, ...]:
    views = (view for summary in summaries for view in summary.slowest)
    return tuple(nlargest(MAX_SLOWEST, views, key=lambda view: view.total_s))
