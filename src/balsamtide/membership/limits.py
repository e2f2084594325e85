"""Constants of membership, in one frozen value that tests and measures vary."""

from dataclasses import dataclass

__all__ = ["MembershipLimits"]


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipLimits:
    """Bounds and periods; names end in their unit.

    Parameters
    ----------
    datagram_bytes : int
        Largest body of an inner datagram that membership sends.
    fan_out : int
        Peers of the own zone that get a push of news.
    remote_pushes : int
        Pushes that leave a zone for one piece of news, over all its members.
    exchange_period_s : float
        Time between two digest exchanges of one member.
    pull_timeout_s : float
        Time after which an unanswered pull is repeated elsewhere.
    zone_peers, remote_peers, unlisted_peers : int
        Size of the partial view: peers of the own zone, peers of other zones, and
        peers that were heard from but are not on the list.
    partners : int
        Members of the own group that one member watches.
    zone_partners : int
        Least number of partners watched in each other zone of the group.
    heartbeat_period_s : float
        Time between heartbeats to a partner that answers.
    probe_period_s : float
        Time between heartbeats to a partner that does not.
    heartbeat_lease_s : float
        Silence after which a partner is suspected.
    suspicion_delay_s : float
        Time after the lease in which a claim on the whole zone goes first.
    max_timer_delay_s : float
        Delay of its own timer after which a member distrusts what it missed.
    min_observers : int
        Observers that have to agree on a suspect.
    max_claims_per_suspect : int
        Claims kept on one suspect.
    suspect_ttl_s, leaving_ttl_s, alive_ttl_s : float
        Longest remaining time of the three kinds of mark.
    max_subjects : int
        Subjects that a mark table keeps.
    max_marked_share : float
        Share of a service, or of the zones, above which suspects are ignored.
    readers_per_zone : int
        Processes of a zone that read the platform at a time.
    reader_lease_s : float
        Time without news of a reader after which it is replaced.
    takeover_step_s : float
        Time by which the next candidate lets the one before it go first.
    max_takeover_wait_s : float
        Upper bound of that wait.
    """

    datagram_bytes: int = 1190
    fan_out: int = 4
    remote_pushes: int = 32
    exchange_period_s: float = 1.0
    pull_timeout_s: float = 0.3
    zone_peers: int = 48
    remote_peers: int = 48
    unlisted_peers: int = 32
    partners: int = 4
    zone_partners: int = 2
    heartbeat_period_s: float = 1.0
    probe_period_s: float = 0.25
    heartbeat_lease_s: float = 3.0
    suspicion_delay_s: float = 1.0
    max_timer_delay_s: float = 0.75
    min_observers: int = 2
    max_claims_per_suspect: int = 3
    suspect_ttl_s: float = 15.0
    leaving_ttl_s: float = 60.0
    alive_ttl_s: float = 120.0
    max_subjects: int = 4096
    max_marked_share: float = 0.5
    readers_per_zone: int = 3
    reader_lease_s: float = 15.0
    takeover_step_s: float = 1.0
    max_takeover_wait_s: float = 60.0
