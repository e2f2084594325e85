"""Choice of a target for the first datagram of a flow."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["Candidate", "TargetPicker"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that may be picked.

    Parameters
    ----------
    number : int
        Target number.
    weight : int
        Share relative to the other candidates, at least 1.
    """

    number: int
    weight: int


class TargetPicker(ABC):
    """A consistent choice among weighted candidates.

    Two pickers built from equal candidates give equal answers in any process.

    Parameters
    ----------
    candidates : sequence of Candidate
        At least one.
    """

    @abstractmethod
    def __init__(self, candidates: Sequence[Candidate]) -> None: ...

    @abstractmethod
    def pick(self, key: bytes) -> int:
        """Return the target number for ``key``."""
