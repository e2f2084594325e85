"""Weighted Maglev hashing."""

from array import array
from collections.abc import Sequence
from struct import Struct

from xxhash import xxh3_64_intdigest

from balsamtide.routing.picker import Candidate, TargetPicker

__all__ = ["DEFAULT_SLOTS", "Maglev"]

NUMBER = Struct(">I")
OFFSET_SEED = b"offset"
STEP_SEED = b"step"
EMPTY_SLOT = 0xFFFF  # largest 16-bit entry, above any index
DEFAULT_SLOTS = 1009


class _Permutation:
    """Preference list of one candidate over the slots of the table."""

    def __init__(self, candidate: Candidate, slots: int) -> None:
        seed = NUMBER.pack(candidate.number)
        self.slots = slots
        self.position = xxh3_64_intdigest(OFFSET_SEED + seed) % slots
        self.step = xxh3_64_intdigest(STEP_SEED + seed) % (slots - 1) + 1
        self.weight = candidate.weight
        self.credit = 0

    def claim(self, table: array, index: int) -> None:
        """Write ``index`` to the first free slot of ``table`` in preference order."""
        position = self.position
        while table[position] != EMPTY_SLOT:
            position = (position + self.step) % self.slots
        table[position] = index
        self.position = position


def _fill_table(candidates: Sequence[Candidate], slots: int) -> array:
    """Return candidate indexes by slot, filled in weighted round-robin order."""
    table = array("H", [EMPTY_SLOT]) * slots
    permutations = [_Permutation(candidate, slots) for candidate in candidates]
    max_weight = max(candidate.weight for candidate in candidates)
    free = slots
    while True:
        for index, permutation in enumerate(permutations):
            permutation.credit += permutation.weight
            if permutation.credit < max_weight:
                continue
            permutation.credit -= max_weight
            permutation.claim(table, index)
            free -= 1
            if free == 0:
                return table


class Maglev(TargetPicker):
    """Maps a key to the candidate in its slot of a precomputed lookup table.

    A pick computes one hash.  The table is filled by weighted round robin, so each
    share is exact to one slot.  Unlike with `Rendezvous`, a change of one candidate
    also remaps some keys between the others.

    Parameters
    ----------
    candidates : sequence of Candidate
        At least one and fewer than ``slots``.
    slots : int
        Size of the lookup table, a prime number.
    """

    def __init__(
        self, candidates: Sequence[Candidate], *, slots: int = DEFAULT_SLOTS
    ) -> None:
        if not candidates:
            raise ValueError("no candidates to pick from")
        if len(candidates) >= min(slots, EMPTY_SLOT):
            raise ValueError(
                f"too many candidates: {len(candidates)} candidates for {slots} slots"
            )
        ordered = sorted(candidates, key=lambda candidate: candidate.number)
        self.numbers = tuple(candidate.number for candidate in ordered)
        self.slots = slots
        self.table = _fill_table(ordered, slots)

    def pick(self, key: bytes) -> int:
        """Return the target number for ``key``."""
        return self.numbers[self.table[xxh3_64_intdigest(key) % self.slots]]
