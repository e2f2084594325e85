"""Weighted rendezvous hashing."""

from collections.abc import Sequence
from math import log
from struct import Struct

from xxhash import xxh3_64_intdigest

from balsamtide.routing.picker import Candidate, TargetPicker

__all__ = ["Rendezvous"]

NUMBER = Struct(">I")
HASH_RANGE = float(2**64)
MAX_UNIFORM = 1.0 - 2.0**-53  # largest float below 1; the log of 1 is 0


class Rendezvous(TargetPicker):
    """Maps a key to the candidate with the highest weighted score.

    A change of one candidate remaps only the keys that it gains or loses.  A pick
    computes one hash per candidate.

    Parameters
    ----------
    candidates : sequence of Candidate
        At least one.
    """

    def __init__(self, candidates: Sequence[Candidate]) -> None:
        if not candidates:
            raise ValueError("no candidates to pick from")
        ordered = sorted(candidates, key=lambda candidate: candidate.number)
        self.candidates = tuple(
            (NUMBER.pack(candidate.number), candidate) for candidate in ordered
        )
        self.has_equal_weights = len({item.weight for item in candidates}) == 1

    def pick(self, key: bytes) -> int:
        """Return the number of the target for ``key``."""
        if self.has_equal_weights:
            return self._pick_by_hash(key)
        return self._pick_by_score(key)

    def _pick_by_hash(self, key: bytes) -> int:
        """Pick the highest hash; with equal weights it has the highest score too."""
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
            score = candidate.weight / -log(min(uniform, MAX_UNIFORM))
            if score > best_score:
                best = candidate
                best_score = score
        return best.number
