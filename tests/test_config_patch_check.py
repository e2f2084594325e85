"""Tests of the dry run of patches and of configuration differences."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from jsonpatch import JsonPatch
from msgspec.json import decode, encode

from balsamtide.config.difference import (
    ChangeKind,
    ConfigurationChange,
    diff_configurations,
)
from balsamtide.config.evaluation import EvaluationReason
from balsamtide.config.patch_check import WarningKind, check_patch
from tests.fakes_config import (
    TWO_SERVICES,
    configuration,
    entry,
    operation,
    service,
    target,
)

T1 = "/services/orders/targets/t-1"
SET_WEIGHT = operation("add", f"{T1}/weight", 5)


def test_report_lists_changes():
    """The report of a valid patch lists each changed member."""
    report = check_patch(TWO_SERVICES, 1, entry(2, 1, SET_WEIGHT))
    assert report.evaluation.is_in_force
    assert report.changes == (
        ConfigurationChange(
            kind=ChangeKind.CHANGED, path=f"{T1}/weight", old=100, new=5
        ),
    )
    assert report.warnings == ()


def test_rejected_patch_changes_nothing():
    """The report of a rejected patch has its reason and no changes."""
    report = check_patch(TWO_SERVICES, 1, entry(2, 0, SET_WEIGHT))
    assert report.evaluation.reason is EvaluationReason.STALE_BASE
    assert report.changes == report.warnings == ()


@pytest.mark.parametrize(
    ("operations", "warnings"),
    [
        ([operation("add", f"{T1}/state", "draining")], []),
        ([operation("remove", T1)], [(WarningKind.CUTS_FLOWS, T1)]),
        (
            [operation("add", f"{T1}/state", "disabled")],
            [(WarningKind.CUTS_FLOWS, T1)],
        ),
        (
            [operation("move", "/services/orders/targets/renamed", source=T1)],
            [],
        ),
        (
            [operation("add", "/services/orders/addresses/main/port", 9)],
            [(WarningKind.MOVES_ADDRESS, "/services/orders/addresses/main")],
        ),
        (
            [operation("add", "/services/extra", service(7, targets=0))],
            [(WarningKind.NO_ACTIVE_TARGET, "/services/extra/targets")],
        ),
        (
            [operation("add", "/services/orders/rules", {"routes": []})],
            [(WarningKind.NO_DEFAULT_ROUTE, "/services/orders/rules/routes")],
        ),
        (
            [operation("add", "/services/intake/targets/t-8", target(8, agent_port=1))],
            [],
        ),
        (
            [operation("remove", "/services/intake")],
            [
                (WarningKind.CUTS_FLOWS, "/services/intake/targets/t-1"),
                (WarningKind.CUTS_FLOWS, "/services/intake/targets/t-2"),
                (WarningKind.CUTS_FLOWS, "/services/intake/targets/t-3"),
                (WarningKind.MOVES_ADDRESS, "/services/intake/addresses/main"),
            ],
        ),
    ],
)
def test_risks_are_reported(operations, warnings):
    """Each risk of a valid patch is reported with the member at risk."""
    report = check_patch(TWO_SERVICES, 1, entry(2, 1, *operations))
    assert report.evaluation.is_in_force, report.evaluation.detail
    found = [(warning.kind, warning.path) for warning in report.warnings]
    assert found == warnings


def test_shared_agent_is_reported():
    """An agent that two services share is reported for the second."""
    shared = configuration(orders=service(1), intake=service(2))
    report = check_patch(shared, 1, entry(2, 1, SET_WEIGHT))
    assert {warning.kind for warning in report.warnings} == {WarningKind.SHARED_AGENT}
    assert all(item.path.startswith("/services/intake/") for item in report.warnings)
    assert check_patch(shared, 1, entry(2, 1)).warnings == ()


SERVICES = st.dictionaries(
    st.sampled_from(["orders", "intake", "extra"]),
    st.builds(service, st.integers(1, 9), targets=st.integers(0, 3)),
)


@given(SERVICES, SERVICES)
def test_changes_convert_old_to_new(old, new):
    """The differences, applied as a patch to the old, give the new configuration."""
    before, after = configuration(**old), configuration(**new)
    changes = diff_configurations(before, after)
    operations = [
        {"op": "remove", "path": change.path}
        if change.kind is ChangeKind.REMOVED
        else {"op": "add", "path": change.path, "value": change.new}
        for change in changes
    ]
    patched = JsonPatch(operations).apply(decode(encode(before)))
    assert patched == decode(encode(after))
    assert (changes == ()) == (before == after)
