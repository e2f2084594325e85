"""Search for the agent that has an open flow which a balancer does not know."""

from dataclasses import dataclass, field

from balsamtide.protocol.flow_frames import Ownership

__all__ = ["FlowSearch", "SearchTable"]

# Two round trips to the farthest zone and an agent's wake-up.
SEARCH_ROUND_S = 0.02
# A target that does not hold a flow returns its packet at once.
RETURN_TIMEOUT_S = 0.1
# As many packets as a client has in flight.
MAX_HELD_PACKETS = 16
# Bounds the memory that packets of unknown flows take.
MAX_SEARCHES = 512
# Searches a second and in one burst: each costs a frame to and from every agent of a
# service, which must leave a weak balancer the time for new flows.
SEARCHES_PER_S = 60.0
SEARCH_BURST = 150.0


@dataclass(slots=True)
class FlowSearch:
    """One flow that is looked for.

    Parameters
    ----------
    packets : list of bytes
        Packets that wait.
    asked : set of int
        Hosts that were asked.
    unanswered : set of int
        Hosts whose answer is awaited.
    uncertain : list of int
        Hosts whose agent can't tell, since it started a short time ago.
    deadline : float
        When the present round ends.
    is_last_round : bool
        Whether every agent was asked.
    tentative_hosts : set of int
        Uncertain hosts that got the packets and did not return them yet.
    was_delivered : bool
        Whether the packets were sent to the uncertain hosts.
    is_incomplete : bool
        Whether an agent did not answer.
    """

    packets: list[bytes]
    asked: set[int]
    unanswered: set[int]
    deadline: float
    uncertain: list[int] = field(default_factory=list)
    is_last_round: bool = False
    tentative_hosts: set[int] = field(default_factory=set)
    was_delivered: bool = False
    is_incomplete: bool = False

    def add_packet(self, packet: bytes) -> None:
        """Keep one more packet, unless too many wait."""
        if len(self.packets) < MAX_HELD_PACKETS:
            self.packets.append(packet)

    def record_answer(self, host: int, ownership: Ownership) -> None:
        """Take an answer other than that the flow is there."""
        self.unanswered.discard(host)
        if ownership is Ownership.MAYBE and host not in self.uncertain:
            self.uncertain.append(host)

    def start_tentative_delivery(self, now: float) -> list[int]:
        """Begin to offer the packets to the uncertain hosts; return them."""
        self.was_delivered = True
        self.tentative_hosts = set(self.uncertain)
        self.deadline = now + RETURN_TIMEOUT_S
        return self.uncertain

    def start_round(self, hosts: set[int], now: float) -> set[int]:
        """Begin a round with the hosts that were not asked; return them."""
        fresh = hosts - self.asked
        self.asked |= fresh
        self.unanswered |= fresh
        self.deadline = now + SEARCH_ROUND_S
        return fresh


class SearchTable:
    """All searches of a balancer."""

    def __init__(self) -> None:
        self.searches: dict[bytes, FlowSearch] = {}
        self.tokens = SEARCH_BURST
        self.refilled_at = 0.0

    def try_acquire(self, now: float) -> bool:
        """Whether a further search may begin; it is counted if so."""
        earned = (now - self.refilled_at) * SEARCHES_PER_S
        self.tokens = min(SEARCH_BURST, self.tokens + earned)
        self.refilled_at = now
        if self.tokens < 1.0 or len(self.searches) >= MAX_SEARCHES:
            return False
        self.tokens -= 1.0
        return True

    def get(self, key: bytes) -> FlowSearch | None:
        """Return the search for a flow."""
        return self.searches.get(key)

    def start(self, key: bytes, packet: bytes, now: float) -> FlowSearch:
        """Begin a search with its first packet."""
        search = FlowSearch([packet], set(), set(), now)
        self.searches[key] = search
        return search

    def end(self, key: bytes) -> FlowSearch | None:
        """End a search and return it."""
        return self.searches.pop(key, None)

    def due_keys(self, now: float) -> list[bytes]:
        """Return the searches whose round is over."""
        return [key for key, search in self.searches.items() if search.deadline <= now]
