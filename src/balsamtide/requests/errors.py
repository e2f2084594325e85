"""Errors of failed requests; each states whether the request may have run."""

from collections.abc import Sequence

from balsamtide.protocol.verdict import Verdict

__all__ = [
    "AttemptsFailed",
    "GrantError",
    "HandOffError",
    "PeerSilentError",
    "RequestError",
    "combined_verdict",
]


class RequestError(Exception):
    """A request failed without a complete answer.

    Parameters
    ----------
    verdict : Verdict
        Whether the request ran.
    reason : str
        Short identifier such as ``"peer-silent"``.
    detail : str
        What was observed.
    """

    def __init__(self, verdict: Verdict, reason: str, detail: str = "") -> None:
        super().__init__(f"{reason} ({verdict.value}): {detail}")
        self.verdict = verdict
        self.reason = reason
        self.detail = detail


class HandOffError(RequestError):
    """A hand-off to one peer failed."""


class GrantError(HandOffError):
    """No grant of this peer was used, so the request did not run there.

    No grant was received, it expired, or another peer granted first.
    """

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(Verdict.NOT_RUN, reason, detail)


class PeerSilentError(HandOffError):
    """A peer sent nothing for ``SILENCE_TIMEOUT_S``.

    Not raised by the runners of this package, which return ``Exit.PEER_SILENT``.
    """

    def __init__(self, verdict: Verdict, detail: str = "") -> None:
        super().__init__(verdict, "peer-silent", detail)


def combined_verdict(verdicts: Sequence[Verdict]) -> Verdict:
    """Return the verdict on a request from the verdicts on its attempts.

    It is ``RAN`` if any attempt ran, else ``MAY_HAVE_RUN`` if any may have run, else
    ``NOT_RUN``.
    """
    for verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
        if verdict in verdicts:
            return verdict
    return Verdict.NOT_RUN


class AttemptsFailed(ExceptionGroup[RequestError]):
    """All attempts at one request failed."""

    @property
    def verdict(self) -> Verdict:
        """The verdict over all attempts; see ``combined_verdict``."""
        return combined_verdict([error.verdict for error in self.exceptions])  # type: ignore[union-attr]

    def derive(self, excs: Sequence[RequestError]) -> "AttemptsFailed":  # type: ignore[override]
        """Return a group of the same type with ``excs``."""
        return AttemptsFailed(self.message, excs)
