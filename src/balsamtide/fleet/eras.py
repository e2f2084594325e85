"""Eras of the store in digests, which have room for the lower bits only."""

from balsamtide.protocol.flow_frames import ERA_BITS, ERA_MASK, Digest

__all__ = ["digest_position", "era_bits"]


def era_bits(era: int) -> int | None:
    """Return the bits of an era in a digest, None if the store has none."""
    return era & ERA_MASK if era > 0 else None


def digest_position(digest: Digest, era: int) -> tuple[int, int]:
    """Return era and revision of a digest, as seen by a process in an era.

    The bits are compared in serial number arithmetic (RFC 1982): up to half of their
    range ahead counts as later, the rest as earlier.
    """
    if digest.era_bits is None:
        return 0, digest.revision
    if era == 0:
        # Every era that is stated is later than none.
        return digest.era_bits or ERA_MASK + 1, digest.revision
    ahead = (digest.era_bits - era) & ERA_MASK
    if ahead >> (ERA_BITS - 1):
        ahead -= ERA_MASK + 1
    return era + ahead, digest.revision
