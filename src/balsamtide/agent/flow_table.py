"""The flows of an agent by number and by connection ID."""

from balsamtide.agent.flow import Flow

__all__ = ["FlowTable"]


class FlowTable:
    """Finds flows and counts handshakes in progress."""

    def __init__(self) -> None:
        self.flows: dict[int, Flow] = {}
        self.by_id: dict[bytes, Flow] = {}
        self.handshakes = 0
        self.last_number = 0

    def next_number(self) -> int:
        """Return a number for a new flow."""
        self.last_number += 1
        return self.last_number

    def add(self, flow: Flow) -> None:
        """Add a flow whose handshake begins."""
        self.flows[flow.number] = flow
        self.handshakes += 1

    def register(self, flow: Flow, connection_id: bytes) -> None:
        """Find ``flow`` by ``connection_id`` from now on."""
        self.by_id[connection_id] = flow
        flow.connection_ids.add(connection_id)

    def retire(self, flow: Flow, connection_id: bytes) -> None:
        """Find nothing by ``connection_id`` any more."""
        self.by_id.pop(connection_id, None)
        flow.connection_ids.discard(connection_id)

    def finish_handshake(self, flow: Flow, now: float) -> None:
        """Note that the handshake of ``flow`` is done."""
        flow.is_handshake_done = True
        flow.handshake_s = now - flow.opened_at
        self.handshakes -= 1

    def discard(self, flow: Flow) -> bool:
        """Forget a flow; False if it was forgotten before."""
        if self.flows.pop(flow.number, None) is None:
            return False
        for connection_id in flow.connection_ids:
            self.by_id.pop(connection_id, None)
        if not flow.is_handshake_done:
            self.handshakes -= 1
        return True
