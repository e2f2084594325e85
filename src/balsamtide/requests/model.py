"""Requests and their outcomes as the decision classes see them."""

from dataclasses import dataclass

from balsamtide.protocol.verdict import Verdict

__all__ = ["Outcome", "Refusal", "RequestFacts"]


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestFacts:
    """What decisions need to know of a request; never its payload.

    Parameters
    ----------
    request_id : str
        Identifier unique in the fleet, shown to the caller.
    service : str
        Name of the service.
    route : str
        Prefix of the route that matched.
    method : str
        HTTP method.
    is_idempotent : bool
        Whether running it twice equals running it once.
    key : str or None
        Idempotency key, if the caller gave one.
    attempt : int
        1 for the caller's first try, higher for a repeat.
    caller : str
        What fairness counts by: the caller's IP address.
    arrived : float
        When it arrived, seconds on the local clock.
    deadline : float
        When its answer is worthless, seconds on the local clock.
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
    """A request that was turned away.

    Parameters
    ----------
    verdict : Verdict
        ``NOT_RUN`` unless the refusing party is unsure.
    reason : str
        Short identifier such as ``"queue-full"``.
    status : int
        HTTP status for the caller.
    retry_after_s : float or None
        When a retry is worthwhile, seconds from now.
    """

    verdict: Verdict
    reason: str
    status: int = 503
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """How a request ended.

    Parameters
    ----------
    verdict : Verdict
        Whether it ran.
    status : int
        HTTP status of the answer or refusal.
    service_time_s : float or None
        Time on the target, seconds.
    is_complete : bool
        Whether the whole answer was delivered to the writer.
    reason : str
        Short identifier of a refusal or failure, empty on success.
    """

    verdict: Verdict
    status: int
    service_time_s: float | None = None
    is_complete: bool = True
    reason: str = ""
