"""The checks: each model with its properties, and each mutant with its violation."""

from dataclasses import dataclass

__all__ = ["CHECKS", "Check"]

CYCLE = "acceptance cycle"


@dataclass(frozen=True, slots=True, kw_only=True)
class Check:
    """One exhaustive search.

    Parameters
    ----------
    model : str
        Name of the Promela file without its suffix.
    properties : str
        Names of the properties that the search checks.
    is_liveness : bool
        Whether to search for fair acceptance cycles instead of failed assertions.
    macros : tuple of str
        Macros defined for the model.
    violations : tuple of str
        One of these is reported if the check works; empty if the model must pass.
    """

    model: str
    properties: str
    is_liveness: bool = False
    macros: tuple[str, ...] = ()
    violations: tuple[str, ...] = ()

    @property
    def name(self) -> str:
        """Model and macros."""
        return " ".join((self.model, *self.macros))


def _mutants(
    model: str, properties: str, violations: tuple[str, ...], *names: str
) -> list[Check]:
    return [
        Check(model=model, properties=properties, macros=(name,), violations=violations)
        for name in names
    ]


ONE_LOG = ("ONE_LOG",)
ONE_ENTRY = ("ONE_LOG", "ENTRIES=1")
NOT_RUN_FAILS = ("runs==0", "told_not_run")
RUNS_TWICE = ("runs<=1",)

CHECKS: tuple[Check, ...] = (
    Check(model="configuration", properties="never_reverts agreement joiner_current"),
    Check(
        model="configuration",
        properties="in_force_last",
        is_liveness=True,
        macros=ONE_LOG,
    ),
    *_mutants("configuration", "never_reverts", ("visible>=held",), "NO_MONOTONE"),
    *_mutants(
        "configuration", "agreement", ("in_force[n]==log_in_force",), "NO_GAP_CHECK"
    ),
    *_mutants("configuration", "joiner_current", ("held[n]>=told",), "NO_WAIT"),
    Check(
        model="configuration",
        properties="in_force_last",
        is_liveness=True,
        macros=(*ONE_ENTRY, "NO_DIGEST"),
        violations=(CYCLE,),
    ),
    Check(model="at_most_once", properties="at_most_once not_run_holds"),
    *_mutants(
        "at_most_once",
        "at_most_once not_run_holds",
        NOT_RUN_FAILS + RUNS_TWICE,
        "NO_FENCE",
        "NO_WATERMARK",
        "NO_TENURE_CHECK",
        "NO_CLOSE",
        "TWO_SUCCESSORS",
        "LATE_GRANT",
        "GRANT_REUSED",
        "VOID_NOT_KEPT",
        "VOID_UNKNOWN",
        "VOID_UNMATCHED",
        "LATE_RECORD",
        "HOPEFUL_REFUSAL",
        "SILENT_QUEUE",
    ),
    Check(model="drain", properties="no_new_work nothing_cut"),
    Check(model="drain", properties="stops_at_last", is_liveness=True),
    *_mutants(
        "drain",
        "no_new_work",
        ("now<=",),
        "NO_EXCLUSION",
        "NO_REFUSAL",
        "LATE_GRANT",
    ),
    *_mutants("drain", "nothing_cut", ("cut==0",), "EARLY_STOP", "STOP_WHILE_RELAYING"),
    Check(
        model="drain",
        properties="stops_at_last",
        is_liveness=True,
        macros=("NEVER_STOP",),
        violations=(CYCLE,),
    ),
    Check(model="evacuation", properties="no_late_opening open_flow_stays"),
    *_mutants(
        "evacuation",
        "no_late_opening",
        ("now<=",),
        "NO_REFUSAL",
        "QUEUE_UNCHECKED",
        "RETRANSMISSION_UNCHECKED",
        "MUST_TAKE_UNCHECKED",
        "UNKNOWN_ISN_UNCHECKED",
        "NO_VIEW_WAIT",
        "FALL_AFTER_RESTART",
        "LATE_FALL",
        "NO_CATCH_UP",
    ),
    *_mutants("evacuation", "open_flow_stays", ("flow==",), "OPEN_FLOW_MOVED"),
)
