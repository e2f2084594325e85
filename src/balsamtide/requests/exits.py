"""All ways in which a request can end, each with its verdict.

The agent, the hand-off, the target client and the caller library share this table;
``docs/verdicts.md`` lists it.
"""

from enum import Enum

from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.model import Outcome, Refusal

__all__ = ["Exit", "Party"]

NOT_RUN = Verdict.NOT_RUN
RAN = Verdict.RAN
MAY_HAVE_RUN = Verdict.MAY_HAVE_RUN


class Party(Enum):
    """The component that ends a request."""

    HOME = "home"
    ADMISSION = "admission"
    HAND_OFF = "hand-off"
    TARGET = "target client"


class Exit(Enum):
    """A way in which a request ends.

    Each member has the party, the reason identifier, the verdict, the HTTP status sent
    to the caller (0: the status of the answer) and the justification of the verdict.
    ``RUN_MESSAGE`` in a name is the message ``Run`` of the hand-off.
    """

    STAMP_REQUIRED = (
        Party.HOME,
        "stamp-required",
        NOT_RUN,
        428,
        "A first attempt without a stamp is refused before admission.",
    )
    STAMP_LOST = (
        Party.HOME,
        "stamp-lost",
        MAY_HAVE_RUN,
        409,
        "A retry without a valid stamp; an earlier attempt may have run.",
    )
    STAMP_FOREIGN = (
        Party.HOME,
        "stamp-foreign",
        NOT_RUN,
        428,
        "A first attempt needs a stamp of this agent in its current tenure.",
    )
    STAMP_OTHER_SERVICE = (
        Party.HOME,
        "stamp-other-service",
        MAY_HAVE_RUN,
        409,
        "A retry names a home in another service, whose ledger isn't known here.",
    )
    STAMP_OLD = (
        Party.HOME,
        "stamp-old",
        NOT_RUN,
        428,
        "The ledger may have dropped entries as old as this stamp, so a first "
        "attempt with it is refused before admission.",
    )
    OUTCOME_FORGOTTEN = (
        Party.HOME,
        "outcome-forgotten",
        MAY_HAVE_RUN,
        409,
        "The entry of the earlier attempt may have been dropped, or a successor may "
        "have adopted it.",
    )
    OUTCOME_UNKNOWN = (
        Party.HOME,
        "outcome-unknown",
        MAY_HAVE_RUN,
        409,
        "The earlier attempt was started and its outcome is unknown.",
    )
    IN_PROGRESS = (
        Party.HOME,
        "in-progress",
        MAY_HAVE_RUN,
        409,
        "The earlier attempt is queued or running.",
    )
    ANSWER_NOT_KEPT = (
        Party.HOME,
        "answer-not-kept",
        RAN,
        409,
        "The earlier attempt ran; its answer was not kept: too large, dropped for "
        "space, or incomplete.",
    )
    REPLAYED = (
        Party.HOME,
        "replayed",
        RAN,
        0,
        "The recorded answer of the earlier attempt is sent again.",
    )
    TENURE_GONE = (
        Party.HOME,
        "tenure-gone",
        MAY_HAVE_RUN,
        409,
        "The ledger of the tenure isn't held by this agent and may be lost.",
    )
    TENURE_CLOSED = (
        Party.HOME,
        "tenure-closed",
        NOT_RUN,
        503,
        "This attempt has no claim, since the ledger was closed or the claim was "
        "released, so nothing may start it.",
    )
    LEDGER_FULL = (
        Party.HOME,
        "ledger-full",
        NOT_RUN,
        503,
        "A first attempt got no claim, so nothing may start it.",
    )
    LEDGER_FULL_FOR_REPEAT = (
        Party.HOME,
        "ledger-full-for-repeat",
        MAY_HAVE_RUN,
        409,
        "A delayed earlier attempt could still get the claim that this one did not.",
    )
    SUPERSEDED = (
        Party.HOME,
        "superseded",
        NOT_RUN,
        409,
        "The caller was told NOT_RUN for a later attempt, so this earlier one must "
        "not run either.",
    )
    HOME_UNREACHABLE = (
        Party.HOME,
        "home-unreachable",
        MAY_HAVE_RUN,
        409,
        "The home may have started an earlier attempt, or this one.",
    )
    DEADLINE = (
        Party.ADMISSION,
        "deadline",
        NOT_RUN,
        503,
        "The request's deadline passed, or would have passed, before the request "
        "could run; it was not started.",
    )
    QUEUE_FULL = (
        Party.ADMISSION,
        "queue-full",
        NOT_RUN,
        503,
        "The queue was at its limit; the request never entered it.",
    )
    OVERLOAD = (
        Party.ADMISSION,
        "overload",
        NOT_RUN,
        503,
        "The expected wait of a short first attempt was too long; the request never "
        "entered the queue.",
    )
    TARGET_EJECTED = (
        Party.ADMISSION,
        "target-ejected",
        NOT_RUN,
        503,
        "The target was ejected and the expected wait too long; the request never "
        "entered the queue.",
    )
    CANCELLED_WAITING = (
        Party.ADMISSION,
        "cancelled-waiting",
        NOT_RUN,
        499,
        "The request was not started when its caller cancelled it.",
    )
    NO_GRANT = (
        Party.HAND_OFF,
        "no-grant",
        NOT_RUN,
        503,
        "No peer granted a slot, and peers start nothing without a grant; the "
        "request stays in this agent's queue.",
    )
    GRANT_EXPIRED = (
        Party.HAND_OFF,
        "grant-expired",
        NOT_RUN,
        503,
        "The run message was not sent, or the peer received it after the deadline.",
    )
    PEER_LOST_BEFORE_RUN_MESSAGE = (
        Party.HAND_OFF,
        "peer-lost-before-run",
        NOT_RUN,
        503,
        "The run message was never written to the connection.",
    )
    PEER_LOST_AFTER_RUN_MESSAGE = (
        Party.HAND_OFF,
        "peer-lost",
        MAY_HAVE_RUN,
        502,
        "The run message may have arrived, but no verdict came back.",
    )
    PEER_SILENT = (
        Party.HAND_OFF,
        "peer-silent",
        MAY_HAVE_RUN,
        502,
        "After the run message the peer sent nothing for 3 s (SILENCE_TIMEOUT_S).",
    )
    PEER_LOST_IN_ANSWER = (
        Party.HAND_OFF,
        "answer-cut",
        RAN,
        502,
        "The head of the answer was received, its end was not.",
    )
    CONNECT_REFUSED = (
        Party.TARGET,
        "connect-refused",
        NOT_RUN,
        502,
        "No connection was made, so no octet was sent.",
    )
    CONNECT_TIMEOUT = (
        Party.TARGET,
        "connect-timeout",
        NOT_RUN,
        504,
        "No connection was made, so no octet was sent.",
    )
    REQUEST_NOT_SENT = (
        Party.TARGET,
        "request-not-sent",
        NOT_RUN,
        502,
        "The connection failed before the first octet of the request was written.",
    )
    REQUEST_CUT = (
        Party.TARGET,
        "request-cut",
        MAY_HAVE_RUN,
        502,
        "Octets of the request were written and no answer was received.",
    )
    TARGET_TIMEOUT = (
        Party.TARGET,
        "target-timeout",
        MAY_HAVE_RUN,
        504,
        "The request was sent and the target did not answer by the deadline.",
    )
    CANCELLED_RUNNING = (
        Party.TARGET,
        "cancelled",
        MAY_HAVE_RUN,
        499,
        "The target may have finished before the cancellation reached it.",
    )
    TARGET_SHED = (
        Party.TARGET,
        "target-shed",
        NOT_RUN,
        503,
        "The target answered 503 or 429 with the header balsamtide-verdict: not-run.",
    )
    TARGET_SHED_WITHOUT_VERDICT = (
        Party.TARGET,
        "target-shed",
        RAN,
        0,
        "503 or 429 without the header balsamtide-verdict: not-run counts as the "
        "answer of a request that ran.",
    )
    ANSWER_CUT = (
        Party.TARGET,
        "answer-cut",
        RAN,
        502,
        "The head of the answer was received, its end was not.",
    )
    ANSWERED = (Party.TARGET, "", RAN, 0, "The target answered.")

    def __init__(
        self, party: Party, reason: str, verdict: Verdict, status: int, why: str
    ) -> None:
        self.party = party
        self.reason = reason
        self.verdict = verdict
        self.status = status
        self.why = why

    def refusal(self, retry_after_s: float | None = None) -> Refusal:
        """Return the refusal for a request that ends this way."""
        return Refusal(
            verdict=self.verdict,
            reason=self.reason,
            status=self.status,
            retry_after_s=retry_after_s,
        )

    def outcome(
        self, *, status: int | None = None, service_time_s: float | None = None
    ) -> Outcome:
        """Return the outcome for a request that ends this way.

        Parameters
        ----------
        status : int or None
            Status of the answer, if one was received.
        service_time_s : float or None
            Time that the target took, seconds.
        """
        return Outcome(
            verdict=self.verdict,
            status=self.status if status is None else status,
            service_time_s=service_time_s,
            is_complete=self in COMPLETE_ANSWERS,
            reason=self.reason,
        )


# Exits whose answer was passed to the caller completely; that of a target which refused
# the request, TARGET_SHED, is passed on too.
COMPLETE_ANSWERS = frozenset(
    (Exit.REPLAYED, Exit.TARGET_SHED, Exit.TARGET_SHED_WITHOUT_VERDICT, Exit.ANSWERED)
)
