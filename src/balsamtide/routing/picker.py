"""Interface of target selection for the first datagram of a flow."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["Candidate", "TargetPicker"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that a picker may return.

    Parameters
    ----------
    number : int
        Target number.
    weight : int
        Relative share of the keys, at least 1.
    """

    number: int
    weight: int


class TargetPicker(ABC):
    """Maps keys consistently to weighted candidates.

    Pickers built from equal candidates, in any order, return the same target for a
    key in every process.

    Parameters
    ----------
    candidates : sequence of Candidate
        At least one.
    """

    @abstractmethod
    def __init__(self, candidates: Sequence[Candidate]) -> None: ...

    @abstractmethod
    def pick(self, key: bytes) -> int:
        """Return the number of the target for ``key``."""
