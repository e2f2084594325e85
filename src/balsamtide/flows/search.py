"""Search for the agent of an open flow that is not in a balancer's cache."""

from dataclasses import dataclass, field
from enum import IntEnum
from math import inf

from balsamtide.flows.packet import FlowPacket, sequence_distance
from balsamtide.protocol.flow_frames import Ownership

__all__ = ["FlowSearch", "SearchStage", "SearchTable"]

# Two round trips to the farthest zone plus the scheduling delay of an agent.  Short,
# since a missing answer does not make an agent a suspect, and the client waits.
SEARCH_ROUND_S = 0.02
# A target that does not have a flow returns its packet at once.
RETURN_TIMEOUT_S = 0.1
# How long a guess is used until a frame confirms it: longer than a client's first
# retransmission after 0.2 s, and far less than the 2 s for which an open flow's packets
# may go to a wrong target.
GUESS_VALID_S = 0.3
# Packets held for one search; a client has no more in flight.
MAX_HELD_PACKETS = 16
# Bounds the memory for packets of unknown flows.
MAX_SEARCHES = 512
# How long the denials of an ended search hold for the next packets of the flow.  A
# target that does not have a flow past its handshake never gets it; the limit is for
# ports that are used again, and exceeds the retransmissions of a packet.
DENIAL_VALID_S = 30.0
# A packet of the same flow acknowledges at most so much more than the one that was
# denied.  Another handshake differs by more, except once in thousands.
SAME_HANDSHAKE_BYTES = 1 << 20
# Bounds the memory for denials, some 500 bytes each in a service of 50 targets.
MAX_DENIED_FLOWS = 1024
# Rate and burst of a token bucket for new searches.  Each asks a flow's home targets
# first, which costs less than a millisecond of a small balancer's time.
SEARCHES_PER_S = 200.0
SEARCH_BURST = 150.0
# The same for the frames of later stages, which ask all agents of a service.
FRAMES_PER_S = 540.0
FRAME_BURST = 1350.0


class SearchStage(IntEnum):
    """Agents that are asked, one group after the other."""

    HOMES = 0
    NEIGHBORS = 1
    SERVICE = 2
    FLEET = 3


@dataclass(slots=True, kw_only=True)
class FlowSearch:
    """Search for one flow.

    Parameters
    ----------
    packets : list of bytes
        Packets held until the search ends.
    acknowledgement : int
        What the first packet acknowledges, which tells apart the flows of one key.
    deadline : float
        Local time at which the current round ends.
    asked : set of int
        Hosts that were asked.
    unanswered : set of int
        Hosts that have not answered yet, in this round or an earlier one.
    uncertain : list of int
        Hosts whose agent can't tell because it started a short time ago.
    stage : SearchStage
        Agents that were asked last.
    tentative_hosts : set of int
        Uncertain hosts that got the first packet and have not returned it yet.
    was_sent_tentatively : bool
        Whether the first packet was sent to the uncertain hosts, which may return it.
    is_incomplete : bool
        Whether an agent was not asked, or a target did not answer, so that the flow may
        still exist.
    denied : set of int
        Hosts that do not have the flow: the agent said so, or the target returned the
        packet.
    denials_valid_until : float
        Local time at which the first denial has to be asked for again.
    """

    packets: list[bytes]
    acknowledgement: int
    deadline: float
    asked: set[int] = field(default_factory=set)
    unanswered: set[int] = field(default_factory=set)
    uncertain: list[int] = field(default_factory=list)
    stage: SearchStage = SearchStage.HOMES
    tentative_hosts: set[int] = field(default_factory=set)
    was_sent_tentatively: bool = False
    is_incomplete: bool = False
    denied: set[int] = field(default_factory=set)
    denials_valid_until: float = inf

    @property
    def is_complete(self) -> bool:
        """Whether everyone who was asked has answered; a late answer counts."""
        return not self.is_incomplete and not self.unanswered

    def was_sent_to(self, host: int) -> bool:
        """Whether a host got the first packet in the current delivery."""
        return self.was_sent_tentatively and host in self.uncertain

    def add_packet(self, packet: bytes) -> None:
        """Hold one more packet, or drop it beyond `MAX_HELD_PACKETS`."""
        if len(self.packets) < MAX_HELD_PACKETS:
            self.packets.append(packet)

    def record_answer(self, host: int, ownership: Ownership) -> None:
        """Record a host's answer that it does not have the flow or can't tell."""
        self.unanswered.discard(host)
        if ownership is Ownership.NO:
            self.denied.add(host)
        elif host not in self.uncertain:
            self.uncertain.append(host)

    def record_return(self, host: int) -> None:
        """Record that a target returned the packet that was delivered tentatively."""
        self.tentative_hosts.discard(host)
        self.denied.add(host)

    def start_tentative_delivery(self, now: float) -> list[int]:
        """Start a tentative delivery to the uncertain hosts and return them."""
        self.was_sent_tentatively = True
        self.tentative_hosts = set(self.uncertain)
        self.deadline = now + RETURN_TIMEOUT_S
        return self.uncertain

    def start_stage(self, stage: SearchStage) -> None:
        """Go on to other agents, after the uncertain ones returned the packet."""
        self.stage = stage
        self.uncertain = []
        self.tentative_hosts = set()
        self.was_sent_tentatively = False

    def start_round(self, hosts: set[int], now: float) -> set[int]:
        """Start a round with the hosts that were not asked yet and return them."""
        new_hosts = hosts - self.asked
        self.asked |= new_hosts
        self.unanswered |= new_hosts
        self.deadline = now + SEARCH_ROUND_S
        return new_hosts


@dataclass(frozen=True, slots=True, kw_only=True)
class Denials:
    """What an ended search has established about a flow.

    Parameters
    ----------
    acknowledgement : int
        What the packet that was denied acknowledges.
    hosts : tuple of int
        Hosts that do not have the flow.
    stage : SearchStage
        Agents that were asked last.
    valid_until : float
        Local time until which the denials hold.
    """

    acknowledgement: int
    hosts: tuple[int, ...]
    stage: SearchStage
    valid_until: float

    def holds_for(self, packet: FlowPacket, now: float) -> bool:
        """Whether a packet of the same flow would be denied as well.

        A late packet of an earlier flow from the same client port is denied by the
        agent that has the port's present flow.
        """
        ahead = sequence_distance(packet.acknowledgement, self.acknowledgement)
        return now < self.valid_until and ahead < SAME_HANDSHAKE_BYTES


class TokenBucket:
    """Token bucket; a cost above the burst waits for a full bucket.

    Parameters
    ----------
    per_s, burst : float
        Tokens earned each second, and held at most.
    """

    def __init__(self, per_s: float, burst: float) -> None:
        self.per_s = per_s
        self.burst = burst
        self.tokens = burst
        self.refilled_at = 0.0

    def try_take(self, cost: int, now: float, *, left: float = 0.0) -> bool:
        """Take tokens if there are enough and ``left`` tokens remain."""
        earned = (now - self.refilled_at) * self.per_s
        self.tokens = min(self.burst, self.tokens + earned)
        self.refilled_at = now
        if self.tokens < min(cost + left, self.burst):
            return False
        self.tokens -= cost
        return True


class SearchTable:
    """Searches of a balancer by flow key, limited by a token bucket."""

    def __init__(self) -> None:
        self.searches: dict[bytes, FlowSearch] = {}
        self.denials: dict[bytes, Denials] = {}
        self.new_searches = TokenBucket(SEARCHES_PER_S, SEARCH_BURST)
        self.later_frames = TokenBucket(FRAMES_PER_S, FRAME_BURST)

    def may_start(self, now: float) -> bool:
        """Take a token for a new search; return False if the limit is reached."""
        if len(self.searches) >= MAX_SEARCHES:
            return False
        return self.new_searches.try_take(1, now)

    def may_continue(self, frames: int, now: float, *, has_data: bool) -> bool:
        """Take tokens for a later stage; return False if the limit is reached.

        Searches for packets without data leave half of the tokens to those with data,
        whose clients wait for an answer.
        """
        left = 0.0 if has_data else FRAME_BURST / 2
        return self.later_frames.try_take(frames, now, left=left)

    def get(self, key: bytes) -> FlowSearch | None:
        """Return the search for a flow, if there is one."""
        return self.searches.get(key)

    def start(self, packet: FlowPacket, now: float) -> FlowSearch:
        """Start a search with its first packet, where the last one ended.

        A client retransmits the packets of a flow that nobody has until its deadline;
        without the earlier denials, each one would ask the same agents again.
        """
        key = packet.client_key
        search = FlowSearch(
            packets=[packet.raw],
            acknowledgement=packet.acknowledgement,
            deadline=now,
            denials_valid_until=now + DENIAL_VALID_S,
        )
        denials = self.denials.pop(key, None)
        if denials is not None and denials.holds_for(packet, now):
            search.denied.update(denials.hosts)
            search.asked.update(denials.hosts)
            search.stage = denials.stage
            search.denials_valid_until = denials.valid_until
        self.searches[key] = search
        return search

    def end(self, key: bytes) -> FlowSearch | None:
        """Remove a search and return it."""
        return self.searches.pop(key, None)

    def end_denied(self, key: bytes) -> FlowSearch | None:
        """Remove a search that did not find its flow, and keep its denials."""
        search = self.searches.pop(key, None)
        if search is not None and search.denied:
            self.denials[key] = Denials(
                acknowledgement=search.acknowledgement,
                hosts=tuple(search.denied),
                stage=search.stage,
                valid_until=search.denials_valid_until,
            )
            if len(self.denials) > MAX_DENIED_FLOWS:
                del self.denials[next(iter(self.denials))]
        return search

    def due_keys(self, now: float) -> list[bytes]:
        """Return the flows whose search round has ended."""
        return [key for key, search in self.searches.items() if search.deadline <= now]
