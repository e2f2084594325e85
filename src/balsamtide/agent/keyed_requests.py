"""Decides about requests with an idempotency key.

Repeats are forwarded to their home, the agent whose ledger records them. A stamp is a
signed token that names this agent.
"""

from balsamtide.requests.hand_off_client import HandOffClient, HomeRunner
from balsamtide.requests.home import ForwardToHome, Home, HomeDecision
from balsamtide.requests.model import RequestFacts
from balsamtide.requests.stamp import StampCodec, StampIssuer

__all__ = ["KeyedRequests"]


class KeyedRequests:
    """Decides about requests and forwards repeats to their home.

    Parameters
    ----------
    home : Home
        Decides about requests by the ledger.
    stamps : StampCodec
        Decodes stamps.
    issuer : StampIssuer
        Issues this agent's stamps.
    client : HandOffClient
        Client of the peers' hand-off services.
    """

    def __init__(
        self,
        *,
        home: Home,
        stamps: StampCodec,
        issuer: StampIssuer,
        client: HandOffClient,
    ) -> None:
        self.home = home
        self.stamps = stamps
        self.issuer = issuer
        self.client = client

    def issue_stamp(self) -> bytes:
        """Return a new stamp."""
        return self.issuer.issue()

    def decide(
        self, facts: RequestFacts, encoded_stamp: bytes | None, now: float
    ) -> HomeDecision:
        """Decide about a caller's request, which may lack a stamp."""
        stamp = self.stamps.decode(encoded_stamp) if encoded_stamp is not None else None
        return self.home.decide(facts, stamp, now)

    def home_runner(self, decision: ForwardToHome) -> HomeRunner:
        """Return a runner that forwards a repeat to its home."""
        return self.client.home_runner(decision)
