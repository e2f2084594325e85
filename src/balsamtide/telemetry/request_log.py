"""Finished requests: histograms by minute, the slowest, the failed and the latest."""

from collections import deque
from collections.abc import Callable, Iterator
from heapq import heappush, heappushpop, nlargest
from itertools import count
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from balsamtide.protocol.verdict import Verdict
from balsamtide.telemetry.sink import RequestRecord
from balsamtide.telemetry.stages import Stage
from balsamtide.telemetry.summary import (
    HISTOGRAM_LARGEST_UNITS,
    HISTOGRAM_UNIT_S,
    MAX_ROUTES,
    MAX_SLOWEST,
    OTHER,
    OTHER_KEY,
    Group,
    GroupKey,
    RequestView,
    RouteHistogram,
    Summary,
    freeze_groups,
    new_histogram,
)

__all__ = ["RequestLog"]

MINUTE_S = 60.0
GROUP_MINUTES = 20
HISTOGRAM_MINUTES = 5
RECENT_MINUTES = 2
BASELINE_FIRST_MINUTE = 10
SHORT_BASELINE_FIRST_MINUTE = 3
GROUPS_PER_MINUTE = 48
SLOWEST_PER_MINUTE = 16
FAILED_REQUESTS = 256
LATEST_REQUESTS = 1024
MAX_SERVICES = 4
MAX_ATTEMPTS = 8
FIRST_FAILURE_STATUS = 500
UNITS_PER_S = round(1 / HISTOGRAM_UNIT_S)


class HistogramKey(NamedTuple):
    """A route and a stage; None for all stages of a request together."""

    route: str
    stage: Stage | None


class Ranked(NamedTuple):
    """A request with its rank among the slowest."""

    total_s: float
    order: int
    record: RequestRecord


class Minute:
    """The requests of one service that ended in one minute."""

    __slots__ = ("groups", "histograms", "number", "slowest")

    def __init__(self, number: int) -> None:
        self.number = number
        self.groups: dict[GroupKey, Group] = {}
        self.histograms: dict[HistogramKey, HdrHistogram] = {}
        self.slowest: list[Ranked] = []

    def group(self, key: GroupKey) -> Group:
        """Return the group of ``key``; beyond the limit there is one for all."""
        group = self.groups.get(key)
        if group is None:
            if len(self.groups) >= GROUPS_PER_MINUTE - 1:
                return self.groups.setdefault(OTHER_KEY, Group())
            group = self.groups[key] = Group()
        return group

    def histogram(self, route: str, stage: Stage | None) -> HdrHistogram:
        """Return the histogram of a route and a stage."""
        key = HistogramKey(route, stage)
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = self.histograms[key] = new_histogram()
        return histogram

    def keep_slow(self, entry: Ranked) -> None:
        """Keep ``entry`` if it is among the slowest."""
        if len(self.slowest) < SLOWEST_PER_MINUTE:
            heappush(self.slowest, entry)
        elif entry.total_s > self.slowest[0].total_s:
            heappushpop(self.slowest, entry)


class ServiceLog:
    """The recent minutes of one service."""

    def __init__(self) -> None:
        self.minutes: deque[Minute] = deque(maxlen=GROUP_MINUTES)
        self.routes: set[str] = set()

    def minute(self, number: int) -> Minute:
        """Return the minute ``number``; histograms of old minutes are dropped."""
        if not self.minutes or self.minutes[-1].number != number:
            self.minutes.append(Minute(number))
            for minute in self.minutes:
                if minute.number <= number - HISTOGRAM_MINUTES:
                    minute.histograms.clear()
        return self.minutes[-1]

    def route(self, name: str) -> str:
        """Return ``name``, or ``other`` beyond the limit of routes."""
        if name in self.routes:
            return name
        if len(self.routes) >= MAX_ROUTES - 1:
            return OTHER
        self.routes.add(name)
        return name

    def between(self, newest: int, oldest: int) -> Iterator[Minute]:
        """Yield the minutes numbered ``oldest`` to ``newest``."""
        for minute in self.minutes:
            if oldest <= minute.number <= newest:
                yield minute


class RequestLog:
    """Accounts for finished requests within bounded memory.

    Parameters
    ----------
    instance : str
        Instance identifier of this agent.
    clock : callable
        Monotonic clock, seconds.
    """

    def __init__(self, *, instance: str, clock: Callable[[], float]) -> None:
        self.instance = instance
        self.clock = clock
        self.order = count()
        self.services: dict[str, ServiceLog] = {}
        self.failed: deque[RequestRecord] = deque(maxlen=FAILED_REQUESTS)
        self.latest: deque[RequestRecord] = deque(maxlen=LATEST_REQUESTS)

    def add(self, record: RequestRecord) -> float:
        """Account for ``record`` and return its total time, in seconds."""
        log = self._service(record.service)
        minute = log.minute(self._minute_number())
        route = log.route(record.route)
        total_s = self._add_stages(minute, route, record)
        minute.keep_slow(Ranked(total_s, next(self.order), record))
        self.latest.append(record)
        if _is_failed(record):
            self.failed.append(record)
        return total_s

    def find(self, request_id: str) -> RequestView | None:
        """Return the request with ``request_id`` if it is still kept."""
        for record in self._kept():
            if record.request_id == request_id:
                return RequestView.of(record, agent=self.instance)
        return None

    def slowest(
        self, service: str, limit: int = MAX_SLOWEST
    ) -> tuple[RequestView, ...]:
        """Return the slowest recent requests of ``service``, slowest first."""
        entries = [
            entry
            for minute in self._window(service, 0, RECENT_MINUTES - 1)
            for entry in minute.slowest
        ]
        return tuple(
            RequestView.of(entry.record, agent=self.instance)
            for entry in nlargest(limit, entries)
        )

    def failures(self, service: str) -> tuple[RequestView, ...]:
        """Return the failed requests of ``service`` that are kept, newest first."""
        return tuple(
            RequestView.of(record, agent=self.instance)
            for record in reversed(self.failed)
            if record.service == service
        )

    def summary(self, service: str) -> Summary:
        """Return the summary of ``service``; it is empty for an unknown one."""
        recent = list(self._window(service, 0, RECENT_MINUTES - 1))
        return Summary(
            service=service,
            instances=(self.instance,),
            recent=freeze_groups(_join(recent)),
            baseline=freeze_groups(_join(self._baseline(service))),
            routes=tuple(_route_histograms(recent)),
            slowest=self.slowest(service),
        )

    def _minute_number(self) -> int:
        return int(self.clock() // MINUTE_S)

    def _service(self, name: str) -> ServiceLog:
        log = self.services.get(name)
        if log is None:
            if len(self.services) >= MAX_SERVICES:
                return self.services.setdefault(OTHER, ServiceLog())
            log = self.services[name] = ServiceLog()
        return log

    def _add_stages(self, minute: Minute, route: str, record: RequestRecord) -> float:
        key = GroupKey(
            route,
            record.target,
            record.zone,
            record.version,
            record.balancer_version,
        )
        group = minute.group(key)
        group.count += 1
        group.failed += record.status >= FIRST_FAILURE_STATUS
        total_s = 0.0
        for stage, seconds in record.stages.items():
            total_s += seconds
            group.cells(stage).add(seconds)
            _record(minute.histogram(route, stage), seconds)
        _record(minute.histogram(route, None), total_s)
        for reason in _failed_attempts(record):
            group.add_reason(reason)
        return total_s

    def _window(self, service: str, newest: int, oldest: int) -> Iterator[Minute]:
        log = self.services.get(service)
        if log is None:
            return iter(())
        now = self._minute_number()
        return log.between(now - newest, now - oldest)

    def _baseline(self, service: str) -> list[Minute]:
        last = GROUP_MINUTES - 1
        minutes = list(self._window(service, BASELINE_FIRST_MINUTE, last))
        if minutes:
            return minutes
        return list(self._window(service, SHORT_BASELINE_FIRST_MINUTE, last))

    def _kept(self) -> Iterator[RequestRecord]:
        yield from reversed(self.latest)
        yield from reversed(self.failed)
        for log in self.services.values():
            for minute in log.minutes:
                for entry in minute.slowest:
                    yield entry.record


def _is_failed(record: RequestRecord) -> bool:
    if record.verdict is not Verdict.RAN:
        return True
    return record.status >= FIRST_FAILURE_STATUS


def _failed_attempts(record: RequestRecord) -> Iterator[str]:
    for attempt in record.attempts[:MAX_ATTEMPTS]:
        parts = attempt.split(" ", 2)
        if len(parts) == 3 and parts[2]:
            yield parts[2]


def _record(histogram: HdrHistogram, seconds: float) -> None:
    units = int(seconds * UNITS_PER_S)
    histogram.record_value(min(units, HISTOGRAM_LARGEST_UNITS))


def _join(minutes: list[Minute]) -> dict[GroupKey, Group]:
    groups: dict[GroupKey, Group] = {}
    for minute in minutes:
        for key, group in minute.groups.items():
            groups.setdefault(key, Group()).add_group(group)
    return groups


def _route_histograms(minutes: list[Minute]) -> Iterator[RouteHistogram]:
    merged: dict[str, HdrHistogram] = {}
    for minute in minutes:
        for key, histogram in minute.histograms.items():
            if key.stage is None:
                merged.setdefault(key.route, new_histogram()).add(histogram)
    for route, histogram in merged.items():
        yield RouteHistogram(route, histogram.encode())
