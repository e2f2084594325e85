"""The current flow of a caller, and the one that is connecting."""

from aioquic.quic.configuration import QuicConfiguration
from trio import Nursery, current_time, move_on_after, open_nursery

from balsamtide.caller.errors import ConnectError
from balsamtide.caller.flow_task import CallerFlowTask
from balsamtide.protocol.messages import Endpoint
from balsamtide.protocol.verdict import Verdict

__all__ = ["FlowPool"]

CONNECT_TIMEOUT_S = 5.0


class FlowPool:
    """Provides the current flow, and replaces it once it has ended or received GOAWAY.

    Parameters
    ----------
    configuration : QuicConfiguration
        QUIC configuration of every flow.
    remote : Endpoint
        Service address.
    nursery : Nursery
        Nursery that runs the tasks of the flows.
    """

    def __init__(
        self, configuration: QuicConfiguration, remote: Endpoint, nursery: Nursery
    ) -> None:
        self.configuration = configuration
        self.remote = remote
        self.nursery = nursery
        self.current: CallerFlowTask | None = None
        self.connecting: CallerFlowTask | None = None

    async def get_flow(self, deadline: float) -> CallerFlowTask:
        """Return a flow for new requests, connecting until ``deadline`` if needed.

        Concurrent calls wait for the same new flow.

        Raises
        ------
        ConnectError
            If the flow ended, or was not open by ``deadline`` or within
            ``CONNECT_TIMEOUT_S``.
        """
        current = self.current
        if current is not None and not current.flow.is_going_away:
            return current
        if self.connecting is None or self.connecting.ended.is_set():
            self.connecting = self._start_flow()
        connecting = self.connecting
        await self._wait_until_open(connecting, deadline)
        if self.connecting is connecting:
            self.connecting = None
            self.current = connecting
        return connecting

    def _start_flow(self) -> CallerFlowTask:
        flow = CallerFlowTask(self.configuration, self.remote)
        self.nursery.start_soon(flow.run)
        return flow

    async def _wait_until_open(
        self, flow_task: CallerFlowTask, deadline: float
    ) -> None:
        timeout = min(CONNECT_TIMEOUT_S, max(0.0, deadline - current_time()))
        with move_on_after(timeout):
            async with open_nursery() as nursery:

                async def cancel_on_end() -> None:
                    await flow_task.ended.wait()
                    nursery.cancel_scope.cancel()

                nursery.start_soon(cancel_on_end)
                await flow_task.opened.wait()
                nursery.cancel_scope.cancel()
        if flow_task.opened.is_set() and not flow_task.ended.is_set():
            return
        if self.connecting is flow_task:
            self.connecting = None
        flow_task.flow.close()
        reason = flow_task.end_reason or "timeout"
        raise ConnectError(Verdict.NOT_RUN, f"no flow could be opened: {reason}")

    async def aclose(self) -> None:
        """Close the current flow."""
        if self.current is not None:
            await self.current.close()
