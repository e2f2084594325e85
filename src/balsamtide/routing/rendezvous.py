"""Weighted rendezvous hashing."""

from collections.abc import Sequence
from math import log
from struct import Struct

from xxhash import xxh3_64_intdigest

from balsamtide.routing.picker import Candidate, TargetPicker

__all__ = ["Rendezvous"]

SEED = Struct(">I")
HASH_RANGE = float(2**64)
LARGEST_UNIFORM = 1.0 - 2.0**-53


class Rendezvous(TargetPicker):
    """Gives a key to the candidate with the highest weighted score.

    A change of one candidate moves only the keys that it gains or loses.  A pick
    hashes once for each candidate.

    Parameters
    ----------
    candidates : sequence of Candidate
        At least one.
    """

    def __init__(self, candidates: Sequence[Candidate]) -> None:
        if not candidates:
            raise ValueError("there are no candidates")
        ordered = sorted(candidates, key=lambda candidate: candidate.number)
        self.candidates = tuple(
            (SEED.pack(candidate.number), candidate) for candidate in ordered
        )
        self.has_equal_weights = len({item.weight for item in candidates}) == 1

    def pick(self, key: bytes) -> int:
        """Return the target number for ``key``."""
        if self.has_equal_weights:
            return self._pick_by_hash(key)
        return self._pick_by_score(key)

    def _pick_by_hash(self, key: bytes) -> int:
        """Pick among equal weights, where the score only grows with the hash."""
        best = self.candidates[0][1]
        best_hash = -1
        for seed, candidate in self.candidates:
            digest = xxh3_64_intdigest(seed + key)
            if digest > best_hash:
                best = candidate
                best_hash = digest
        return best.number

    def _pick_by_score(self, key: bytes) -> int:
        best = self.candidates[0][1]
        best_score = -1.0
        for seed, candidate in self.candidates:
            uniform = (xxh3_64_intdigest(seed + key) + 0.5) / HASH_RANGE
            score = candidate.weight / -log(min(uniform, LARGEST_UNIFORM))
            if score > best_score:
                best = candidate
                best_score = score
        return best.number
