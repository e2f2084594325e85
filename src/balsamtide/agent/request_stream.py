"""Buffer and signals of one request between the flow task and its handler."""

from collections.abc import AsyncIterator

from trio import CancelScope, Event

from balsamtide.agent.flow_events import RequestOpened, StreamKey

__all__ = ["RequestStream"]

# Unread bytes of a body above which its caller is paused.
PAUSE_UNREAD_BYTES = 256 * 1024
MAX_REPLAY_BYTES = 256 * 1024


class RequestStream:
    """Body and signals of one request, written by the flow task.

    Consumed chunks are kept up to ``MAX_REPLAY_BYTES``, so that a request that did not
    run can be retried on another target.

    Parameters
    ----------
    opened : RequestOpened
        Event that opened the request.
    opened_at : float
        Time of that event, seconds.
    """

    def __init__(self, opened: RequestOpened, opened_at: float) -> None:
        self.opened = opened
        self.opened_at = opened_at
        self.scope = CancelScope()
        self.is_cancelled_by_caller = False
        # Whether to run to the end even if the caller cancels.
        self.must_complete = False
        # None stands for a chunk that was discarded after it was read.
        self.chunks: list[bytes | None] = []
        self.first_kept_index = 0
        self.next_unread_index = 0
        self.unread_bytes = 0
        self.kept_bytes = 0
        self.is_body_ended = opened.is_ended
        self.is_paused = False
        self.body_changed = Event()
        # Set once the send buffer of the answer has room.
        self.writable = Event()
        # Total time that writes of the answer waited while the path lost packets.
        self.loss_stall_s = 0.0

    @property
    def key(self) -> StreamKey:
        """Key of the request's stream."""
        return self.opened.key

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be read from its start again."""
        return self.first_kept_index == 0

    def add_body(self, data: bytes, *, is_ended: bool) -> bool:
        """Append a chunk of the body; return whether the caller must now be paused."""
        if data:
            self.chunks.append(data)
            self.unread_bytes += len(data)
        self.is_body_ended = self.is_body_ended or is_ended
        self.body_changed.set()
        must_pause = self.unread_bytes > PAUSE_UNREAD_BYTES and not self.is_paused
        self.is_paused = self.is_paused or must_pause
        return must_pause

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body from its start.

        Once ``is_replayable`` is False, iteration starts at the first chunk still kept.
        """
        position = self.first_kept_index
        while True:
            while position < len(self.chunks):
                yield self._consume(position)
                position += 1
            if self.is_body_ended:
                return
            self.body_changed = Event()
            await self.body_changed.wait()

    def _consume(self, position: int) -> bytes:
        chunk = self.chunks[position]
        assert chunk is not None
        if position < self.next_unread_index:
            return chunk
        self.next_unread_index = position + 1
        self.unread_bytes -= len(chunk)
        self.kept_bytes += len(chunk)
        if self.kept_bytes > MAX_REPLAY_BYTES:
            self._discard_consumed()
        return chunk

    def _discard_consumed(self) -> None:
        for position in range(self.first_kept_index, self.next_unread_index):
            self.chunks[position] = None
        self.first_kept_index = self.next_unread_index
        self.kept_bytes = 0

    def try_resume(self) -> bool:
        """Clear the pause and return True if less than half the limit is unread."""
        if self.is_paused and self.unread_bytes * 2 < PAUSE_UNREAD_BYTES:
            self.is_paused = False
            return True
        return False

    def cancel(self) -> None:
        """Cancel the handler because the caller cancelled the request.

        A request that must complete continues if its body is complete; its answer is
        then no longer sent to the caller.
        """
        self.is_cancelled_by_caller = True
        self.writable.set()
        if not (self.must_complete and self.is_body_ended):
            self.scope.cancel()
