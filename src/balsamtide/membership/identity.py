"""Identity of the local instance towards its peers."""

from balsamtide.config.port import Instance

__all__ = ["Identity"]


class Identity:
    """The local instance with its current incarnation.

    Parameters
    ----------
    instance : Instance
        Entry of the local instance in the instance list.
    incarnation : int
        Initial incarnation, random.  It orders the claims about this instance: an
        ``alive`` mark refutes claims about a lower incarnation.  A restarted process
        draws a new one, perhaps lower, and raises it when it refutes such claims.
    """

    def __init__(self, instance: Instance, incarnation: int) -> None:
        self.instance = instance
        self.incarnation = incarnation

    @property
    def name(self) -> str:
        """Name of the local instance."""
        return self.instance.name

    def increase_above(self, incarnation: int) -> None:
        """Make the incarnation exceed ``incarnation``, that of a peer's claim."""
        self.incarnation = max(self.incarnation, incarnation + 1)
