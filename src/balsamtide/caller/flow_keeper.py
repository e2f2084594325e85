"""The flows of a caller: one that takes new requests, and the older ones."""

from aioquic.quic.configuration import QuicConfiguration
from trio import Nursery, current_time, move_on_after, open_nursery

from balsamtide.caller.errors import ConnectError
from balsamtide.caller.flow_task import CallerFlowTask
from balsamtide.protocol.messages import Endpoint
from balsamtide.protocol.verdict import Verdict

__all__ = ["FlowKeeper"]

CONNECT_TIMEOUT_S = 5.0


class FlowKeeper:
    """Opens a new flow when the current one ended or goes away.

    Parameters
    ----------
    configuration : QuicConfiguration
        Of every flow.
    remote : Endpoint
        Service address.
    nursery : Nursery
        Where the flows run.
    """

    def __init__(
        self, configuration: QuicConfiguration, remote: Endpoint, nursery: Nursery
    ) -> None:
        self.configuration = configuration
        self.remote = remote
        self.nursery = nursery
        self.current: CallerFlowTask | None = None
        self.connecting: CallerFlowTask | None = None

    async def flow(self, deadline: float) -> CallerFlowTask:
        """Return a flow that takes new requests, opened by ``deadline``.

        Raises
        ------
        ConnectError
            If none could be opened.
        """
        current = self.current
        if current is not None and not current.flow.is_going_away:
            return current
        if self.connecting is None or self.connecting.ended.is_set():
            self.connecting = self._start_flow()
        connecting = self.connecting
        await self._await_open(connecting, deadline)
        if self.connecting is connecting:
            self.connecting = None
            self.current = connecting
        return connecting

    def _start_flow(self) -> CallerFlowTask:
        flow = CallerFlowTask(self.configuration, self.remote)
        self.nursery.start_soon(flow.run)
        return flow

    async def _await_open(self, flow: CallerFlowTask, deadline: float) -> None:
        timeout = min(CONNECT_TIMEOUT_S, max(0.0, deadline - current_time()))
        with move_on_after(timeout):
            async with open_nursery() as nursery:

                async def wait_ended() -> None:
                    await flow.ended.wait()
                    nursery.cancel_scope.cancel()

                nursery.start_soon(wait_ended)
                await flow.opened.wait()
                nursery.cancel_scope.cancel()
        if flow.opened.is_set() and not flow.ended.is_set():
            return
        if self.connecting is flow:
            self.connecting = None
        flow.flow.close()
        reason = flow.end_reason or "timeout"
        raise ConnectError(Verdict.NOT_RUN, f"no flow could be opened: {reason}")

    async def aclose(self) -> None:
        """Close the current flow."""
        if self.current is not None:
            await self.current.close()
