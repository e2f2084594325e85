"""What an analysis of slowness says, as data and as a sentence."""

from enum import Enum

from msgspec import Struct

from balsamtide.telemetry.stages import Stage

__all__ = ["CauseKind", "Diagnosis", "Finding", "Scope", "ScopeKind"]


class CauseKind(Enum):
    """Causes that are told apart."""

    SLOW_TARGET = "slow-target"
    LOSSY_PATH = "lossy-path"
    FAR_ZONE = "far-zone"
    SLOW_PATH = "slow-path"
    LONG_QUEUE = "long-queue"
    SHORT_QUEUE = "short-queue"
    COLD_START = "cold-start"
    LIMIT = "limit"
    STALE_VERSION = "stale-version"
    STEERING = "steering"
    SILENT_CONNECTION = "silent-connection"
    SLOW_CALLER = "slow-caller"
    HANDSHAKE = "handshake"
    BALANCER = "balancer"
    HAND_OFF = "hand-off"
    FAILURES = "failures"
    UNEXPLAINED = "unexplained"


MEANINGS = {
    CauseKind.SLOW_TARGET: "the target takes longer to answer",
    CauseKind.LOSSY_PATH: "answers are held up by lost datagrams",
    CauseKind.FAR_ZONE: "the path to an availability zone takes longer",
    CauseKind.SLOW_PATH: "the path takes longer",
    CauseKind.LONG_QUEUE: "requests wait behind long work",
    CauseKind.SHORT_QUEUE: "more short requests arrive than are served",
    CauseKind.COLD_START: "requests wait for targets that have just started",
    CauseKind.LIMIT: "requests wait for a limit of the service",
    CauseKind.STALE_VERSION: "requests are routed by an old version",
    CauseKind.STEERING: "flows are steered on to another target first",
    CauseKind.SILENT_CONNECTION: "the other end of connections fell silent",
    CauseKind.SLOW_CALLER: "callers read their answers slowly",
    CauseKind.HANDSHAKE: "handshakes take longer",
    CauseKind.BALANCER: "balancers forward more slowly",
    CauseKind.HAND_OFF: "handing requests over to peers takes longer",
    CauseKind.FAILURES: "attempts fail or are refused",
    CauseKind.UNEXPLAINED: "time passes outside every measured stage",
}

ACTIONS = {
    CauseKind.SLOW_TARGET: "Look at the named targets; drain them if others are fast.",
    CauseKind.LOSSY_PATH: "Check the network on the named path for loss.",
    CauseKind.FAR_ZONE: "Check the links of the named zone; drain its targets if long.",
    CauseKind.SLOW_PATH: "Check the network between balancers, agents and callers.",
    CauseKind.LONG_QUEUE: "Give long routes 'size_class: long' or add targets.",
    CauseKind.SHORT_QUEUE: "Add targets or slots, or spread the demand over time.",
    CauseKind.COLD_START: "Wait until the targets are warm; start them earlier.",
    CauseKind.LIMIT: "Raise the limits of the service if its targets have room.",
    CauseKind.STALE_VERSION: "Check the named version's holders with 'status'.",
    CauseKind.STEERING: "Check for full, cold or draining targets with 'audit'.",
    CauseKind.SILENT_CONNECTION: "Check what lies between agents and targets.",
    CauseKind.SLOW_CALLER: "Nothing here: the callers or their links are slow.",
    CauseKind.HANDSHAKE: "Check for a mass reconnection and for CPU of the agents.",
    CauseKind.BALANCER: "Check the CPU of the balancers; add balancers.",
    CauseKind.HAND_OFF: "Check the links among the agents of the service.",
    CauseKind.FAILURES: "Look at the failed requests with 'explain'.",
    CauseKind.UNEXPLAINED: "Check the CPU of the agents and the callers' clocks.",
}


class ScopeKind(Enum):
    """By what the requests concerned are told from the others."""

    SERVICE = "service"
    TARGET = "target"
    ZONE = "zone"
    VERSION = "version"
    BALANCER_VERSION = "balancer-version"


class Scope(Struct, frozen=True):
    """Which part of a service is concerned.

    Parameters
    ----------
    kind : ScopeKind
        The property that tells the requests concerned from the others.
    names : tuple of str
        Its values.
    """

    kind: ScopeKind
    names: tuple[str, ...] = ()

    def __str__(self) -> str:
        if self.kind is ScopeKind.SERVICE:
            return "the whole service"
        return f"{self.kind.value} {', '.join(self.names)}"


class Finding(Struct, frozen=True):
    """One cause of lost time.

    Parameters
    ----------
    kind : CauseKind
        The cause.
    stage : Stage or None
        Where the time went; None if attempts failed without losing time.
    scope : Scope
        Which part of the service is concerned.
    share : float
        Requests concerned, as a share of the service's recent requests, 0 to 1.
    lost_s : float
        Mean time lost by a request concerned, seconds.
    reason : str
        Reason of failed attempts, if they decide.
    """

    kind: CauseKind
    stage: Stage | None
    scope: Scope
    share: float
    lost_s: float
    reason: str = ""

    @property
    def sentence(self) -> str:
        """The finding in one line."""
        lost = f", {_duration(self.lost_s)} each" if self.lost_s > 0 else ""
        where = f" in stage {self.stage.value}" if self.stage else ""
        reason = f" ({self.reason})" if self.reason else ""
        return (
            f"{MEANINGS[self.kind]}{reason}: {self.scope}, "
            f"{self.share:.1%} of requests{lost}{where}"
        )

    @property
    def action(self) -> str:
        """What an operator does about it."""
        return ACTIONS[self.kind]


class Diagnosis(Struct, frozen=True):
    """The result of comparing recent requests with earlier ones.

    Parameters
    ----------
    service : str
        Name of the service.
    findings : tuple of Finding
        Causes, the first one before its consequences.
    requests, baseline_requests : int
        Requests compared.
    is_comparable : bool
        Whether both windows hold enough requests to compare.
    silent : tuple of str
        Agents that did not answer.
    """

    service: str
    findings: tuple[Finding, ...]
    requests: int
    baseline_requests: int
    is_comparable: bool
    silent: tuple[str, ...] = ()

    @property
    def sentence(self) -> str:
        """The first finding, or why there is none."""
        if not self.is_comparable:
            return (
                f"too few requests to compare: {self.requests} recent, "
                f"{self.baseline_requests} before"
            )
        if not self.findings:
            return "nothing unusual"
        return self.findings[0].sentence


def _duration(seconds: float) -> str:
    return f"{seconds:.2f} s" if seconds >= 1 else f"{seconds * 1000:.0f} ms"
