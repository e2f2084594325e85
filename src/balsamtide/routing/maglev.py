"""Maglev hashing with weights."""

from array import array
from collections.abc import Sequence
from struct import Struct

from xxhash import xxh3_64_intdigest

from balsamtide.routing.picker import Candidate, TargetPicker

__all__ = ["DEFAULT_SLOTS", "Maglev"]

SEED = Struct(">I")
OFFSET_SEED = b"offset"
STEP_SEED = b"step"
EMPTY_SLOT = 0xFFFF
DEFAULT_SLOTS = 1009


class _Permutation:
    """The order in which one candidate claims slots."""

    def __init__(self, candidate: Candidate, slots: int) -> None:
        name = SEED.pack(candidate.number)
        self.slots = slots
        self.position = xxh3_64_intdigest(OFFSET_SEED + name) % slots
        self.step = xxh3_64_intdigest(STEP_SEED + name) % (slots - 1) + 1
        self.weight = candidate.weight
        self.credit = 0

    def claim(self, table: array, index: int) -> None:
        """Claim the next free slot of ``table`` for candidate ``index``."""
        position = self.position
        while table[position] != EMPTY_SLOT:
            position = (position + self.step) % self.slots
        table[position] = index
        self.position = position


def _filled(candidates: Sequence[Candidate], slots: int) -> array:
    table = array("H", [EMPTY_SLOT]) * slots
    permutations = [_Permutation(candidate, slots) for candidate in candidates]
    heaviest = max(candidate.weight for candidate in candidates)
    free = slots
    while True:
        for index, permutation in enumerate(permutations):
            permutation.credit += permutation.weight
            if permutation.credit < heaviest:
                continue
            permutation.credit -= heaviest
            permutation.claim(table, index)
            free -= 1
            if free == 0:
                return table


class Maglev(TargetPicker):
    """Gives a key to the candidate that holds its slot of a precomputed table.

    A pick hashes once.  The table is filled in turns by weight, so shares are exact
    to one slot; a change of one candidate also moves some keys among the others.

    Parameters
    ----------
    candidates : sequence of Candidate
        At least one, fewer than ``slots``.
    slots : int
        Size of the table, a prime number.
    """

    def __init__(
        self, candidates: Sequence[Candidate], *, slots: int = DEFAULT_SLOTS
    ) -> None:
        if not candidates:
            raise ValueError("there are no candidates")
        if len(candidates) >= min(slots, EMPTY_SLOT):
            raise ValueError(f"{len(candidates)} candidates for {slots} slots")
        ordered = sorted(candidates, key=lambda candidate: candidate.number)
        self.numbers = tuple(candidate.number for candidate in ordered)
        self.slots = slots
        self.table = _filled(ordered, slots)

    def pick(self, key: bytes) -> int:
        """Return the target number for ``key``."""
        return self.numbers[self.table[xxh3_64_intdigest(key) % self.slots]]
