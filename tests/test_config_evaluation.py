"""Tests of the verdict on entries."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import convert
from msgspec.json import decode, encode

from balsamtide.config.entries import malformed_entry, parse_entries
from balsamtide.config.evaluation import Evaluation, EvaluationReason, evaluate_entry
from balsamtide.config.model import Configuration, TargetState
from balsamtide.config.patching import PatchError, apply_patch
from balsamtide.config.semantics import find_violation
from balsamtide.protocol.messages import Entry, PatchOperation
from tests.fakes_config import TWO_SERVICES, entry, operation, service, target

T1 = "/services/orders/targets/t-1"
ROUTES = "/services/orders/rules/routes"
GET_ROUTE = {"prefix": "/", "idempotent_methods": ["GET"]}


def put(path, value):
    """Return an operation that adds or overwrites a member."""
    return operation("add", path, value)


@pytest.mark.parametrize(
    "operations",
    [
        (),
        (put(f"{T1}/state", "draining"),),
        (operation("test", f"{T1}/number", 1), operation("remove", T1)),
        (put("/services/extra", service(7)),),
        (operation("remove", "/services/intake"),),
        (operation("copy", f"{T1}/weight", source=f"{T1}/slots"),),
        (put(f"{ROUTES}/-", {"prefix": "/status", "size_class": "long"}),),
        (operation("replace", "/services", {}),),
        (operation("replace", "", {"services": {"new": service(9)}}),),
        (put(f"{T1}/host", "2001:db8::1"),),
        (
            operation("move", "/services/spare", source="/services/intake"),
            operation("move", "/services/intake", source="/services/spare"),
        ),
    ],
)
def test_valid_patch_comes_in_force(operations):
    """A patch against the version in force that leaves valid rules is in force."""
    evaluation = evaluate_entry(TWO_SERVICES, 4, entry(6, 4, *operations))
    assert evaluation.is_in_force, evaluation.detail
    assert evaluation.reason is EvaluationReason.ACCEPTED
    assert evaluation.number == 6


@pytest.mark.parametrize(
    ("operations", "reason"),
    [
        ((operation("test", f"{T1}/number", 2),), EvaluationReason.TEST_FAILED),
        ((operation("test", f"{T1}/missing", None),), EvaluationReason.TEST_FAILED),
        ((operation("test", f"{T1}/number", True),), EvaluationReason.TEST_FAILED),
        ((operation("remove", f"{T1}/missing"),), EvaluationReason.PATCH_CONFLICT),
        ((operation("remove", ""),), EvaluationReason.PATCH_CONFLICT),
        (
            (operation("replace", "/services/none/number", 1),),
            EvaluationReason.PATCH_CONFLICT,
        ),
        ((put(f"{ROUTES}/99", GET_ROUTE),), EvaluationReason.PATCH_CONFLICT),
        (
            (operation("move", f"{T1}/zone/x", source=T1),),
            EvaluationReason.PATCH_CONFLICT,
        ),
        ((operation("append", f"{T1}/zone", "x"),), EvaluationReason.MALFORMED),
        ((operation("move", f"{T1}/zone"),), EvaluationReason.MALFORMED),
        ((put("services/x", 1),), EvaluationReason.MALFORMED),
        ((put("/services/~2", 1),), EvaluationReason.MALFORMED),
        ((put(f"{T1}/zone", float("nan")),), EvaluationReason.MALFORMED),
        ((put(f"{T1}/zone", b"octets"),), EvaluationReason.MALFORMED),
        ((put(f"{T1}/zone", {1: 2}),), EvaluationReason.MALFORMED),
        ((put(f"{T1}/port", 2**70),), EvaluationReason.MALFORMED),
        ((put(f"{T1}/zone", "x" * 1_000_000),), EvaluationReason.MALFORMED),
        ((put("/" * 17, 1),), EvaluationReason.TOO_LARGE),
        ((put(f"{ROUTES}/" + "9" * 10, 1),), EvaluationReason.TOO_LARGE),
        ((put(f"{T1}/slots", 2),) * 10_001, EvaluationReason.TOO_LARGE),
        ((put(f"{T1}/port", 0),), EvaluationReason.INVALID),
        ((put(f"{T1}/port", "80"),), EvaluationReason.INVALID),
        ((put(f"{T1}/weight", 0),), EvaluationReason.INVALID),
        ((put(f"{T1}/state", "asleep"),), EvaluationReason.INVALID),
        ((put(f"{T1}/unknown", 1),), EvaluationReason.INVALID),
        ((put("/services/Upper", service(7)),), EvaluationReason.INVALID),
        ((put("/services/line\n", service(7)),), EvaluationReason.INVALID),
        ((operation("remove", f"{T1}/zone"),), EvaluationReason.INVALID),
        ((operation("replace", "", 5),), EvaluationReason.INVALID),
        ((operation("replace", "", {"services": []}),), EvaluationReason.INVALID),
        ((put("/other", 5),), EvaluationReason.INVALID),
        ((operation("remove", "/services"), put("/x", 1)), EvaluationReason.INVALID),
        ((put("/services/intake/number", 1),), EvaluationReason.RULE_BROKEN),
        ((put("/services/intake/number", 3),), EvaluationReason.RULE_BROKEN),
        ((put("/services/extra", service(2)),), EvaluationReason.RULE_BROKEN),
        ((put(f"{T1}/number", 2),), EvaluationReason.RULE_BROKEN),
        ((put(f"{T1}/agent_port", 9002),), EvaluationReason.RULE_BROKEN),
        ((put(f"{T1}/agent_rpc_port", 19002),), EvaluationReason.RULE_BROKEN),
        ((put(f"{T1}/agent_host", "10.0.1.9"),), EvaluationReason.RULE_BROKEN),
        ((put(f"{T1}/host", "localhost"),), EvaluationReason.RULE_BROKEN),
        ((put(f"{T1}/host", "2001:db8:0::1"),), EvaluationReason.RULE_BROKEN),
        ((put(f"{T1}/host", "0.0.0.0"),), EvaluationReason.RULE_BROKEN),
        ((put(f"{T1}/host", "fe80::1%eth0"),), EvaluationReason.RULE_BROKEN),
        (
            (put("/services/intake/addresses/main/port", 401),),
            EvaluationReason.RULE_BROKEN,
        ),
        ((put(ROUTES, [GET_ROUTE, GET_ROUTE]),), EvaluationReason.RULE_BROKEN),
        (
            (put(f"{ROUTES}/0/idempotent_methods", ["get"]),),
            EvaluationReason.RULE_BROKEN,
        ),
        (
            (
                operation("move", "/services/renamed", source="/services/intake"),
                put("/services/intake", service(8)),
            ),
            EvaluationReason.RULE_BROKEN,
        ),
    ],
)
def test_bad_patch_is_rejected_with_its_reason(operations, reason):
    """Each kind of bad patch is rejected for its own reason and changes nothing."""
    evaluation = evaluate_entry(TWO_SERVICES, 4, entry(5, 4, *operations))
    assert evaluation.reason is reason, evaluation.detail
    assert not evaluation.is_in_force
    assert evaluation.configuration is TWO_SERVICES
    assert len(evaluation.detail) <= 200


@pytest.mark.parametrize("base", [0, 3, 5, 2**40])
def test_other_base_is_rejected(base):
    """An entry written against another version than the one in force is rejected."""
    evaluation = evaluate_entry(TWO_SERVICES, 4, entry(6, base))
    assert evaluation.reason is EvaluationReason.STALE_BASE


def test_disabled_number_may_lead_to_another_agent():
    """The number of a disabled target may be given to another agent."""
    disabled = evaluate_entry(
        TWO_SERVICES, 1, entry(2, 1, put(f"{T1}/state", "disabled"))
    )
    moved = put(T1, target(1, agent_port=9009))
    evaluation = evaluate_entry(disabled.configuration, 2, entry(3, 2, moved))
    assert evaluation.is_in_force
    state = evaluation.configuration.services["orders"].targets["t-1"].state
    assert state is TargetState.ACTIVE


def test_untouched_services_keep_their_identity():
    """A patch leaves the objects of services that it does not name in place."""
    drain = put(f"{T1}/state", "draining")
    evaluation = evaluate_entry(TWO_SERVICES, 1, entry(2, 1, drain))
    services = evaluation.configuration.services
    assert services["intake"] is TWO_SERVICES.services["intake"]
    assert services["orders"] is not TWO_SERVICES.services["orders"]


@pytest.mark.parametrize(
    "doubling",
    [
        operation("copy", "/services/orders/x", source="/services/orders"),
        operation("copy", "/x", source=""),
    ],
)
def test_copies_are_bounded(doubling):
    """A patch that doubles the document with every operation meets the limit."""
    evaluation = evaluate_entry(TWO_SERVICES, 1, entry(2, 1, *[doubling] * 1000))
    assert evaluation.reason is EvaluationReason.TOO_LARGE


def test_entry_is_not_changed_by_its_own_operations():
    """Operations on a value that the patch added leave the entry as it was."""
    added = entry(
        2, 1, put("/services/extra", service(7)), put("/services/extra/number", 8)
    )
    before = encode(added)
    evaluation = evaluate_entry(TWO_SERVICES, 1, added)
    assert evaluation.configuration.services["extra"].number == 8
    assert encode(added) == before


@pytest.mark.parametrize(
    "body",
    [
        b'[{"number": 3}]',
        b'[{"number": 3, "base": "2", "patch": []}]',
        b'[{"number": 3, "base": -7, "patch": []}]',
        b'[{"number": 3, "base": 2, "patch": {}}]',
        b'[{"number": 3, "base": 2, "patch": [{"op": "add"}]}]',
        b'[{"number": 3, "base": 2, "patch": [], "actor": "%s"}]' % (b"a" * 129),
        b'[{"number":3,"base":2,"patch":[{"op":"add","path":"","value":%s1%s}]}]'
        % (b"[" * 20, b"]" * 20),
        b'[{"number":3,"base":2,"patch":[{"op":"add","path":"","value":1%s}]}]'
        % (b"0" * 30),
    ],
)
def test_unusable_entry_has_one_form(body):
    """What the platform serves under a number becomes the same rejected entry."""
    assert parse_entries(body) == (malformed_entry(3),)
    assert (
        evaluate_entry(TWO_SERVICES, 2, malformed_entry(3)).reason
        is EvaluationReason.MALFORMED
    )


POINTERS = st.one_of(
    st.sampled_from(
        ["", "/", "/services", "/services/orders", T1, f"{T1}/weight", ROUTES]
    ),
    st.lists(
        st.sampled_from(["services", "orders", "new", "targets", "t-1", "0", "-", "~1"])
    ).map(lambda tokens: "".join(f"/{token}" for token in tokens)),
    st.text(max_size=8),
)
VALUES = st.recursive(
    st.one_of(
        st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=8)
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.sampled_from(["services", "number", "x"]), inner),
    ),
    max_leaves=8,
)
OPERATIONS = st.builds(
    PatchOperation,
    op=st.sampled_from(["add", "remove", "replace", "move", "copy", "test", "no"]),
    path=POINTERS,
    value=st.one_of(VALUES, st.just(service(5)), st.just(target(5))),
    source=st.one_of(st.none(), POINTERS),
)
PATCHES = st.lists(OPERATIONS, max_size=6).map(tuple)


@given(PATCHES)
def test_any_patch_gets_one_verdict(patch):
    """Any patch yields one verdict, the same each time, with a valid outcome."""
    offered = Entry(number=2, base=1, patch=patch)
    evaluation = evaluate_entry(TWO_SERVICES, 1, offered)
    assert isinstance(evaluation, Evaluation)
    assert evaluate_entry(TWO_SERVICES, 1, offered) == evaluation
    again = convert(decode(encode(evaluation.configuration)), Configuration)
    assert again == evaluation.configuration
    assert find_violation(Configuration(), again) is None


@given(PATCHES)
def test_partial_expansion_equals_full_expansion(patch):
    """Expanding only the named services gives what expanding all of them gives."""

    def outcome(operations):
        try:
            return apply_patch(TWO_SERVICES, operations)
        except PatchError as error:
            return error.fault

    names_everything = operation("test", "", decode(encode(TWO_SERVICES)))
    assert outcome(patch) == outcome((names_everything, *patch))
