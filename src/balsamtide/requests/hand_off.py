"""State of one hand-off at both agents, without I/O.

The *sender* holds the caller's flow and offers the request; the *receiver* grants a
slot of its target, at once or as soon as one becomes free while the sender waits.  A
grant expires at a deadline on both sides.  The receiver counts from the reservation
of the slot; the sender counts from the sending of the offer plus the waiting time that
the receiver reports, so that its deadline is never the later one.
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
    "encode_facts",
    "decode_facts",
    "encode_outcome",
    "decode_outcome",
]

GRANT_TTL_S = 0.05
OFFER_TIMEOUT_S = 0.03
REPLY_MARGIN_S = 0.01
HOME_TIMEOUT_S = 0.5
KEEPALIVE_INTERVAL_S = 1.0
SILENCE_TIMEOUT_S = 3.0
US_PER_S = 1_000_000


def encode_facts(facts: RequestFacts, now: float) -> RequestMetadata:
    """Return the wire form of a request."""
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
    """Return the request of its wire form, with a deadline on the local clock."""
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
    """Return the outcome of its wire form."""
    time = message.service_time_us
    return Outcome(
        verdict=Verdict(message.verdict),
        status=message.status,
        service_time_s=None if time is None else time / US_PER_S,
        is_complete=message.is_complete,
        reason=message.reason,
    )


class SenderState(Enum):
    """How far the sender's side has come."""

    OFFERED = "offered"
    GRANTED = "granted"
    RUN_SENT = "run-sent"
    ANSWERING = "answering"


class HandOffSender:
    """The sender's side of one hand-off.

    Parameters
    ----------
    facts : RequestFacts
        The request.
    now : float
        When the offer is sent, seconds on the local clock.
    """

    def __init__(self, facts: RequestFacts, now: float) -> None:
        self.facts = facts
        self.state = SenderState.OFFERED
        self.sent_at = now
        self.grant_deadline = now
        self.answer_deadline = min(
            now + OFFER_TIMEOUT_S + REPLY_MARGIN_S, facts.deadline
        )
        self.home_deadline = min(now + HOME_TIMEOUT_S, facts.deadline)

    def offer(self, now: float) -> Offer:
        """Return the offer."""
        return Offer(encode_facts(self.facts, now), int(OFFER_TIMEOUT_S * US_PER_S))

    def accept_grant(self, message: Granted) -> None:
        """Take the grant."""
        reserved = self.sent_at + message.waited_us / US_PER_S
        self.grant_deadline = min(
            reserved + min(GRANT_TTL_S, message.remaining_us / US_PER_S),
            self.facts.deadline,
        )
        self.state = SenderState.GRANTED

    def use_grant(self, now: float) -> bool:
        """Tell whether the run message may be sent now; True only once."""
        if self.state is not SenderState.GRANTED or now >= self.grant_deadline:
            return False
        self.state = SenderState.RUN_SENT
        return True

    def run_started(self) -> None:
        """Take the word of a home that it runs the request."""
        self.state = SenderState.RUN_SENT

    def answer_started(self) -> None:
        """Take the head of the answer."""
        self.state = SenderState.ANSWERING

    def exit_on_loss(self, *, is_silent: bool) -> Exit:
        """Return how the request ends when the peer is lost now."""
        match self.state:
            case SenderState.OFFERED | SenderState.GRANTED:
                return Exit.PEER_LOST_BEFORE_RUN
            case SenderState.RUN_SENT:
                return Exit.PEER_SILENT if is_silent else Exit.PEER_LOST_AFTER_RUN
            case SenderState.ANSWERING:
                return Exit.PEER_LOST_IN_ANSWER


class HandOffReceiver:
    """The receiver's side of one hand-off.

    Parameters
    ----------
    offer : Offer
        What was received.
    now : float
        When it was received, seconds on the local clock.
    """

    def __init__(self, offer: Offer, now: float) -> None:
        self.facts = decode_facts(offer.metadata, now)
        self.received_at = now
        self.wait_deadline = min(
            now + min(OFFER_TIMEOUT_S, offer.wait_us / US_PER_S), self.facts.deadline
        )
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
        """Tell whether a run message that came now may start; True only once."""
        if self.is_used or now >= self.grant_deadline:
            return False
        self.is_used = True
        return True
