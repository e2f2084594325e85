"""Records of requests and of changes, for the request log and the audit trail."""

from dataclasses import dataclass, field

from balsamtide.protocol.verdict import Verdict
from balsamtide.telemetry.stages import Stage

__all__ = ["AuditRecord", "RequestRecord"]


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditRecord:
    """One change, for the audit trail.

    Parameters
    ----------
    kind : str
        Such as ``"entry"``, ``"mark"``, ``"drain"``, ``"ejection"``, ``"limit"``,
        ``"key"``, ``"reader"`` or ``"role"``.
    subject : str
        The object that changed.
    change : str
        What became of it.
    version : int
        Configuration version in force here.
    cause : str
        Why.
    actor : str
        Who or what made the change.
    source : str
        Who delivered it to this process.
    """

    kind: str
    subject: str
    change: str
    version: int
    cause: str = ""
    actor: str = ""
    source: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestRecord:
    """One finished request.

    Parameters
    ----------
    request_id, service, route : str
        Which request.
    target : str
        Name of the target that ran it, empty if none did.
    zone : str
        Availability zone of that target.
    version : int
        Configuration version in force at the agent.
    verdict : Verdict
        Whether it ran.
    status : int
        HTTP status.
    reason : str
        Reason of a refusal or failure.
    stages : mapping of Stage to float
        Seconds by stage.
    attempts : tuple of str
        One line an attempt: ``"target verdict reason"``.
    balancer_version : int
        Configuration version by which the balancer routed the flow; 0 if unknown.
    """

    request_id: str
    service: str
    route: str
    target: str
    zone: str
    version: int
    verdict: Verdict
    status: int
    reason: str = ""
    stages: dict[Stage, float] = field(default_factory=dict)
    attempts: tuple[str, ...] = ()
    balancer_version: int = 0

    @property
    def total_s(self) -> float:
        """Sum over all stages, seconds."""
        return sum(self.stages.values())
