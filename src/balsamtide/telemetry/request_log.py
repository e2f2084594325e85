"""Finished requests: histograms by minute, the slowest, the failed and the latest.

One request costs one bucket a stage; everything else is added up when it is read.
"""

from collections import deque
from collections.abc import Callable, Iterator
from heapq import heappush, heapreplace, nlargest
from itertools import count
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from balsamtide.protocol.verdict import Verdict
from balsamtide.telemetry.records import RequestRecord
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
GROUPS_PER_MINUTE = 32
SLOWEST_PER_MINUTE = 16
FAILED_REQUESTS = 256
LATEST_REQUESTS = 1024
MAX_SERVICES = 4
MAX_ATTEMPTS = 8
FIRST_FAILURE_STATUS = 500
UNITS_PER_S = round(1 / HISTOGRAM_UNIT_S)


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
        self.histograms: dict[str, HdrHistogram] = {}
        self.slowest: list[Ranked] = []

    def group(self, key: GroupKey) -> Group:
        """Return the group of ``key``; beyond the limit there is one for all."""
        group = self.groups.get(key)
        if group is None:
            if len(self.groups) >= GROUPS_PER_MINUTE - 1:
                return self.groups.setdefault(OTHER_KEY, Group())
            group = self.groups[key] = Group()
        return group

    def add_total(self, route: str, total_s: float) -> None:
        """Count the total time of a request of ``route``."""
        histogram = self.histograms.get(route)
        if histogram is None:
            histogram = self.histograms[route] = new_histogram()
        units = int(total_s * UNITS_PER_S)
        histogram.record_value(min(units, HISTOGRAM_LARGEST_UNITS))

    def keep_slow(self, total_s: float, order: int, record: RequestRecord) -> None:
        """Keep ``record`` if it is among the slowest."""
        if len(self.slowest) < SLOWEST_PER_MINUTE:
            heappush(self.slowest, Ranked(total_s, order, record))
        elif total_s > self.slowest[0].total_s:
            heapreplace(self.slowest, Ranked(total_s, order, record))


class ServiceLog:
    """The recent minutes of one service."""

    def __init__(self) -> None:
        self.minutes: deque[Minute] = deque()
        self.routes: set[str] = set()
        self.ended = Group()  # all minutes but the newest

    def minute(self, number: int) -> Minute:
        """Return the minute ``number``, starting it if it is new."""
        if not self.minutes or self.minutes[-1].number != number:
            self._start(number)
        return self.minutes[-1]

    def _start(self, number: int) -> None:
        if self.minutes:
            self._add_groups(self.ended, self.minutes[-1])
        self.minutes.append(Minute(number))
        while self.minutes[0].number <= number - GROUP_MINUTES:
            self.minutes.popleft()
        for minute in self.minutes:
            if minute.number <= number - HISTOGRAM_MINUTES:
                minute.histograms.clear()

    def totals(self) -> Group:
        """Return all requests since the start."""
        totals = Group()
        totals.add_group(self.ended)
        if self.minutes:
            self._add_groups(totals, self.minutes[-1])
        return totals

    @staticmethod
    def _add_groups(totals: Group, minute: Minute) -> None:
        for group in minute.groups.values():
            totals.add_group(group)

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

    def add(self, record: RequestRecord) -> None:
        """Account for ``record``."""
        log = self.services.get(record.service) or self._service(record.service)
        minute = log.minute(int(self.clock() // MINUTE_S))
        route = log.route(record.route)
        group = minute.group(
            GroupKey(
                route,
                record.target,
                record.zone,
                record.version,
                record.balancer_version,
            )
        )
        total_s = group.add(record)
        minute.add_total(route, total_s)
        minute.keep_slow(total_s, next(self.order), record)
        self.latest.append(record)
        is_failed = _is_failed(record)
        if is_failed:
            group.failed += 1
            self.failed.append(record)
        if is_failed or len(record.attempts) > 1:
            for reason in _failed_attempts(record):
                group.add_reason(reason)

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
    """Yield the reasons of attempts that did not run, or of all if the last failed."""
    is_failed = record.status >= FIRST_FAILURE_STATUS
    for attempt in record.attempts[:MAX_ATTEMPTS]:
        _, verdict, reason = ([*attempt.split(" ", 2), "", ""])[:3]
        if reason and (is_failed or verdict != Verdict.RAN.value):
            yield reason


def _join(minutes: list[Minute]) -> dict[GroupKey, Group]:
    groups: dict[GroupKey, Group] = {}
    for minute in minutes:
        for key, group in minute.groups.items():
            groups.setdefault(key, Group()).add_group(group)
    return groups


def _route_histograms(minutes: list[Minute]) -> Iterator[RouteHistogram]:
    merged: dict[str, HdrHistogram] = {}
    for minute in minutes:
        for route, histogram in minute.histograms.items():
            merged.setdefault(route, new_histogram()).add(histogram)
    for route, histogram in merged.items():
        yield RouteHistogram(route, histogram.encode())
