"""Values that describe requests, refusals and outcomes."""

from dataclasses import dataclass

from balsamtide.protocol.verdict import Verdict

__all__ = ["Outcome", "Refusal", "RequestFacts"]


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestFacts:
    """Properties of a request that decisions depend on, without its payload.

    Parameters
    ----------
    request_id : str
        Identifier, unique in the installation and sent to the caller.
    service : str
        Name of the service.
    route : str
        Prefix of the matching route.
    method : str
        HTTP method.
    is_idempotent : bool
        Whether running it twice has the same effect as running it once.
    key : str or None
        Idempotency key, if the caller sent one.
    attempt : int
        1 for the caller's first attempt, higher for a retry.
    caller : str
        IP address of the caller; fair queueing is per caller.
    arrived : float
        Time of arrival on the local clock, seconds.
    deadline : float
        Time on the local clock after which an answer is useless, seconds.
    """

    request_id: str
    service: str
    route: str
    method: str
    is_idempotent: bool
    key: str | None
    attempt: int
    caller: str
    arrived: float
    deadline: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Refusal of a request.

    Parameters
    ----------
    verdict : Verdict
        Whether any attempt ran: ``NOT_RUN``, or ``MAY_HAVE_RUN`` or ``RAN`` if an
        earlier attempt may have run or did run.
    reason : str
        Short identifier such as ``"queue-full"``.
    status : int
        HTTP status for the caller.
    retry_after_s : float or None
        Delay after which a retry may succeed, seconds.
    """

    verdict: Verdict
    reason: str
    status: int = 503
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Outcome of a request.

    Parameters
    ----------
    verdict : Verdict
        Whether the request ran.
    status : int
        HTTP status of the answer or refusal.
    service_time_s : float or None
        Time that the target took, seconds.
    is_complete : bool
        Whether the complete answer was passed to the writer.
    reason : str
        Short identifier of a refusal or failure, empty on success.
    """

    verdict: Verdict
    status: int
    service_time_s: float | None = None
    is_complete: bool = True
    reason: str = ""
