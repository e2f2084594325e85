"""What the rest of balsamtide asks of membership."""

from abc import ABC, abstractmethod

__all__ = ["LivenessView"]


class LivenessView(ABC):
    """Beliefs about peers; they concern new work only."""

    @abstractmethod
    def is_eligible(self, instance: str, zone: str, now: float) -> bool:
        """Tell whether ``instance`` may be given new work."""
