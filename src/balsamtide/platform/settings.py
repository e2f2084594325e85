"""Decoding of the platform's settings file into `FlowSettings`.

The template ``deploy/node.yaml`` renders the fields as JSON, which is valid YAML, so
that startup needs no YAML parser.
"""

from collections.abc import Mapping
from json import loads
from os import environ
from typing import Any

from balsamtide.flow_node.settings import (
    Address,
    AgentTarget,
    FlowRole,
    FlowSettings,
    FlowSettingsError,
    StoreLimits,
    WarmUpLimit,
)
from balsamtide.transport.addresses import parse_ipv4

__all__ = ["READINESS_PATH", "decode_settings", "read_settings", "settings_path"]

READINESS_PATH = "/-/readiness"
SETTINGS_VARIABLE = "BALSAMTIDE_SETTINGS"
METRICS_VARIABLE = "BALSAMTIDE_METRICS_PORT"
DEFAULT_PATH = "/etc/balsamtide/node.yaml"
# Role names in the settings file.
BALANCER_ROLE = "front"
AGENT_ROLE = "side"
MAX_PORT = 65535
# Largest number of a setting; in milliseconds some 300,000 years.
MAX_NUMBER = 2**53


class _FieldReader:
    """Reads fields and collects the problems found in them."""

    def __init__(self, document: Mapping[str, Any]) -> None:
        self.document = document
        self.problems: list[str] = []

    def get(self, path: str, types: type | tuple, default: Any) -> Any:
        value: Any = self.document
        for name in path.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        if not isinstance(value, types) or isinstance(value, bool):
            self.problems.append(
                f"{path}: missing or wrong type (found {type(value).__name__})"
            )
            return default
        return value

    def address(self, path: str) -> Address:
        host, _, port = self.get(path, str, "0.0.0.0:0").rpartition(":")
        return self._check_host(path, host), self.parse_port(path, port)

    def host(self, path: str) -> str:
        return self._check_host(path, self.get(path, str, "0.0.0.0"))

    def has(self, path: str) -> bool:
        """Whether a field has a value."""
        value: Any = self.document
        for name in path.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        return value is not None

    def names(self, path: str) -> tuple[str, ...]:
        """Return the keys of a table that may be missing, in ascending order."""
        if not self.has(path):
            return ()
        return tuple(sorted(str(name) for name in self.get(path, Mapping, {})))

    def first_port(self, path: str) -> int:
        ports = self.get(path, list, [0])
        return self.parse_port(path, str(ports[0]) if ports else "")

    def hosts(self, path: str) -> tuple[str, ...]:
        """Return the addresses of a list, without their ports."""
        entries = self.get(path, list, [])
        names = (str(entry).rpartition(":")[0] for entry in entries)
        return tuple(self._check_host(path, name) for name in names)

    def number(self, path: str) -> float:
        value = self.get(path, (int, float), 0.0)
        # False for NaN as well.
        if not 0 <= value <= MAX_NUMBER:
            self.problems.append(f"{path}: {value!r:.40} is out of range")
            return 0.0
        return value

    def text(self, path: str) -> str:
        text = self.get(path, str, "")
        try:
            text.encode()
        except UnicodeEncodeError:
            self.problems.append(f"{path}: {text!r:.40} is not valid Unicode")
        return text

    def _check_host(self, path: str, host: str) -> str:
        try:
            parse_ipv4(host)
        except ValueError:
            self.problems.append(f"{path}: {host!r:.40} is not an IPv4 address")
        return host

    def parse_port(self, path: str, text: str) -> int:
        # The length is checked before `int`, which refuses thousands of digits.
        is_short = len(text) <= len(str(MAX_PORT))
        is_number = is_short and text.isascii() and text.isdigit()
        if not is_number or int(text) > MAX_PORT:
            self.problems.append(f"{path}: {text!r:.40} is not a port number")
            return 0
        return int(text)


def settings_path() -> str:
    """Return the path of the settings file."""
    return environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)


def read_settings(path: str) -> FlowSettings:
    """Read and decode a settings file.

    Raises
    ------
    FlowSettingsError
        If the file can't be read or is not valid; it lists all problems.
    """
    try:
        with open(path, "rb") as file:
            return decode_settings(file.read())
    except OSError as error:
        raise FlowSettingsError((f"{path}: {error.strerror}",)) from error


def decode_settings(data: bytes) -> FlowSettings:
    """Decode settings; unknown fields are ignored.

    Raises
    ------
    FlowSettingsError
        If the settings are not valid; it lists all problems.
    """
    try:
        document = loads(data)
    except (ValueError, RecursionError) as error:
        raise FlowSettingsError((f"invalid JSON: {error}",)) from error
    if not isinstance(document, dict):
        raise FlowSettingsError(("the document is not a JSON object",))
    fields = _FieldReader(document)
    settings = _decode_settings(fields)
    if fields.problems:
        raise FlowSettingsError(tuple(fields.problems))
    return settings


def _decode_settings(fields: _FieldReader) -> FlowSettings:
    roles = fields.get("servedRoles", list, [])
    is_agent = AGENT_ROLE in roles
    if not is_agent and BALANCER_ROLE not in roles:
        fields.problems.append("servedRoles: contains neither 'front' nor 'side'")
    host = fields.host("ipAddr")
    return FlowSettings(
        instance=fields.text("nodeId"),
        role=FlowRole.AGENT if is_agent else FlowRole.BALANCER,
        host=host,
        zone=fields.text("zone"),
        packets=fields.address("bindAddrs.datagramAddr"),
        readiness=fields.address("bindAddrs.ready"),
        # The field has the first and last port of the range for this traffic.
        inner=(host, fields.first_port("internalPorts")),
        # Without the ports: processes contact each other at the inner port.
        seeds=fields.hosts("seedAddrs"),
        store=fields.address("platform.address"),
        store_limits=StoreLimits(
            reads_per_s=fields.number("platform.readsPerS"),
            history_s=fields.number("platform.historyS"),
        ),
        drain_timeout_s=fields.number("bounds.drainTimeoutMs") / 1000,
        stop_timeout_s=fields.number("bounds.gracePeriodS"),
        flow_lifetime_s=fields.number("bounds.flowTtlS"),
        agent=_decode_agent(fields) if is_agent else None,
        metrics_port=_read_metrics_port(fields),
        zones=fields.names("zones"),
        warm_up_limit=_decode_warm_up_limit(fields),
        evacuation_timeout_s=(
            fields.number("bounds.evacuateMs") / 1000
            if fields.has("bounds.evacuateMs")
            else None
        ),
    )


def _decode_warm_up_limit(fields: _FieldReader) -> WarmUpLimit | None:
    if not fields.has("bounds.warmupExcess"):
        return None
    return WarmUpLimit(
        factor=fields.number("bounds.warmupExcess"),
        margin=fields.number("bounds.warmupMargin"),
    )


def _read_metrics_port(fields: _FieldReader) -> int:
    """Return the metrics port from the environment, 0 if it is not set."""
    return fields.parse_port(METRICS_VARIABLE, environ.get(METRICS_VARIABLE, "0"))


def _decode_agent(fields: _FieldReader) -> AgentTarget:
    return AgentTarget(
        service=fields.text("service"),
        local_address=fields.address("bindAddrs.outbound"),
        target_address=fields.address("app"),
    )
