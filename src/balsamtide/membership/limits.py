"""Tunable limits of membership; tests and benchmarks vary them."""

from dataclasses import dataclass

__all__ = ["MembershipLimits"]


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipLimits:
    """Bounds, periods and time-to-live values of membership.

    Parameters
    ----------
    datagram_bytes : int
        Maximum body size of a membership datagram, bytes.
    fan_out : int
        Peers of the local zone that receive a push.
    remote_pushes : int
        Expected number of pushes of one update that all members of a zone together
        send to other zones.
    exchange_period_s : float
        Time between two digest exchanges of one member, seconds.
    pull_timeout_s : float
        Time after which an unanswered pull may be sent to another peer, seconds.
    zone_peers, remote_peers, unlisted_peers : int
        Size of the partial view: peers of the local zone, peers of remote zones, and
        peers that sent a message but are not in the instance list.
    partners : int
        Number of successors on a hash ring of its monitoring group that one member
        monitors.  A group consists of the agents of one service, or of the balancers
        of one zone.
    zone_partners : int
        Minimum number of partners in each remote zone of the group.
    heartbeat_period_s : float
        Time between heartbeats to a partner that answers, seconds.
    probe_period_s : float
        Time between heartbeats to a partner that does not answer, seconds.
    heartbeat_lease_s : float
        Time without a message after which a partner is silent, seconds.
    suspicion_delay_s : float
        Time between lease expiry and the claim, seconds; meanwhile further instances
        of a silent zone are probed.
    max_timer_delay_s : float
        Timer delay above which a member resets the leases of its partners, seconds.
    min_observers : int
        Observers whose claims make a subject suspect.
    max_claims_per_suspect : int
        Maximum number of suspect claims kept per subject.
    suspect_ttl_s, leaving_ttl_s, alive_ttl_s : float
        Maximum time to live of each kind of mark, seconds.
    max_subjects : int
        Maximum number of subjects in a mark table.
    max_marked_share : float
        Marked share of a service, or of the zones, above which marks are ignored.
    readers_per_zone : int
        Processes of a zone that read the platform concurrently.
    reader_lease_s : float
        Lease of a reader that sends no announcement, seconds.
    takeover_step_s : float
        Additional wait of a candidate per rank before it takes over, seconds.
    max_takeover_wait_s : float
        Wait by rank, seconds, above which a random wait of one to two times this
        value is used instead.
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
