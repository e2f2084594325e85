"""The commands that say where time was lost."""

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from balsamtide.cli.command import (
    ADMIN_OPTION,
    JSON_OPTION,
    ControlCommand,
    examples,
)
from balsamtide.cli.durations import format_duration
from balsamtide.cli.errors import CommandError, ExitCode
from balsamtide.cli.html_page import render_page
from balsamtide.cli.slow_report import SlowReport, make_report
from balsamtide.telemetry.cells import STAGES
from balsamtide.telemetry.summary import RequestView, Summary

__all__ = ["ExplainCommand", "SlowCommand"]

BAR_CHARACTERS = 30


class ExplainCommand(ControlCommand):
    """Shows the way of one request."""

    name = "explain"
    description = "Show where the time of one request went, with each attempt."
    arguments: ClassVar[list[Argument]] = [
        argument("request", "ID from the header balsamtide-request-id.")
    ]
    options: ClassVar[list[Option]] = [ADMIN_OPTION, JSON_OPTION]
    help = examples(
        "balsamctl explain 5f2c9a7e11d04b68",
        "balsamctl explain 5f2c9a7e11d04b68 --json",
    )

    def handle(self) -> int:
        """Show the request."""
        view = self.client.request(self.argument("request"))
        if self.is_json:
            self.print_json(view)
        else:
            self._print_request(view)
        return ExitCode.OK

    def _print_request(self, view: RequestView) -> None:
        reason = f", {view.reason}" if view.reason else ""
        self.print_line(f"request {view.request_id} of {view.service}{view.route}")
        self.print_line(f"  {view.verdict}, status {view.status}{reason}")
        self.print_line(f"  target {view.target or 'none'}, zone {view.zone or 'none'}")
        self.print_line(f"  version {view.version}, agent {view.agent}")
        self.print_line(f"  {format_duration(view.total_s)} in all")
        self.print_table(
            ("stage", "time", "share", ""),
            [
                (
                    stage.value,
                    format_duration(seconds),
                    f"{_share(seconds, view.total_s):.0%}",
                    "#" * round(BAR_CHARACTERS * _share(seconds, view.total_s)),
                )
                for stage in STAGES
                if (seconds := view.stages.get(stage)) is not None
            ],
        )
        for number, attempt in enumerate(view.attempts, 1):
            self.print_line(f"  attempt {number}: {attempt.strip()}")


class SlowCommand(ControlCommand):
    """Says why a service is slow."""

    name = "slow"
    description = "Say where a service loses time, against some minutes ago."
    options: ClassVar[list[Option]] = [
        option("service", None, "Name of a service.", flag=False, multiple=True),
        option("html", None, "Also write a page with drawings here.", flag=False),
        ADMIN_OPTION,
        JSON_OPTION,
    ]
    help = examples(
        "balsamctl slow --service timetable",
        "balsamctl slow --service timetable --html slow.html",
        "balsamctl slow --service timetable --json",
        "balsamctl slow --service timetable --service export --html slow.html "
        "--admin http://10.0.1.7:9180 --admin http://10.0.2.9:9180",
    )

    def handle(self) -> int:
        """Report on each service that was named."""
        services = self.option("service")
        if not services:
            raise CommandError(
                "no service is named",
                hint="add --service NAME; 'balsamctl status' shows an agent's service",
                code=ExitCode.USAGE,
            )
        reports = [make_report(self._summary(service)) for service in services]
        if self.option("html"):
            self._write_page(Path(self.option("html")), reports)
        if self.is_json:
            self.print_json(reports)
            return ExitCode.OK
        for report in reports:
            self._print_report(report)
        return ExitCode.OK

    def _summary(self, service: str) -> Summary:
        for client in self.clients:
            summary = client.summary(service)
            if summary.recent or summary.baseline:
                return summary
        raise CommandError(
            f"no requests of service {service} are known there",
            hint="name an agent of that service with --admin; 'balsamctl status' "
            "shows which service an agent has",
            code=ExitCode.NOT_FOUND,
        )

    def _write_page(self, path: Path, reports: list[SlowReport]) -> None:
        changes = [entry for client in self.clients for entry in client.audit()]
        changes.sort(key=lambda entry: entry.seconds)
        page = render_page(reports, changes)
        try:
            path.write_text(page, encoding="utf-8")
        except OSError as error:
            raise CommandError(
                f"cannot write {path}: {error.strerror}",
                hint="name a file in a directory that exists and is yours",
                code=ExitCode.USAGE,
            ) from error

    def _print_report(self, report: SlowReport) -> None:
        self.print_line(f"{report.service}: {report.answer}")
        for number, finding in enumerate(report.findings):
            if number:
                self.print_line(f"  also: {finding.sentence}")
            self.print_line(f"    {finding.action}")
        if report.silent:
            self.print_line(f"  did not answer: {', '.join(report.silent)}")
        self.print_line(
            f"  {report.requests} recent requests against {report.baseline_requests} "
            f"before, from {len(report.instances)} agents"
        )
        self.print_line()
        self._print_stages(report)
        self.print_line()
        self._print_routes(report)
        self.print_line()
        self._print_slowest(report)

    def _print_stages(self, report: SlowReport) -> None:
        self.print_table(
            ("stage, mean of a request", "now", "before", "more"),
            [
                (
                    line.stage.value,
                    format_duration(line.recent_s),
                    format_duration(line.baseline_s),
                    _difference(line.recent_s - line.baseline_s),
                )
                for line in report.stages
            ],
        )

    def _print_routes(self, report: SlowReport) -> None:
        self.print_table(
            ("route", "requests", "median", "p99", "largest"),
            [
                (
                    line.route,
                    str(line.requests),
                    format_duration(line.median_s),
                    format_duration(line.p99_s),
                    format_duration(line.largest_s),
                )
                for line in report.routes
            ],
        )

    def _print_slowest(self, report: SlowReport) -> None:
        self.print_table(
            ("slowest request", "route", "target", "time", "mostly"),
            [
                (
                    view.request_id,
                    view.route,
                    view.target,
                    format_duration(view.total_s),
                    _largest_stage(view),
                )
                for view in report.slowest
            ],
        )


def _share(seconds: float, total_s: float) -> float:
    return seconds / total_s if total_s > 0 else 0.0


def _difference(seconds: float) -> str:
    sign = "-" if seconds < 0 else "+"
    return f"{sign}{format_duration(abs(seconds))}"


def _largest_stage(view: RequestView) -> str:
    if not view.stages:
        return ""
    return max(view.stages, key=lambda stage: view.stages[stage]).value
