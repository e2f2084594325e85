"""Keyed requests at one agent: stamps, the home's decisions and the way to a home."""

from balsamtide.requests.hand_off_client import HandOffClient, HomeRunner
from balsamtide.requests.home import ForwardToHome, Home, HomeDecision
from balsamtide.requests.model import RequestFacts
from balsamtide.requests.stamp import StampCodec, StampIssuer

__all__ = ["KeyedRequests"]


class KeyedRequests:
    """Combines what an agent needs for keyed requests.

    Parameters
    ----------
    home : Home
        Decides about keyed requests.
    stamps : StampCodec
        Reads stamps.
    issuer : StampIssuer
        Issues stamps of this agent.
    client : HandOffClient
        Connections to the peers.
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
        """Return a fresh stamp."""
        return self.issuer.issue()

    def decide(
        self, facts: RequestFacts, token: bytes | None, now: float
    ) -> HomeDecision:
        """Decide about a request of a caller."""
        stamp = self.stamps.decode(token) if token is not None else None
        return self.home.decide(facts, stamp, now)

    def home_runner(self, decision: ForwardToHome) -> HomeRunner:
        """Return the runner that passes a repeat to its home."""
        return self.client.home_runner(decision)
