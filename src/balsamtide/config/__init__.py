"""The numbered configuration: model, log, verdicts on entries, platform client."""

from balsamtide.config.holder import ConfigurationHolder, Held
from balsamtide.config.judge import Judgement, Reason, judge
from balsamtide.config.model import Configuration

__all__ = [
    "Configuration",
    "ConfigurationHolder",
    "Held",
    "Judgement",
    "Reason",
    "judge",
]
