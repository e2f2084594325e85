"""Choice of the balancer that carries a flow's datagrams to its caller."""

from dataclasses import dataclass

from balsamtide.protocol.messages import Endpoint

__all__ = ["BALANCER_LEASE_S", "BalancerLeases", "ReturnPath"]

BALANCER_LEASE_S = 1.5


class BalancerLeases:
    """When each balancer was last heard.

    Parameters
    ----------
    capacity : int
        Balancers remembered at most.
    """

    def __init__(self, *, capacity: int = 4096) -> None:
        self.capacity = capacity
        self.deadlines: dict[Endpoint, float] = {}
        self.fallback: tuple[Endpoint, ...] = ()
        self.next_index = 0

    def renew(self, balancer: Endpoint, now: float) -> None:
        """Extend the lease of ``balancer``."""
        self.deadlines.pop(balancer, None)
        self.deadlines[balancer] = now + BALANCER_LEASE_S
        if len(self.deadlines) > self.capacity:
            self.deadlines.pop(next(iter(self.deadlines)))

    def set_fallback(self, balancers: tuple[Endpoint, ...]) -> None:
        """Take the balancers to fall back on when none has a lease."""
        self.fallback = balancers

    def is_live(self, balancer: Endpoint, now: float) -> bool:
        """Tell whether ``balancer`` was heard within its lease."""
        return self.deadlines.get(balancer, 0.0) > now

    def choose_other(self, avoided: Endpoint, now: float) -> Endpoint:
        """Return a balancer other than ``avoided``, live ones first, in turn."""
        live = [b for b in self.deadlines if b != avoided and self.is_live(b, now)]
        choice = live or [b for b in self.fallback if b != avoided]
        if not choice:
            return avoided
        self.next_index += 1
        return choice[self.next_index % len(choice)]


@dataclass(slots=True)
class ReturnPath:
    """The way back of one flow.

    Parameters
    ----------
    balancer : Endpoint
        Balancer that delivered last.
    """

    balancer: Endpoint

    def choose(self, leases: BalancerLeases, now: float, *, is_lossy: bool) -> Endpoint:
        """Return the balancer for the next datagrams.

        Parameters
        ----------
        leases : BalancerLeases
            What the agent heard of balancers.
        now : float
            Current time, seconds.
        is_lossy : bool
            Whether the caller has not acknowledged a probe; the last balancer may
            then be gone although its lease has not ended.
        """
        if leases.is_live(self.balancer, now) and not is_lossy:
            return self.balancer
        self.balancer = leases.choose_other(self.balancer, now)
        return self.balancer
