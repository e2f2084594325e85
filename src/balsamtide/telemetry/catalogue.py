"""The catalogue of all events and metrics, collected from the packages."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from importlib import import_module
from importlib.util import find_spec
from pkgutil import iter_modules
from types import ModuleType
from typing import TypeVar

import balsamtide
from balsamtide.telemetry.event import Event, Metric, MetricKind

__all__ = ["Catalogue", "CatalogueError", "check", "collect"]

NUMBER_RANGES = {
    "settings": range(100, 200),
    "node": range(100, 200),
    "config": range(200, 300),
    "membership": range(300, 400),
    "balancer": range(400, 500),
    "routing": range(400, 500),
    "agent": range(500, 600),
    "requests": range(600, 700),
    "admission": range(600, 700),
    "telemetry": range(700, 800),
    "caller": range(800, 900),
    "flows": range(900, 930),
    "flow_node": range(930, 960),
}
SECRET_WORDS = ("payload", "secret", "token", "password", "authorization", "cookie")
COUNTER_SUFFIX = "_total"

Definition = TypeVar("Definition", Event, Metric)


class CatalogueError(Exception):
    """The definitions of events or metrics contradict one another."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Catalogue:
    """All definitions, in order of event number and metric name.

    Parameters
    ----------
    events : tuple of Event
        Events by number.
    metrics : tuple of Metric
        Metrics by name.
    """

    events: tuple[Event, ...]
    metrics: tuple[Metric, ...]

    def event(self, number: int) -> Event | None:
        """Return the event with ``number``, if there is one."""
        return next((e for e in self.events if e.number == number), None)


def collect() -> Catalogue:
    """Collect the definitions of all packages.

    Raises
    ------
    CatalogueError
        If a number or name is taken twice, lies outside its package's range, or
        a definition breaks a rule of the catalogue.
    """
    events: list[Event] = []
    for package, module in _modules("events"):
        found = list(_definitions(module, Event))
        _check_range(package, found)
        events.extend(found)
    metrics = [
        metric
        for _, module in _modules("metrics")
        for metric in _definitions(module, Metric)
    ]
    catalogue = Catalogue(
        events=tuple(sorted(events, key=lambda event: event.number)),
        metrics=tuple(sorted(metrics, key=lambda metric: metric.name)),
    )
    check(catalogue)
    return catalogue


def check(catalogue: Catalogue) -> None:
    """Check uniqueness and the rules for names.

    Raises
    ------
    CatalogueError
        On the first rule that is broken.
    """
    _check_unique("event number", (event.number for event in catalogue.events))
    _check_unique("event name", (event.name for event in catalogue.events))
    _check_unique("metric name", (metric.name for metric in catalogue.metrics))
    for event in catalogue.events:
        _check_fields(event)
    for metric in catalogue.metrics:
        _check_suffix(metric)


def _modules(name: str) -> Iterator[tuple[str, ModuleType]]:
    for package in iter_modules(balsamtide.__path__):
        path = f"balsamtide.{package.name}.{name}"
        if package.ispkg and find_spec(path) is not None:
            yield package.name, import_module(path)


def _definitions(module: ModuleType, kind: type[Definition]) -> Iterator[Definition]:
    for value in vars(module).values():
        if isinstance(value, kind):
            yield value


def _check_range(package: str, events: Iterable[Event]) -> None:
    allowed = NUMBER_RANGES.get(package, range(0))
    for event in events:
        if event.number not in allowed:
            raise CatalogueError(
                f"event {event.number} of package {package} is outside {allowed}"
            )


def _check_unique(what: str, values: Iterable[object]) -> None:
    seen: set[object] = set()
    for value in values:
        if value in seen:
            raise CatalogueError(f"{what} {value} is taken twice")
        seen.add(value)


def _check_fields(event: Event) -> None:
    for field in event.fields:
        if any(word in field for word in SECRET_WORDS):
            raise CatalogueError(f"event {event.number} must not log {field!r}")


def _check_suffix(metric: Metric) -> None:
    is_total = metric.name.endswith(COUNTER_SUFFIX)
    if is_total is not (metric.kind is MetricKind.COUNTER):
        raise CatalogueError(
            f"metric {metric.name}: counters and only counters end in '_total'"
        )
