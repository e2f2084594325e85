"""Reads the admin listener of a daemon."""

from typing import TypeVar
from urllib.parse import quote

from httpx import BaseTransport, Client, HTTPError, InvalidURL, Response
from msgspec import DecodeError, ValidationError
from msgspec.json import decode

from balsamtide.cli.errors import CommandError, ExitCode
from balsamtide.telemetry.admin import AdminError, NumberedConfiguration
from balsamtide.telemetry.audit import AuditEntry
from balsamtide.telemetry.logging import LoggedEvent
from balsamtide.telemetry.status import Status
from balsamtide.telemetry.summary import RequestView, Summary

__all__ = ["AdminClient"]

TIMEOUT_S = 10.0
NOT_FOUND = 404

Answer = TypeVar("Answer")


class AdminClient:
    """A client of one admin listener.

    Parameters
    ----------
    url : str
        Base URL of the admin listener.
    transport : BaseTransport or None
        Replaces the network.
    """

    def __init__(self, url: str, *, transport: BaseTransport | None = None) -> None:
        self.url = url
        self.client = Client(
            base_url=url, transport=transport, timeout=TIMEOUT_S, trust_env=False
        )

    def status(self) -> Status:
        """Return the status of the daemon."""
        return self._get("/status", Status)

    def configuration(self) -> NumberedConfiguration:
        """Return the configuration in force there."""
        return self._get("/configuration", NumberedConfiguration)

    def audit(
        self, *, kind: str = "", subject: str = "", since: float = 0.0
    ) -> tuple[AuditEntry, ...]:
        """Return the audit trail, oldest change first."""
        return self._get(
            "/audit",
            tuple[AuditEntry, ...],
            kind=kind,
            subject=subject,
            since=str(since),
        )

    def events(self) -> tuple[LoggedEvent, ...]:
        """Return the recent events, oldest first."""
        return self._get("/events", tuple[LoggedEvent, ...])

    def summary(self, service: str) -> Summary:
        """Return the summary of a service, merged over its agents."""
        return self._get("/summary", Summary, service=service, peers="1")

    def request(self, request_id: str) -> RequestView:
        """Return one request."""
        return self._get(f"/requests/{quote(request_id, safe='')}", RequestView)

    def _get(
        self, path: str, answer_type: type[Answer], /, **parameters: str
    ) -> Answer:
        try:
            response = self.client.get(path, params=parameters)
        except (HTTPError, InvalidURL) as error:
            raise CommandError(
                f"no answer from {self.url}: {error}",
                hint="give the daemon's admin address with --admin http://HOST:PORT "
                "or in BALSAMCTL_ADMIN, and check that the daemon runs",
                code=ExitCode.UNREACHABLE,
            ) from error
        if not response.is_success:
            raise _refusal(response)
        try:
            return decode(response.content, type=answer_type)
        except (DecodeError, ValidationError) as error:
            raise _unusable(self.url, str(error)) from error


def _refusal(response: Response) -> CommandError:
    try:
        refusal = decode(response.content, type=AdminError)
    except (DecodeError, ValidationError):
        return _unusable(str(response.url), f"HTTP status {response.status_code}")
    is_missing = response.status_code == NOT_FOUND
    code = ExitCode.NOT_FOUND if is_missing else ExitCode.USAGE
    return CommandError(refusal.error, hint=refusal.hint, code=code)


def _unusable(url: str, detail: str) -> CommandError:
    return CommandError(
        f"{url} gave an answer that is no balsamtide answer: {detail}",
        hint="check that --admin names an admin listener and that both versions match",
        code=ExitCode.UNREACHABLE,
    )
