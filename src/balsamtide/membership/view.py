"""Interface through which other packages query the liveness of peers."""

from abc import ABC, abstractmethod

__all__ = ["LivenessView"]


class LivenessView(ABC):
    """Eligibility of peers for new work; ongoing work is not affected."""

    @abstractmethod
    def is_eligible(self, instance: str, zone: str, now: float) -> bool:
        """Return whether ``instance`` in ``zone`` may be given new work."""
