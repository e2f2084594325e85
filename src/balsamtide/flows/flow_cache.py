"""Bounded LRU cache of a balancer's flows."""

from dataclasses import dataclass
from math import inf

from balsamtide.flows.packet import FlowPacket

__all__ = ["CachedFlow", "FlowCache"]

# About 280 bytes a flow: 56 MB, a sixth of the smallest balancer's memory.
MAX_FLOWS = 200_000


@dataclass(slots=True)
class CachedFlow:
    """Destination of a flow's packets.

    Parameters
    ----------
    host : int
        IPv4 address of the agent's instance, as a number.
    service_tag : int
        Tag of the flow's service.
    last_packet_at : float
        Local time of its latest packet.  The idle timeout is added when it is checked,
        since a new configuration changes it for flows that are idle already.
    is_confirmed : bool
        Whether the agent confirmed that it has the flow.
    client_isn : int or None
        Initial sequence number of the client, which tells apart the flows of one key;
        None if a search found the flow, since only a SYN shows it.
    valid_until : float
        Local time until which the host is used without a confirmation; infinite unless
        it is a guess.
    """

    host: int
    service_tag: int
    last_packet_at: float
    is_confirmed: bool = False
    client_isn: int | None = None
    valid_until: float = inf

    def confirm(self) -> None:
        """Record that the agent has the flow."""
        self.is_confirmed = True
        self.valid_until = inf

    def is_newer_than(self, packet: FlowPacket) -> bool:
        """Whether a SYN that comes back belongs to an earlier flow of the same key."""
        return self.client_isn not in (None, packet.sequence)


class FlowCache:
    """LRU cache of flows by key.

    Parameters
    ----------
    max_flows : int
        Size beyond which the least recently used flow is evicted.
    """

    def __init__(self, *, max_flows: int = MAX_FLOWS) -> None:
        self.max_flows = max_flows
        self.flows: dict[bytes, CachedFlow] = {}

    def __len__(self) -> int:
        return len(self.flows)

    def get(self, key: bytes, now: float, idle_timeout_s: float) -> CachedFlow | None:
        """Return a flow and restart its idle timeout; remove an outdated guess."""
        flow = self.flows.pop(key, None)
        if flow is None or flow.last_packet_at + idle_timeout_s <= now:
            return None
        if flow.valid_until <= now:
            return None
        flow.last_packet_at = now
        self.flows[key] = flow
        return flow

    def put(self, key: bytes, flow: CachedFlow) -> None:
        """Insert or replace a flow."""
        self.flows.pop(key, None)
        self.flows[key] = flow
        if len(self.flows) > self.max_flows:
            del self.flows[next(iter(self.flows))]

    def drop(self, key: bytes) -> None:
        """Remove a flow if it is there."""
        self.flows.pop(key, None)

    def expire(self, now: float, idle_timeout_s: float) -> None:
        """Remove the flows whose idle timeout has passed."""
        expired = []
        for key, flow in self.flows.items():
            if flow.last_packet_at + idle_timeout_s > now:
                # Flows are ordered by last use, so that no later one is idle.
                break
            expired.append(key)
        for key in expired:
            del self.flows[key]
