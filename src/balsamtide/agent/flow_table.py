"""Index of an agent's flows."""

from balsamtide.agent.flow import Flow

__all__ = ["FlowTable"]


class FlowTable:
    """Indexes flows by number and connection ID, and counts open handshakes."""

    def __init__(self) -> None:
        self.flows: dict[int, Flow] = {}
        self.by_id: dict[bytes, Flow] = {}
        self.handshakes = 0
        self.last_number = 0

    def next_number(self) -> int:
        """Return an unused flow number."""
        self.last_number += 1
        return self.last_number

    def add(self, flow: Flow) -> None:
        """Add a flow whose handshake is in progress."""
        self.flows[flow.number] = flow
        self.handshakes += 1

    def register(self, flow: Flow, connection_id: bytes) -> None:
        """Map ``connection_id`` to ``flow``."""
        self.by_id[connection_id] = flow
        flow.connection_ids.add(connection_id)

    def retire(self, flow: Flow, connection_id: bytes) -> None:
        """Remove ``connection_id`` from the index."""
        self.by_id.pop(connection_id, None)
        flow.connection_ids.discard(connection_id)

    def finish_handshake(self, flow: Flow, now: float) -> None:
        """Mark the handshake of ``flow`` as completed and store its duration."""
        flow.is_handshake_done = True
        flow.handshake_s = now - flow.opened_at
        self.handshakes -= 1

    def discard(self, flow: Flow) -> bool:
        """Remove a flow; return False if it was removed before."""
        if self.flows.pop(flow.number, None) is None:
            return False
        for connection_id in flow.connection_ids:
            self.by_id.pop(connection_id, None)
        if not flow.is_handshake_done:
            self.handshakes -= 1
        return True
