"""Errors of requests; each says whether the request may have run."""

from collections.abc import Sequence

from balsamtide.protocol.verdict import Verdict

__all__ = [
    "AttemptsFailed",
    "GrantError",
    "HandOffError",
    "PeerSilentError",
    "RequestError",
    "worst_verdict",
]


class RequestError(Exception):
    """A request that did not end with an answer.

    Parameters
    ----------
    verdict : Verdict
        Whether it ran.
    reason : str
        Short identifier such as ``"peer-silent"``.
    detail : str
        What was seen.
    """

    def __init__(self, verdict: Verdict, reason: str, detail: str = "") -> None:
        super().__init__(f"{reason} ({verdict.value}): {detail}")
        self.verdict = verdict
        self.reason = reason
        self.detail = detail


class HandOffError(RequestError):
    """A hand-off that failed at one peer."""


class GrantError(HandOffError):
    """A peer that granted nothing; the request did not run there."""

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(Verdict.NOT_RUN, reason, detail)


class PeerSilentError(HandOffError):
    """A peer from which nothing came for the silence limit."""

    def __init__(self, verdict: Verdict, detail: str = "") -> None:
        super().__init__(verdict, "peer-silent", detail)


def worst_verdict(verdicts: Sequence[Verdict]) -> Verdict:
    """Return the verdict on a request whose attempts ended with ``verdicts``."""
    for verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
        if verdict in verdicts:
            return verdict
    return Verdict.NOT_RUN


class AttemptsFailed(ExceptionGroup[RequestError]):
    """Several attempts at one request, all of which failed."""

    @property
    def verdict(self) -> Verdict:
        """Whether the request ran in any of the attempts."""
        return worst_verdict([error.verdict for error in self.exceptions])  # type: ignore[union-attr]

    def derive(self, excs: Sequence[RequestError]) -> "AttemptsFailed":  # type: ignore[override]
        """Return a group of the same kind."""
        return AttemptsFailed(self.message, excs)
