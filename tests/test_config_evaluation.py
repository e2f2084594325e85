"""Tests of the evaluation of entries."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import convert
from msgspec.json import decode, encode

from balsamtide.config.entries import malformed_entry, parse_entries
from balsamtide.config.evaluation import Evaluation, EvaluationReason, evaluate_entry
from balsamtide.config.model import Configuration, TargetState
from balsamtide.config.patching import PatchError, apply_patch
from balsamtide.config.validation import find_violation
from balsamtide.protocol.messages import Entry, PatchOperation
from tests.fakes_config import TWO_SERVICES, entry, operation, service, target

T1 = "/services/orders/targets/t-1"
ROUTES = "/services/orders/rules/routes"
GET_ROUTE = {"prefix": "/", "idempotent_methods": ["GET"]}


def add(path, value):
    """Return an operation that adds or replaces a member."""
    return operation("add", path, value)


@pytest.mark.parametrize(
    "operations",
    [
        (),
        (add(f"{T1}/state", "draining"),),
        (operation("test", f"{T1}/number", 1), operation("remove", T1)),
        (add("/services/extra", service(7)),),
        (operation("remove", "/services/intake"),),
        (operation("copy", f"{T1}/weight", source=f"{T1}/slots"),),
        (add(f"{ROUTES}/-", {"prefix": "/status", "size_class": "long"}),),
        (operation("replace", "/services", {}),),
        (operation("replace", "", {"services": {"new": service(9)}}),),
        (add(f"{T1}/host", "2001:db8::1"),),
        (
            operation("move", "/services/spare", source="/services/intake"),
            operation("move", "/services/intake", source="/services/spare"),
        ),
    ],
)
def test_valid_patch_comes_into_force(operations):
    """A valid patch based on the version in force comes into force."""
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
        ((add(f"{ROUTES}/99", GET_ROUTE),), EvaluationReason.PATCH_CONFLICT),
        (
            (operation("move", f"{T1}/zone/x", source=T1),),
            EvaluationReason.PATCH_CONFLICT,
        ),
        ((operation("append", f"{T1}/zone", "x"),), EvaluationReason.MALFORMED),
        ((operation("move", f"{T1}/zone"),), EvaluationReason.MALFORMED),
        ((add("services/x", 1),), EvaluationReason.MALFORMED),
        ((add("/services/~2", 1),), EvaluationReason.MALFORMED),
        ((add(f"{T1}/zone", float("nan")),), EvaluationReason.MALFORMED),
        ((add(f"{T1}/zone", b"octets"),), EvaluationReason.MALFORMED),
        ((add(f"{T1}/zone", {1: 2}),), EvaluationReason.MALFORMED),
        ((add(f"{T1}/port", 2**70),), EvaluationReason.MALFORMED),
        ((add(f"{T1}/zone", "x" * 1_000_000),), EvaluationReason.MALFORMED),
        ((add("/" * 17, 1),), EvaluationReason.TOO_LARGE),
        ((add(f"{ROUTES}/" + "9" * 10, 1),), EvaluationReason.TOO_LARGE),
        ((add(f"{T1}/slots", 2),) * 10_001, EvaluationReason.TOO_LARGE),
        ((add(f"{T1}/port", 0),), EvaluationReason.INVALID),
        ((add(f"{T1}/port", "80"),), EvaluationReason.INVALID),
        ((add(f"{T1}/weight", 0),), EvaluationReason.INVALID),
        ((add(f"{T1}/state", "asleep"),), EvaluationReason.INVALID),
        ((add(f"{T1}/unknown", 1),), EvaluationReason.INVALID),
        ((add("/services/Upper", service(7)),), EvaluationReason.INVALID),
        ((add("/services/line\n", service(7)),), EvaluationReason.INVALID),
        ((operation("remove", f"{T1}/zone"),), EvaluationReason.INVALID),
        ((operation("replace", "", 5),), EvaluationReason.INVALID),
        ((operation("replace", "", {"services": []}),), EvaluationReason.INVALID),
        ((add("/other", 5),), EvaluationReason.INVALID),
        ((operation("remove", "/services"), add("/x", 1)), EvaluationReason.INVALID),
        ((add("/services/intake/number", 1),), EvaluationReason.RULE_BROKEN),
        ((add("/services/intake/number", 3),), EvaluationReason.RULE_BROKEN),
        ((add("/services/extra", service(2)),), EvaluationReason.RULE_BROKEN),
        ((add(f"{T1}/number", 2),), EvaluationReason.RULE_BROKEN),
        ((add(f"{T1}/agent_port", 9002),), EvaluationReason.RULE_BROKEN),
        ((add(f"{T1}/agent_rpc_port", 19002),), EvaluationReason.RULE_BROKEN),
        ((add(f"{T1}/agent_host", "10.0.1.9"),), EvaluationReason.RULE_BROKEN),
        ((add(f"{T1}/host", "localhost"),), EvaluationReason.RULE_BROKEN),
        ((add(f"{T1}/host", "2001:db8:0::1"),), EvaluationReason.RULE_BROKEN),
        ((add(f"{T1}/host", "0.0.0.0"),), EvaluationReason.RULE_BROKEN),
        ((add(f"{T1}/host", "fe80::1%eth0"),), EvaluationReason.RULE_BROKEN),
        (
            (add("/services/intake/addresses/main/port", 401),),
            EvaluationReason.RULE_BROKEN,
        ),
        ((add(ROUTES, [GET_ROUTE, GET_ROUTE]),), EvaluationReason.RULE_BROKEN),
        (
            (add(f"{ROUTES}/0/idempotent_methods", ["get"]),),
            EvaluationReason.RULE_BROKEN,
        ),
        (
            (
                operation("move", "/services/renamed", source="/services/intake"),
                add("/services/intake", service(8)),
            ),
            EvaluationReason.RULE_BROKEN,
        ),
    ],
)
def test_invalid_patch_is_rejected_with_its_reason(operations, reason):
    """An invalid patch is rejected with its reason and changes nothing."""
    evaluation = evaluate_entry(TWO_SERVICES, 4, entry(5, 4, *operations))
    assert evaluation.reason is reason, evaluation.detail
    assert not evaluation.is_in_force
    assert evaluation.configuration is TWO_SERVICES
    assert len(evaluation.detail) <= 200


@pytest.mark.parametrize("base", [0, 3, 5, 2**40])
def test_other_base_is_rejected(base):
    """An entry whose base is not the version in force is rejected."""
    evaluation = evaluate_entry(TWO_SERVICES, 4, entry(6, base))
    assert evaluation.reason is EvaluationReason.STALE_BASE


def test_number_of_disabled_target_may_be_reused():
    """The number of a disabled target may be reused for another agent."""
    disabled = evaluate_entry(
        TWO_SERVICES, 1, entry(2, 1, add(f"{T1}/state", "disabled"))
    )
    moved = add(T1, target(1, agent_port=9009))
    evaluation = evaluate_entry(disabled.configuration, 2, entry(3, 2, moved))
    assert evaluation.is_in_force
    state = evaluation.configuration.services["orders"].targets["t-1"].state
    assert state is TargetState.ACTIVE


def test_untouched_services_keep_their_identity():
    """Services that a patch does not name stay the same objects."""
    drain = add(f"{T1}/state", "draining")
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
def test_doubling_patch_is_bounded(doubling):
    """A patch that doubles the document with every operation exceeds the limit."""
    evaluation = evaluate_entry(TWO_SERVICES, 1, entry(2, 1, *[doubling] * 1000))
    assert evaluation.reason is EvaluationReason.TOO_LARGE


def test_operations_do_not_mutate_the_entry():
    """Operations on a value that the patch added do not mutate the entry."""
    added = entry(
        2, 1, add("/services/extra", service(7)), add("/services/extra/number", 8)
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
def test_invalid_element_becomes_malformed_entry(body):
    """An invalid element with a number becomes the malformed entry."""
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
def test_evaluation_is_deterministic(patch):
    """Any patch has one reproducible result and a valid configuration."""
    offered = Entry(number=2, base=1, patch=patch)
    evaluation = evaluate_entry(TWO_SERVICES, 1, offered)
    assert isinstance(evaluation, Evaluation)
    assert evaluate_entry(TWO_SERVICES, 1, offered) == evaluation
    again = convert(decode(encode(evaluation.configuration)), Configuration)
    assert again == evaluation.configuration
    assert find_violation(Configuration(), again) is None


@given(PATCHES)
def test_partial_conversion_equals_full_conversion(patch):
    """Converting only the named services gives the same result as converting all."""

    def outcome(operations):
        try:
            return apply_patch(TWO_SERVICES, operations)
        except PatchError as error:
            return error.fault

    names_everything = operation("test", "", decode(encode(TWO_SERVICES)))
    assert outcome(patch) == outcome((names_everything, *patch))
