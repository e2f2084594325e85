"""Selection of the successor of a closed ledger; there is at most one.

The order of candidates is a pure function of the configuration, so that an agent that
missed the announcement of a closure still finds the successor.
"""

from collections.abc import Sequence
from enum import Enum

from xxhash import xxh3_64_intdigest

from balsamtide.config.model import Service, TargetState

__all__ = ["TransferResult", "SuccessorSelection", "successors"]


def successors(service: Service, target: int) -> tuple[int, ...]:
    """Return the targets whose agents may succeed ``target``, by rendezvous hash."""
    numbers = [
        other.number
        for other in service.targets.values()
        if other.state is TargetState.ACTIVE and other.number != target
    ]
    return tuple(sorted(numbers, key=lambda n: _rank(service.number, target, n)))


def _rank(service: int, target: int, candidate: int) -> int:
    return xxh3_64_intdigest(f"{service}:{target}:{candidate}".encode())


class TransferResult(Enum):
    """Result of the transfer of a closed ledger to one candidate."""

    ADOPTED = "adopted"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    UNSURE = "unsure"


class SuccessorSelection:
    """Tries candidates in order until one may have adopted the ledger.

    A transfer without a reply ends the selection too, since that candidate may have
    adopted the ledger.

    Parameters
    ----------
    candidates : sequence of int
        Target numbers, best first.
    """

    def __init__(self, candidates: Sequence[int]) -> None:
        self.remaining = list(candidates)
        self.successor: int | None = None
        self.is_done = not self.remaining

    @property
    def candidate(self) -> int | None:
        """The target to send the ledger to next; None when the selection is done."""
        return None if self.is_done else self.remaining[0]

    def record(self, result: TransferResult) -> None:
        """Record the result of the transfer to ``candidate``."""
        target = self.remaining.pop(0)
        if result in (TransferResult.ADOPTED, TransferResult.UNSURE):
            self.successor = target
            self.is_done = True
        self.is_done = self.is_done or not self.remaining
