"""Tests of the catalogue and of the pages that follow from it."""

import pytest

from balsamtide.telemetry.catalogue import Catalogue, CatalogueError, check, collect
from balsamtide.telemetry.event import Event, Level, Metric, MetricKind
from bench.generate_docs import PAGES, outdated


def make_event(**changes: object) -> Event:
    """Return an event with ``changes``."""
    values = {"number": 1, "name": "one", "level": Level.INFO, "meaning": "One."}
    return Event(**(values | changes))  # type: ignore[arg-type]


def make_metric(name: str, kind: MetricKind = MetricKind.COUNTER) -> Metric:
    """Return a metric."""
    return Metric(name=name, kind=kind, meaning="It counts.")


def test_definitions_of_all_packages_are_consistent() -> None:
    """Events and metrics of every package form one catalogue."""
    catalogue = collect()
    assert catalogue.event(700) is not None
    assert catalogue.event(999) is None


def test_pages_are_current() -> None:
    """The committed pages are what the catalogue gives."""
    assert outdated(collect()) == []


def test_outdated_pages_are_found() -> None:
    """A catalogue that differs from the committed pages is noticed."""
    assert outdated(Catalogue(events=(), metrics=())) == list(PAGES)


@pytest.mark.parametrize(
    ("events", "metrics"),
    [
        ((make_event(), make_event(name="two")), ()),
        ((make_event(), make_event(number=2)), ()),
        ((make_event(fields={"token": "a secret"}),), ()),
        ((make_event(fields={"payload_head": "octets"}),), ()),
        ((), (make_metric("a_total"), make_metric("a_total"))),
        ((), (make_metric("a_count"),)),
        ((), (make_metric("a_total", MetricKind.GAUGE),)),
    ],
)
def test_contradictions_are_refused(
    events: tuple[Event, ...], metrics: tuple[Metric, ...]
) -> None:
    """Numbers and names are unique, fields hold no secrets, names show the kind."""
    with pytest.raises(CatalogueError):
        check(Catalogue(events=events, metrics=metrics))
