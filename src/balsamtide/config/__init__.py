"""Versioned configuration: model, log of patches, validation, platform client."""

from balsamtide.config.evaluation import Evaluation, EvaluationReason, evaluate_entry
from balsamtide.config.model import Configuration
from balsamtide.config.replica import ConfigurationReplica, ReplicaState

__all__ = [
    "Configuration",
    "ConfigurationReplica",
    "ReplicaState",
    "Evaluation",
    "EvaluationReason",
    "evaluate_entry",
]
