"""The stages of a request and the time spent in each."""

from dataclasses import dataclass, field
from enum import Enum

__all__ = ["Stage", "StageTimes"]


class Stage(Enum):
    """Where the time of a request can go."""

    CALLER_PATH = "caller-path"
    BALANCER = "balancer"
    INNER_PATH = "inner-path"
    STEERED = "steered"
    HANDSHAKE = "handshake"
    QUEUED_SHORT = "queued-short"
    QUEUED_LONG = "queued-long"
    QUEUED_COLD = "queued-cold"
    QUEUED_LIMIT = "queued-limit"
    HAND_OFF = "hand-off"
    TARGET = "target"
    CALLER_STALL = "caller-stall"
    LOSS_STALL = "loss-stall"
    RETURN_PATH = "return-path"
    UNEXPLAINED = "unexplained"

    # Members are singletons; Enum's own hash is a Python call for each look-up.
    __hash__ = object.__hash__


@dataclass(slots=True)
class StageTimes:
    """Seconds by stage of one request, each measured on one clock."""

    seconds: dict[Stage, float] = field(default_factory=dict)

    def add(self, stage: Stage, seconds: float) -> None:
        """Add ``seconds`` to ``stage``."""
        self.seconds[stage] = self.seconds.get(stage, 0.0) + seconds

    @property
    def total(self) -> float:
        """Sum over all stages, seconds."""
        return sum(self.seconds.values())
