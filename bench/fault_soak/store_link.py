"""A proxy before the store, one listener for each process, that harms connections."""

from enum import Enum

from trio import (
    BrokenResourceError,
    ClosedResourceError,
    Nursery,
    SocketStream,
    aclose_forcefully,
    open_nursery,
    open_tcp_stream,
    serve_tcp,
    sleep,
    sleep_forever,
)

__all__ = ["LinkFault", "StoreLink"]

READ_BYTES = 65_536
DELAY_S = 0.15


class LinkFault(Enum):
    """What happens to connections."""

    NONE = "none"
    RESET = "reset"
    SILENT = "silent"
    SLOW = "slow"
    ONE_WAY = "one-way"


class StoreLink:
    """The way of one process to the store.

    Parameters
    ----------
    store : tuple of (str, int)
        Address of the store.
    """

    def __init__(self, store: tuple[str, int]) -> None:
        self.store = store
        self.fault = LinkFault.NONE
        self.address = ""
        # Connections that were open before a number changed are silent for good.
        self.generation = 0

    async def listen(self, nursery: Nursery, host: str) -> None:
        """Accept connections in the nursery."""
        listeners = await nursery.start(
            lambda task_status: serve_tcp(
                self._serve, 0, host=host, task_status=task_status
            )
        )
        port = listeners[0].socket.getsockname()[1]
        self.address = f"{host}:{port}"

    def silence_open_connections(self) -> None:
        """Make every connection that is open silent, while new ones work."""
        self.generation += 1

    async def _serve(self, near: SocketStream) -> None:
        if self.fault is LinkFault.RESET:
            await aclose_forcefully(near)
            return
        try:
            far = await open_tcp_stream(*self.store)
        except OSError:
            await aclose_forcefully(near)
            return
        async with near, far, open_nursery() as nursery:
            generation = self.generation
            nursery.start_soon(self._copy, near, far, generation, False, nursery)
            nursery.start_soon(self._copy, far, near, generation, True, nursery)

    async def _copy(
        self,
        source: SocketStream,
        sink: SocketStream,
        generation: int,
        is_answer: bool,
        nursery: Nursery,
    ) -> None:
        try:
            async for data in source:
                await self._harm(generation, is_answer)
                await sink.send_all(data)
        except (BrokenResourceError, ClosedResourceError):
            # One end went away, so the other one goes too.
            pass
        nursery.cancel_scope.cancel()

    async def _harm(self, generation: int, is_answer: bool) -> None:
        if generation != self.generation or self.fault is LinkFault.SILENT:
            await sleep_forever()
        if self.fault is LinkFault.RESET:
            raise BrokenResourceError
        if self.fault is LinkFault.ONE_WAY and is_answer:
            await sleep_forever()
        if self.fault is LinkFault.SLOW:
            await sleep(DELAY_S)
