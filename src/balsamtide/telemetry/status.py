"""The status of a daemon, as shown by the admin listener."""

from msgspec import Struct

__all__ = ["Status"]


class Status(Struct, frozen=True):
    """What a daemon says of itself.

    Parameters
    ----------
    instance, role, region, zone : str
        Who it is.
    state : str
        ``"starting"``, ``"ready"``, ``"cold"`` or ``"draining"``.
    version : int
        Configuration version in force here.
    entry : int
        Last entry of the log that is held here.
    service, target : str
        What an agent serves; empty for a balancer.
    flows, requests : int
        Open flows and requests in progress.
    peers : int
        Peers believed to be alive.
    uptime_s : float
        Time since the process started, seconds.
    lag : int
        Entries known to exist that are not held here.
    readers : tuple of str
        Known readers of the platform in the own availability zone.
    marks : tuple of str
        Marks that are believed, as ``SUBJECT KIND``.
    is_cut_off : bool
        Whether the process takes itself to be isolated.
    """

    instance: str
    role: str
    region: str
    zone: str
    state: str
    version: int
    entry: int
    service: str = ""
    target: str = ""
    flows: int = 0
    requests: int = 0
    peers: int = 0
    uptime_s: float = 0.0
    lag: int = 0
    readers: tuple[str, ...] = ()
    marks: tuple[str, ...] = ()
    is_cut_off: bool = False
