"""Keyed requests at one agent: stamps, the home's decisions and the way to a home."""

from collections.abc import Callable

from balsamtide.requests.home import AskHome, Home, HomeDecision
from balsamtide.requests.model import RequestFacts
from balsamtide.requests.runner import Runner
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
    runner_at_home : callable
        Returns the runner that passes a repeat to its home.
    """

    def __init__(
        self,
        *,
        home: Home,
        stamps: StampCodec,
        issuer: StampIssuer,
        runner_at_home: Callable[[AskHome], Runner],
    ) -> None:
        self.home = home
        self.stamps = stamps
        self.issuer = issuer
        self.runner_at_home = runner_at_home

    def issue_stamp(self) -> bytes:
        """Return a fresh stamp."""
        return self.issuer.issue()

    def decide(
        self, facts: RequestFacts, token: bytes | None, now: float
    ) -> HomeDecision:
        """Decide about a request of a caller."""
        stamp = self.stamps.decode(token) if token is not None else None
        return self.home.decide(facts, stamp, now)
