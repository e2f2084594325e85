"""Definition of numbered events and of metrics.

Each package defines its own in modules ``events`` and ``metrics``; the catalogue
collects them.  Numbers: 100 process and settings, 200 configuration, 300 membership,
400 balancer and routing, 500 agent, 600 requests and admission, 700 telemetry,
800 caller.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["Event", "Level", "Metric", "MetricKind"]


class Level(Enum):
    """Severity of an event."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """A log line that can occur.

    Parameters
    ----------
    number : int
        Number in the catalogue, unique.
    name : str
        Short identifier with hyphens.
    level : Level
        Severity.
    meaning : str
        What happened, one sentence.
    action : str
        What an operator does about it, one sentence.
    fields : mapping of str to str
        Field names with their meaning and unit.
    """

    number: int
    name: str
    level: Level
    meaning: str
    action: str = "Nothing."
    fields: Mapping[str, str] = field(default_factory=dict)


class MetricKind(Enum):
    """How a metric moves."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True, kw_only=True)
class Metric:
    """A metric that is exposed.

    Parameters
    ----------
    name : str
        Name with its base unit, without the prefix ``balsamtide_``.
    kind : MetricKind
        Counter, gauge or histogram.
    meaning : str
        What it counts, one sentence.
    labels : tuple of str
        Names of the labels, each with a bounded set of values.
    """

    name: str
    kind: MetricKind
    meaning: str
    labels: tuple[str, ...] = ()
