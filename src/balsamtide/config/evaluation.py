"""The verdict on an entry: a pure function of the log."""

from dataclasses import dataclass
from enum import Enum

from balsamtide.config.entries import InvalidEntryError, check_entry
from balsamtide.config.model import Configuration
from balsamtide.config.patching import PatchError, PatchFault, apply_patch
from balsamtide.config.semantics import find_violation
from balsamtide.protocol.messages import Entry

__all__ = ["Evaluation", "EvaluationReason", "evaluate_entry"]

MAX_DETAIL_CHARS = 200


class EvaluationReason(Enum):
    """Why an entry is in force or rejected."""

    ACCEPTED = "accepted"
    MALFORMED = "malformed"
    STALE_BASE = "stale-base"
    TOO_LARGE = "too-large"
    TEST_FAILED = "test-failed"
    PATCH_CONFLICT = "patch-conflict"
    INVALID = "invalid"
    RULE_BROKEN = "rule-broken"


REASON_OF_FAULT = {
    PatchFault.MALFORMED: EvaluationReason.MALFORMED,
    PatchFault.TOO_LARGE: EvaluationReason.TOO_LARGE,
    PatchFault.TEST_FAILED: EvaluationReason.TEST_FAILED,
    PatchFault.CONFLICT: EvaluationReason.PATCH_CONFLICT,
    PatchFault.INVALID: EvaluationReason.INVALID,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Evaluation:
    """The verdict on one entry.

    Parameters
    ----------
    number : int
        Number of the entry.
    is_in_force : bool
        Whether it is in force; otherwise it is rejected.
    reason : EvaluationReason
        Class of the reason, ``ACCEPTED`` where it is in force.
    configuration : Configuration
        The configuration after the entry; unchanged by a rejected one.
    detail : str
        What exactly was found, for people.
    """

    number: int
    is_in_force: bool
    reason: EvaluationReason
    configuration: Configuration
    detail: str = ""


def _rejected(
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
    """Return the verdict on ``entry``.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force before the entry.
    in_force : int
        Number of the last entry in force before it, 0 if there is none.
    entry : Entry
        The entry that follows in the log.
    """
    try:
        check_entry(entry)
    except InvalidEntryError as fault:
        return _rejected(configuration, entry, EvaluationReason.MALFORMED, str(fault))
    if entry.base != in_force:
        detail = f"base {entry.base} while {in_force} is in force"
        return _rejected(configuration, entry, EvaluationReason.STALE_BASE, detail)
    try:
        successor = apply_patch(configuration, entry.patch)
    except PatchError as error:
        reason = REASON_OF_FAULT[error.fault]
        return _rejected(configuration, entry, reason, error.detail)
    violation = find_violation(configuration, successor)
    if violation is not None:
        detail = f"{violation.kind.value}: {violation.path}: {violation.detail}"
        return _rejected(configuration, entry, EvaluationReason.RULE_BROKEN, detail)
    return Evaluation(
        number=entry.number,
        is_in_force=True,
        reason=EvaluationReason.ACCEPTED,
        configuration=successor,
    )
