"""Who this process is to its peers."""

from balsamtide.config.port import Instance

__all__ = ["Identity"]


class Identity:
    """The own instance with its current incarnation.

    Parameters
    ----------
    instance : Instance
        The own line of the list.
    incarnation : int
        Drawn at random at the start; it only rises.
    """

    def __init__(self, instance: Instance, incarnation: int) -> None:
        self.instance = instance
        self.incarnation = incarnation

    @property
    def name(self) -> str:
        """Identifier of the own instance."""
        return self.instance.name

    def raise_above(self, incarnation: int) -> None:
        """Rise above ``incarnation``, which a peer claims something about."""
        self.incarnation = max(self.incarnation, incarnation + 1)
