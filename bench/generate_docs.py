"""Write the pages that follow from the code: ``python -m bench.generate_docs``.

With ``--check`` nothing is written; the exit code is 1 if a page is out of date.
"""

import sys
from argparse import ArgumentParser
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from balsamtide.telemetry.catalogue import NUMBER_RANGES, Catalogue, collect
from balsamtide.telemetry.event import Event, Metric, MetricKind
from balsamtide.telemetry.registry import LATENCY_BOUNDS_S, METRIC_PREFIX

__all__ = ["PAGES", "Page", "main", "outdated"]

DOCS = Path(__file__).resolve().parent.parent / "docs"
GENERATED = "Written by `python -m bench.generate_docs`; do not edit."


@dataclass(frozen=True, slots=True)
class Page:
    """A page that follows from the catalogue."""

    name: str
    render: Callable[[Catalogue], str]

    @property
    def path(self) -> Path:
        """Where the page stands."""
        return DOCS / self.name


def outdated(catalogue: Catalogue) -> list[Page]:
    """Return the pages whose files differ from what the catalogue gives."""
    return [page for page in PAGES if _read(page.path) != page.render(catalogue)]


def main(arguments: list[str] | None = None) -> int:
    """Write or check the pages and return the exit code."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="write nothing")
    options = parser.parse_args(arguments)
    catalogue = collect()
    pages = outdated(catalogue)
    for page in pages:
        print(f"{page.path}: {'out of date' if options.check else 'written'}")
        if not options.check:
            page.path.write_text(page.render(catalogue), encoding="utf-8")
    return 1 if pages and options.check else 0


def _read(path: Path) -> str:
    return path.read_text(encoding="utf-8") if path.exists() else ""


def _events_page(catalogue: Catalogue) -> str:
    return "\n".join(
        (
            "# Events",
            "",
            f"{GENERATED}",
            "",
            "Each log line carries the number of its event. After five occurrences "
            "of an event within 10 s, further ones are counted and reported by event "
            "701. Only the fields listed here are ever logged.",
            "",
            "| Numbers | Packages |",
            "| --- | --- |",
            *_ranges(),
            "",
            *(line for event in catalogue.events for line in _event(event)),
        )
    )


def _ranges() -> Iterator[str]:
    packages: dict[range, list[str]] = {}
    for package, numbers in NUMBER_RANGES.items():
        packages.setdefault(numbers, []).append(package)
    for numbers, names in packages.items():
        yield f"| {numbers.start} to {numbers.stop - 1} | {', '.join(names)} |"


def _event(event: Event) -> Iterator[str]:
    yield f"## {event.number} {event.name}"
    yield ""
    yield f"Level: {event.level.value}. {event.meaning}"
    yield ""
    yield f"What to do: {event.action}"
    yield ""
    if event.fields:
        yield from _table(("Field", "Meaning and unit"), event.fields.items())
        yield ""


def _metrics_page(catalogue: Catalogue) -> str:
    bounds = ", ".join(f"{bound:g}" for bound in LATENCY_BOUNDS_S)
    return "\n".join(
        (
            "# Metrics",
            "",
            f"{GENERATED}",
            "",
            "The admin listener serves them at `/metrics`. Units are seconds, octets "
            "and counts. Each label has a bounded set of values; a metric that "
            "reaches 256 series adds up the rest under `other` and reports event 702.",
            "",
            *_table(
                ("Name", "Kind", "Labels", "Meaning"),
                (_metric(metric) for metric in catalogue.metrics),
            ),
            "",
            "## Error of the latency histogram",
            "",
            "The bounds are at most a factor of 1.5 apart, so a quantile read from "
            "the histogram is off by less than 50% between the first and the last. "
            "`balsamctl slow` reads finer histograms, off by at most 6.25% or 0.1 ms.",
            "",
            f"Bounds, in seconds: {bounds}.",
            "",
        )
    )


def _metric(metric: Metric) -> tuple[str, ...]:
    kind = metric.kind.value
    if metric.kind is MetricKind.HISTOGRAM:
        kind = "histogram, seconds"
    labels = ", ".join(f"`{label}`" for label in metric.labels)
    return f"`{METRIC_PREFIX}{metric.name}`", kind, labels, metric.meaning


def _table(headers: Iterable[str], rows: Iterable[Iterable[str]]) -> Iterator[str]:
    titles = tuple(headers)
    yield f"| {' | '.join(titles)} |"
    yield f"|{' --- |' * len(titles)}"
    for row in rows:
        yield f"| {' | '.join(row)} |"


PAGES = (
    Page("EVENTS.md", _events_page),
    Page("METRICS.md", _metrics_page),
)


if __name__ == "__main__":
    sys.exit(main())
