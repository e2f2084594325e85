"""The numbered configuration: model, log, verdicts on entries, platform client."""

from balsamtide.config.evaluation import Evaluation, EvaluationReason, evaluate_entry
from balsamtide.config.holder import ConfigurationHolder, Held
from balsamtide.config.model import Configuration

__all__ = [
    "Configuration",
    "ConfigurationHolder",
    "Held",
    "Evaluation",
    "EvaluationReason",
    "evaluate_entry",
]
