"""Selection of the balancer that relays a flow's datagrams to its caller."""

from dataclasses import dataclass

from balsamtide.protocol.messages import Endpoint

__all__ = ["BALANCER_LEASE_S", "BalancerLeases", "ReturnPath"]

# A balancer counts as alive for this time after each datagram that it forwards.
BALANCER_LEASE_S = 1.5


class BalancerLeases:
    """Balancers that count as alive because they recently forwarded a datagram.

    Parameters
    ----------
    capacity : int
        Maximum number of leases; the oldest is evicted first.
    """

    def __init__(self, *, capacity: int = 4096) -> None:
        self.capacity = capacity
        self.deadlines: dict[Endpoint, float] = {}
        self.fallback: tuple[Endpoint, ...] = ()
        self.next_index = 0

    def renew(self, balancer: Endpoint, now: float) -> None:
        """Renew the lease of ``balancer``."""
        self.deadlines.pop(balancer, None)
        self.deadlines[balancer] = now + BALANCER_LEASE_S
        if len(self.deadlines) > self.capacity:
            self.deadlines.pop(next(iter(self.deadlines)))

    def set_fallback(self, balancers: tuple[Endpoint, ...]) -> None:
        """Set the balancers to use if ``choose_other`` finds none with a lease."""
        self.fallback = balancers

    def is_live(self, balancer: Endpoint, now: float) -> bool:
        """Return whether the lease of ``balancer`` has not expired."""
        return self.deadlines.get(balancer, 0.0) > now

    def choose_other(self, avoided: Endpoint, now: float) -> Endpoint:
        """Return a balancer other than ``avoided``, round robin.

        Balancers with a lease are preferred to the fallback; ``avoided`` is returned if
        there is no other.
        """
        live = [b for b in self.deadlines if b != avoided and self.is_live(b, now)]
        choice = live or [b for b in self.fallback if b != avoided]
        if not choice:
            return avoided
        self.next_index += 1
        return choice[self.next_index % len(choice)]


@dataclass(slots=True)
class ReturnPath:
    """Return path of one flow.

    Parameters
    ----------
    balancer : Endpoint
        Balancer that forwarded the latest datagram of the caller.
    """

    balancer: Endpoint

    def choose(self, leases: BalancerLeases, now: float, *, is_lossy: bool) -> Endpoint:
        """Return the balancer for the next datagrams.

        Parameters
        ----------
        leases : BalancerLeases
            Balancers that count as alive.
        now : float
            Current time, seconds.
        is_lossy : bool
            Whether a probe timeout expired; the balancer may then have failed before
            the end of its lease.
        """
        if leases.is_live(self.balancer, now) and not is_lossy:
            return self.balancer
        self.balancer = leases.choose_other(self.balancer, now)
        return self.balancer
