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
)

__all__ = ["READINESS_PATH", "decode_settings", "read_settings", "settings_path"]

READINESS_PATH = "/-/readiness"
SETTINGS_VARIABLE = "BALSAMTIDE_SETTINGS"
METRICS_VARIABLE = "BALSAMTIDE_METRICS_PORT"
DEFAULT_PATH = "/etc/balsamtide/node.yaml"
# Role names in the settings file.
BALANCER_ROLE = "front"
AGENT_ROLE = "side"


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
        if not port.isdigit():
            self.problems.append(f"{path}: {port!r:.40} is not a port number")
            return host, 0
        return host, int(port)

    def number(self, path: str) -> float:
        return self.get(path, (int, float), 0.0)

    def text(self, path: str) -> str:
        return self.get(path, str, "")


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
    host = fields.text("ipAddr")
    # First and last port of the range for traffic between instances.
    ports = fields.get("internalPorts", list, [0])
    seeds = fields.get("seedAddrs", list, [])
    return FlowSettings(
        instance=fields.text("nodeId"),
        role=FlowRole.AGENT if is_agent else FlowRole.BALANCER,
        host=host,
        zone=fields.text("zone"),
        packets=fields.address("bindAddrs.datagramAddr"),
        readiness=fields.address("bindAddrs.ready"),
        inner=(host, ports[0] if ports else 0),
        # Without the ports: processes contact each other at the inner port.
        seeds=tuple(str(seed).rpartition(":")[0] for seed in seeds),
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
    )


def _read_metrics_port(fields: _FieldReader) -> int:
    """Return the metrics port from the environment, 0 if it is not set."""
    text = environ.get(METRICS_VARIABLE, "0")
    if not text.isdigit():
        fields.problems.append(f"{METRICS_VARIABLE}: {text!r} is not a port")
        return 0
    return int(text)


def _decode_agent(fields: _FieldReader) -> AgentTarget:
    return AgentTarget(
        service=fields.text("service"),
        local_address=fields.address("bindAddrs.outbound"),
        target_address=fields.address("app"),
    )
