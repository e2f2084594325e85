"""One self-contained page: time by stage as stacked bars, and a timeline of changes."""

from collections.abc import Iterable, Iterator, Sequence
from html import escape

from balsamtide.cli.durations import format_duration
from balsamtide.cli.slow_report import SlowReport
from balsamtide.telemetry.audit import AuditEntry
from balsamtide.telemetry.cells import STAGES
from balsamtide.telemetry.stages import Stage

__all__ = ["render_page"]

WIDTH = 900
LABEL_WIDTH = 190
BAR_WIDTH = WIDTH - LABEL_WIDTH - 90
BAR_HEIGHT = 26
ROW_HEIGHT = 36
AXIS_HEIGHT = 40
LANE_HEIGHT = 30
TIMELINE_KINDS = ("entry", "drain", "role", "ejection", "key")
MAX_TIMELINE_ENTRIES = 60
MAX_LABEL_CHARACTERS = 26
COLOURS = {
    Stage.CALLER_PATH: "#4e79a7",
    Stage.BALANCER: "#a0cbe8",
    Stage.INNER_PATH: "#2f5d8a",
    Stage.STEERED: "#b07aa1",
    Stage.HANDSHAKE: "#d4a6c8",
    Stage.QUEUED_SHORT: "#f28e2b",
    Stage.QUEUED_LONG: "#e15759",
    Stage.QUEUED_COLD: "#ffbe7d",
    Stage.QUEUED_LIMIT: "#b6992d",
    Stage.HAND_OFF: "#499894",
    Stage.TARGET: "#59a14f",
    Stage.CALLER_STALL: "#9d7660",
    Stage.LOSS_STALL: "#d7b5a6",
    Stage.RETURN_PATH: "#86bcb6",
    Stage.UNEXPLAINED: "#79706e",
}
STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 900px;
  padding: 0 1rem; color: #222; background: #fff; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2rem; }
.answer { font-weight: 600; } .hint { color: #555; }
svg { width: 100%; height: auto; font: 13px system-ui, sans-serif; }
.legend span { display: inline-block; margin-right: 1rem; white-space: nowrap; }
.legend i { display: inline-block; width: .8em; height: .8em; margin-right: .35em; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .25rem .5rem; border-bottom: 1px solid #ddd; }
"""


def render_page(reports: Sequence[SlowReport], changes: Sequence[AuditEntry]) -> str:
    """Return the page as HTML."""
    return "\n".join(
        (
            "<!doctype html>",
            '<html lang="en"><head><meta charset="utf-8">',
            '<meta name="viewport" content="width=device-width">',
            "<title>balsamtide: where time was lost</title>",
            f"<style>{STYLE}</style></head><body>",
            "<h1>Where time was lost</h1>",
            *(_answers(report) for report in reports),
            "<h2>Mean time of a request by stage</h2>",
            _bars(reports),
            _legend(reports),
            "<h2>Versions and drains</h2>",
            _timeline(changes),
            *(_slowest(report) for report in reports),
            "</body></html>\n",
        )
    )


def _answers(report: SlowReport) -> str:
    lines = [f"<h2>{escape(report.service)}</h2>"]
    if not report.findings:
        lines.append(f'<p class="answer">{escape(report.answer)}</p>')
    else:
        items = (
            f'<li><span class="answer">{escape(finding.sentence)}</span><br>'
            f'<span class="hint">{escape(finding.action)}</span></li>'
            for finding in report.findings
        )
        lines.append(f"<ul>{''.join(items)}</ul>")
    if report.silent:
        silent = ", ".join(report.silent)
        lines.append(f'<p class="hint">Did not answer: {escape(silent)}</p>')
    return "\n".join(lines)


def _bars(reports: Sequence[SlowReport]) -> str:
    rows = [row for report in reports for row in _rows(report)]
    longest_s = max((sum(s for _, s in parts) for _, parts in rows), default=0.0)
    scale = BAR_WIDTH / longest_s if longest_s > 0 else 0.0
    drawn = "".join(
        _bar(label, parts, index * ROW_HEIGHT, scale)
        for index, (label, parts) in enumerate(rows)
    )
    return _svg(len(rows) * ROW_HEIGHT, drawn, "Mean time of a request by stage")


Parts = list[tuple[Stage, float]]


def _rows(report: SlowReport) -> Iterator[tuple[str, Parts]]:
    yield f"{report.service}, now", [(s.stage, s.recent_s) for s in report.stages]
    yield (
        f"{report.service}, before",
        [(s.stage, s.baseline_s) for s in report.stages],
    )


def _bar(label: str, parts: Parts, top: float, scale: float) -> str:
    middle = top + BAR_HEIGHT / 2 + 5
    shapes = [f'<text x="0" y="{middle:.0f}">{escape(_clip(label))}</text>']
    left = float(LABEL_WIDTH)
    for stage, seconds in parts:
        width = seconds * scale
        title = f"{stage.value}: {format_duration(seconds)}"
        shapes.append(
            f'<rect x="{left:.2f}" y="{top:.0f}" width="{width:.2f}" '
            f'height="{BAR_HEIGHT}" fill="{COLOURS[stage]}">'
            f"<title>{escape(title)}</title></rect>"
        )
        left += width
    total = format_duration(sum(seconds for _, seconds in parts))
    shapes.append(f'<text x="{left + 8:.0f}" y="{middle:.0f}">{total}</text>')
    return "".join(shapes)


def _legend(reports: Sequence[SlowReport]) -> str:
    used = {line.stage for report in reports for line in report.stages}
    items = (
        f'<span><i style="background:{COLOURS[stage]}"></i>{stage.value}</span>'
        for stage in STAGES
        if stage in used
    )
    return f'<p class="legend">{"".join(items)}</p>'


def _timeline(changes: Sequence[AuditEntry]) -> str:
    shown = [entry for entry in changes if entry.kind in TIMELINE_KINDS]
    shown = shown[-MAX_TIMELINE_ENTRIES:]
    if not shown:
        return '<p class="hint">No change is recorded there.</p>'
    kinds = [kind for kind in TIMELINE_KINDS if any(e.kind == kind for e in shown)]
    first_s, last_s = shown[0].seconds, shown[-1].seconds
    scale = BAR_WIDTH / (last_s - first_s) if last_s > first_s else 0.0
    drawn = [_lane(kind, index) for index, kind in enumerate(kinds)]
    drawn += [
        _mark(
            entry,
            LABEL_WIDTH + (entry.seconds - first_s) * scale,
            kinds.index(entry.kind),
        )
        for entry in shown
    ]
    height = len(kinds) * LANE_HEIGHT + AXIS_HEIGHT
    drawn.append(_axis(shown, height))
    return _svg(height, "".join(drawn), "Changes over time") + _change_table(shown)


def _lane(kind: str, index: int) -> str:
    y = index * LANE_HEIGHT + LANE_HEIGHT / 2
    return (
        f'<text x="0" y="{y + 5:.0f}">{escape(kind)}</text>'
        f'<line x1="{LABEL_WIDTH}" x2="{LABEL_WIDTH + BAR_WIDTH}" y1="{y:.0f}" '
        f'y2="{y:.0f}" stroke="#ccc"/>'
    )


def _mark(entry: AuditEntry, x: float, lane: int) -> str:
    y = lane * LANE_HEIGHT + LANE_HEIGHT / 2
    title = f"{entry.time} {entry.subject}: {entry.change} (version {entry.version})"
    return (
        f'<circle cx="{x:.1f}" cy="{y:.0f}" r="6" fill="#4e79a7" stroke="#fff">'
        f"<title>{escape(title)}</title></circle>"
    )


def _axis(shown: Sequence[AuditEntry], height: int) -> str:
    y = height - 12
    right = LABEL_WIDTH + BAR_WIDTH
    first, last = escape(shown[0].time), escape(shown[-1].time)
    start = f'<text x="{LABEL_WIDTH}" y="{y}">{first}</text>'
    if len(shown) == 1:
        return start
    return f'{start}<text x="{right}" y="{y}" text-anchor="end">{last}</text>'


def _change_table(shown: Sequence[AuditEntry]) -> str:
    rows = (
        (e.time, e.kind, e.subject, e.change, str(e.version), e.cause)
        for e in reversed(shown)
    )
    return _table(("time", "kind", "object", "change", "version", "cause"), rows)


def _slowest(report: SlowReport) -> str:
    rows = (
        (v.request_id, v.route, v.target, v.zone, format_duration(v.total_s))
        for v in report.slowest
    )
    return f"<h2>Slowest requests of {escape(report.service)}</h2>" + _table(
        ("request", "route", "target", "zone", "time"), rows
    )


def _table(headers: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    head = "".join(f"<th>{escape(header)}</th>" for header in headers)
    body = "".join(
        f"<tr>{''.join(f'<td>{escape(cell)}</td>' for cell in row)}</tr>"
        for row in rows
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def _svg(height: int, content: str, title: str) -> str:
    return (
        f'<svg viewBox="0 0 {WIDTH} {max(height, 1)}" role="img" '
        f'aria-label="{escape(title)}">{content}</svg>'
    )


def _clip(text: str) -> str:
    if len(text) <= MAX_LABEL_CHARACTERS:
        return text
    return f"{text[: MAX_LABEL_CHARACTERS - 1]}…"
