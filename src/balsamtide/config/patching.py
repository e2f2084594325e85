"""Application of RFC 6902 patches to a configuration, in bounded time and memory.

Only the services that a patch names are converted to JSON; all others keep their
identity, so that routing tables derived from a `Service` object can be reused.
jsonpatch applies the operations one by one; the size of every value that an operation
contains, copies or moves is first deducted from a budget of `MAX_PATCH_NODES`.
"""

from collections.abc import Sequence
from enum import Enum
from re import compile as compile_pattern
from typing import Any

from jsonpatch import JsonPatch, JsonPatchException, JsonPatchTestFailed
from jsonpointer import JsonPointer, JsonPointerException
from msgspec import Struct, ValidationError, convert
from msgspec.json import decode, encode

from balsamtide.config.entries import InvalidEntryError, measure_value
from balsamtide.config.model import Configuration, Service
from balsamtide.protocol.messages import PatchOperation

__all__ = [
    "MAX_OPERATIONS",
    "MAX_PATCH_NODES",
    "PatchError",
    "PatchFault",
    "apply_patch",
]

MAX_OPERATIONS = 10_000
MAX_PATCH_NODES = 300_000
MAX_POINTER_TOKENS = 16
MAX_POINTER_CHARS = 512
MAX_DOCUMENT_DEPTH = 64
MAX_INDEX_DIGITS = 9
VALUE_OPERATIONS = frozenset({"add", "replace", "test"})
SOURCE_OPERATIONS = frozenset({"move", "copy"})
OPERATIONS = VALUE_OPERATIONS | SOURCE_OPERATIONS | {"remove"}
POINTER = compile_pattern(r"(?:/(?:[^/~]|~[01])*)*\Z")
SERVICES = "services"

Document = Any


class PatchFault(Enum):
    """Why a patch cannot be applied."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    TEST_FAILED = "test-failed"
    CONFLICT = "conflict"
    INVALID = "invalid"


class PatchError(ValueError):
    """A patch cannot be applied.

    Parameters
    ----------
    fault : PatchFault
        Class of the fault.
    detail : str
        Description of the fault.
    """

    def __init__(self, fault: PatchFault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault
        self.detail = detail


def _parse_pointer(pointer: str) -> list[str]:
    """Return the unescaped tokens of ``pointer`` after checking its syntax and size."""
    if len(pointer) > MAX_POINTER_CHARS or not POINTER.match(pointer):
        raise PatchError(
            PatchFault.MALFORMED,
            "a path is not a JSON pointer",
        )
    tokens = pointer.split("/")[1:]
    if len(tokens) > MAX_POINTER_TOKENS:
        raise PatchError(
            PatchFault.TOO_LARGE,
            "a path has too many parts",
        )
    if any(token.isdigit() and len(token) > MAX_INDEX_DIGITS for token in tokens):
        raise PatchError(
            PatchFault.TOO_LARGE,
            "an index has too many digits",
        )
    return [token.replace("~1", "/").replace("~0", "~") for token in tokens]


def _operation_pointers(operation: PatchOperation) -> list[str]:
    if operation.op not in OPERATIONS:
        raise PatchError(PatchFault.MALFORMED, "an operation is not of RFC 6902")
    if operation.op not in SOURCE_OPERATIONS:
        return [operation.path]
    if operation.source is None:
        raise PatchError(PatchFault.MALFORMED, f"{operation.op} without from")
    return [operation.path, operation.source]


def _named_services(patch: Sequence[PatchOperation]) -> set[str] | None:
    """Return the services that ``patch`` names, None if it may affect all."""
    names = set()
    covers_all = False
    for operation in patch:
        for pointer in _operation_pointers(operation):
            tokens = _parse_pointer(pointer)
            if len(tokens) >= 2 and tokens[0] == SERVICES:
                names.add(tokens[1])
            else:
                covers_all = True
    return None if covers_all else names


def _to_document(value: Struct) -> Document:
    return decode(encode(value))


def _to_mixed_document(
    configuration: Configuration, names: set[str] | None
) -> Document:
    """Return a document in which the services other than ``names`` stay `Service`.

    All services are converted to JSON if ``names`` is None.
    """
    if names is None:
        return _to_document(configuration)
    services: dict[str, object] = dict(configuration.services)
    for name in names & services.keys():
        services[name] = _to_document(configuration.services[name])
    return {SERVICES: services}


class _NodeBudget:
    """Number of JSON nodes that the operations of one patch may still process."""

    def __init__(self) -> None:
        self.remaining = MAX_PATCH_NODES

    def deduct(self, value: object) -> None:
        """Deduct ``value``; the limit in an error is the budget that remains."""
        try:
            size = measure_value(
                value, max_nodes=self.remaining, max_depth=MAX_DOCUMENT_DEPTH
            )
        except InvalidEntryError as fault:
            raise PatchError(PatchFault.TOO_LARGE, str(fault)) from fault
        self.remaining -= size.nodes


def _to_json_operation(operation: PatchOperation) -> dict[str, object]:
    result: dict[str, object] = {"op": operation.op, "path": operation.path}
    if operation.op in VALUE_OPERATIONS:
        result["value"] = operation.value
    if operation.op in SOURCE_OPERATIONS:
        result["from"] = operation.source
    return result


def _budgeted_value(document: Document, operation: PatchOperation) -> object:
    if operation.op in VALUE_OPERATIONS:
        return operation.value
    if operation.source is not None and operation.op in SOURCE_OPERATIONS:
        return JsonPointer(operation.source).resolve(document)
    return None


def _apply(
    document: Document, operation: PatchOperation, budget: _NodeBudget
) -> Document:
    # Audit records store this text as the detail, without the error of the library.
    location = f"{operation.op} {operation.path}"
    try:
        budget.deduct(_budgeted_value(document, operation))
        return JsonPatch([_to_json_operation(operation)]).apply(document, in_place=True)
    except JsonPatchTestFailed as error:
        raise PatchError(PatchFault.TEST_FAILED, location) from error
    except (
        JsonPatchException,
        JsonPointerException,
        LookupError,
        TypeError,
        AttributeError,
    ) as error:
        raise PatchError(PatchFault.CONFLICT, location) from error


def _convert(document: Document) -> Configuration:
    try:
        return convert(document, Configuration)
    except ValidationError as error:
        raise PatchError(PatchFault.INVALID, str(error)) from error


def _to_configuration(document: Document) -> Configuration:
    services = document.get(SERVICES) if isinstance(document, dict) else None
    if not isinstance(services, dict):
        return _convert(document)
    decoded = {
        name: service
        for name, service in services.items()
        if not isinstance(service, Service)
    }
    converted = _convert({**document, SERVICES: decoded}).services
    return Configuration({**services, **converted})


def apply_patch(
    configuration: Configuration, patch: Sequence[PatchOperation]
) -> Configuration:
    """Apply ``patch`` to ``configuration`` and return the validated result.

    Raises
    ------
    PatchError
        If the patch is malformed, exceeds a limit, does not apply, or results in a
        document that is not a configuration.
    """
    if len(patch) > MAX_OPERATIONS:
        detail = f"more than {MAX_OPERATIONS} operations"
        raise PatchError(PatchFault.TOO_LARGE, detail)
    document = _to_mixed_document(configuration, _named_services(patch))
    budget = _NodeBudget()
    for operation in patch:
        document = _apply(document, operation, budget)
    return _to_configuration(document)
