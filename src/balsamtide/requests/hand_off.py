"""State of one hand-off at both agents, without I/O.

The *sender* has the connection to the caller and offers the request; the *receiver*
grants a slot of its target, at once or as soon as one becomes free while the sender
waits.  A grant expires at a deadline on both sides.  The receiver counts from the
reservation of the slot; the sender counts from the sending of the offer plus the
waiting time that the receiver reports, so that its deadline is never the later one.
"""

from enum import Enum

from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit
from balsamtide.requests.messages import Finished, Granted, Offer, RequestMetadata
from balsamtide.requests.model import Outcome, RequestFacts

__all__ = [
    "GRANT_TTL_S",
    "OFFER_TIMEOUT_S",
    "REPLY_MARGIN_S",
    "SILENCE_TIMEOUT_S",
    "HandOffReceiver",
    "HandOffSender",
    "decode_facts",
    "decode_outcome",
    "encode_facts",
    "encode_outcome",
]

# Lifetime of a slot reservation.
GRANT_TTL_S = 0.05
# Time that the receiver of an offer waits for a slot.
OFFER_TIMEOUT_S = 0.03
# Added by the sender for the transit of the offer and its reply.
REPLY_MARGIN_S = 0.01
# Time until the first reply of a home to a forwarded retry.
HOME_REPLY_TIMEOUT_S = 0.5
# Interval of keep-alives on a stream without other messages.
KEEPALIVE_INTERVAL_S = 1.0
# Time without any message after which the peer is considered lost.
SILENCE_TIMEOUT_S = 3.0
US_PER_S = 1_000_000


def encode_facts(facts: RequestFacts, now: float) -> RequestMetadata:
    """Return the wire form of a request, with the time remaining after ``now``."""
    return RequestMetadata(
        facts.request_id,
        facts.service,
        facts.route,
        facts.method,
        facts.is_idempotent,
        facts.key,
        facts.attempt,
        facts.caller,
        max(0, int((facts.deadline - now) * US_PER_S)),
    )


def decode_facts(metadata: RequestMetadata, now: float) -> RequestFacts:
    """Return a request from its wire form, with times on the local clock."""
    return RequestFacts(
        request_id=metadata.request_id,
        service=metadata.service,
        route=metadata.route,
        method=metadata.method,
        is_idempotent=metadata.is_idempotent,
        key=metadata.key,
        attempt=metadata.attempt,
        caller=metadata.caller,
        arrived=now,
        deadline=now + metadata.remaining_us / US_PER_S,
    )


def encode_outcome(outcome: Outcome) -> Finished:
    """Return the wire form of an outcome."""
    time = outcome.service_time_s
    return Finished(
        outcome.verdict.value,
        outcome.status,
        None if time is None else round(time * US_PER_S),
        outcome.is_complete,
        outcome.reason,
    )


def decode_outcome(message: Finished) -> Outcome:
    """Return an outcome from its wire form."""
    time = message.service_time_us
    return Outcome(
        verdict=Verdict(message.verdict),
        status=message.status,
        service_time_s=None if time is None else time / US_PER_S,
        is_complete=message.is_complete,
        reason=message.reason,
    )


class SenderState(Enum):
    """State of a hand-off at the sender."""

    OFFERED = "offered"
    GRANTED = "granted"
    RUN_SENT = "run-sent"
    ANSWERING = "answering"


class HandOffSender:
    """State machine of one hand-off or one forwarded retry at the sender.

    A forwarded retry has no offer and no run message: it goes from ``OFFERED`` to
    ``RUN_SENT`` when the home grants it.

    Parameters
    ----------
    facts : RequestFacts
        The request.
    now : float
        Time at which the offer is sent, seconds on the local clock.
    """

    def __init__(self, facts: RequestFacts, now: float) -> None:
        self.facts = facts
        self.state = SenderState.OFFERED
        self.sent_at = now
        # Replaced in accept_grant; not read before.
        self.grant_deadline = now
        self.offer_reply_deadline = min(
            now + OFFER_TIMEOUT_S + REPLY_MARGIN_S, facts.deadline
        )
        self.home_reply_deadline = min(now + HOME_REPLY_TIMEOUT_S, facts.deadline)

    def offer(self, now: float) -> Offer:
        """Return the offer message."""
        return Offer(encode_facts(self.facts, now), int(OFFER_TIMEOUT_S * US_PER_S))

    def accept_grant(self, message: Granted) -> None:
        """Record the grant and compute its deadline."""
        reserved = self.sent_at + message.waited_us / US_PER_S
        self.grant_deadline = min(
            reserved + min(GRANT_TTL_S, message.remaining_us / US_PER_S),
            self.facts.deadline,
        )
        self.state = SenderState.GRANTED

    def use_grant(self, now: float) -> bool:
        """Return whether the run message may be sent now; True at most once."""
        if self.state is not SenderState.GRANTED or now >= self.grant_deadline:
            return False
        self.state = SenderState.RUN_SENT
        return True

    def record_home_grant(self) -> None:
        """Record that the home granted a forwarded retry, which it may now run."""
        self.state = SenderState.RUN_SENT

    def answer_started(self) -> None:
        """Record that the head of the answer was received."""
        self.state = SenderState.ANSWERING

    def exit_on_loss(self, *, is_silent: bool) -> Exit:
        """Return how the request ends if the connection to the peer fails now.

        Parameters
        ----------
        is_silent : bool
            Whether the peer timed out rather than closed the connection.
        """
        match self.state:
            case SenderState.OFFERED | SenderState.GRANTED:
                return Exit.PEER_LOST_BEFORE_RUN_MESSAGE
            case SenderState.RUN_SENT:
                return (
                    Exit.PEER_SILENT if is_silent else Exit.PEER_LOST_AFTER_RUN_MESSAGE
                )
            case SenderState.ANSWERING:
                return Exit.PEER_LOST_IN_ANSWER


class HandOffReceiver:
    """State machine of one hand-off at the receiver.

    Parameters
    ----------
    offer : Offer
        Received offer.
    now : float
        Time of receipt, seconds on the local clock.
    """

    def __init__(self, offer: Offer, now: float) -> None:
        self.facts = decode_facts(offer.metadata, now)
        self.received_at = now
        self.wait_deadline = min(
            now + min(OFFER_TIMEOUT_S, offer.wait_us / US_PER_S), self.facts.deadline
        )
        # For a slot that is free now; issue_grant replaces it.
        self.grant_deadline = min(now + GRANT_TTL_S, self.facts.deadline)
        self.is_used = False

    def issue_grant(self, now: float) -> Granted:
        """Return the grant of a slot that was reserved at ``now``."""
        self.grant_deadline = min(now + GRANT_TTL_S, self.facts.deadline)
        return Granted(
            max(0, int((self.grant_deadline - now) * US_PER_S)),
            max(0, int((now - self.received_at) * US_PER_S)),
        )

    def use_grant(self, now: float) -> bool:
        """Return whether a run message received now may start; True at most once."""
        if self.is_used or now >= self.grant_deadline:
            return False
        self.is_used = True
        return True
