"""Evaluation of an entry; the result depends only on the log up to that entry."""

from dataclasses import dataclass
from enum import Enum

from balsamtide.config.entries import InvalidEntryError, check_entry
from balsamtide.config.model import Configuration
from balsamtide.config.patching import PatchError, PatchFault, apply_patch
from balsamtide.config.validation import find_violation
from balsamtide.protocol.messages import Entry

__all__ = ["Evaluation", "EvaluationReason", "evaluate_entry"]

MAX_DETAIL_CHARS = 200


class EvaluationReason(Enum):
    """Why an entry came into force or was rejected."""

    ACCEPTED = "accepted"
    MALFORMED = "malformed"
    STALE_BASE = "stale-base"
    TOO_LARGE = "too-large"
    TEST_FAILED = "test-failed"
    PATCH_CONFLICT = "patch-conflict"
    INVALID = "invalid"
    RULE_BROKEN = "rule-broken"


REASONS_BY_FAULT = {
    PatchFault.MALFORMED: EvaluationReason.MALFORMED,
    PatchFault.TOO_LARGE: EvaluationReason.TOO_LARGE,
    PatchFault.TEST_FAILED: EvaluationReason.TEST_FAILED,
    PatchFault.CONFLICT: EvaluationReason.PATCH_CONFLICT,
    PatchFault.INVALID: EvaluationReason.INVALID,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Evaluation:
    """The result of evaluating one entry.

    Parameters
    ----------
    number : int
        Number of the entry.
    is_in_force : bool
        Whether the entry came into force; otherwise it was rejected.
    reason : EvaluationReason
        Why, ``ACCEPTED`` if it came into force.
    configuration : Configuration
        Configuration after the entry; unchanged if it was rejected.
    detail : str
        Description of the fault, at most 200 characters.  Audit records store it, so
        its wording is fixed.
    """

    number: int
    is_in_force: bool
    reason: EvaluationReason
    configuration: Configuration
    detail: str = ""


def _reject(
    configuration: Configuration, entry: Entry, reason: EvaluationReason, detail: str
) -> Evaluation:
    return Evaluation(
        number=entry.number,
        is_in_force=False,
        reason=reason,
        configuration=configuration,
        detail=detail[:MAX_DETAIL_CHARS],
    )


def evaluate_entry(
    configuration: Configuration, in_force: int, entry: Entry
) -> Evaluation:
    """Apply ``entry`` to ``configuration`` and return the result.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force before the entry.
    in_force : int
        Its version: the last entry that came into force, 0 if none.
    entry : Entry
        Next entry of the log.
    """
    try:
        check_entry(entry)
    except InvalidEntryError as fault:
        return _reject(configuration, entry, EvaluationReason.MALFORMED, str(fault))
    if entry.base != in_force:
        detail = f"base {entry.base} while {in_force} is in force"
        return _reject(configuration, entry, EvaluationReason.STALE_BASE, detail)
    try:
        successor = apply_patch(configuration, entry.patch)
    except PatchError as error:
        reason = REASONS_BY_FAULT[error.fault]
        return _reject(configuration, entry, reason, error.detail)
    violation = find_violation(configuration, successor)
    if violation is not None:
        detail = f"{violation.kind.value}: {violation.path}: {violation.detail}"
        return _reject(configuration, entry, EvaluationReason.RULE_BROKEN, detail)
    return Evaluation(
        number=entry.number,
        is_in_force=True,
        reason=EvaluationReason.ACCEPTED,
        configuration=successor,
    )
