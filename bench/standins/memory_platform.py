"""A stand-in for the platform inside one process."""

from trio import Condition, move_on_after

from balsamtide.config.port import Instance, PlatformError, PlatformPort, Snapshot
from balsamtide.protocol.messages import Entry, PatchOperation

__all__ = ["MemoryPlatform"]


class MemoryPlatform(PlatformPort):
    """Holds entries and the list of instances; readers can only read and watch.

    Parameters
    ----------
    instances : tuple of Instance
        The list.
    """

    def __init__(self, instances: tuple[Instance, ...] = ()) -> None:
        self.log: list[Entry] = []
        self.listed = instances
        self.reads = 0
        self.is_down = False
        self.changed = Condition()

    async def publish(
        self, patch: tuple[PatchOperation, ...], *, base: int, actor: str = "operator"
    ) -> int:
        """Append an entry, as an operator does, and return its number."""
        number = len(self.log) + 1
        self.log.append(Entry(number, base, patch, actor))
        async with self.changed:
            self.changed.notify_all()
        return number

    def _read(self) -> None:
        self.reads += 1
        if self.is_down:
            raise PlatformError("the platform is down")

    async def newest(self) -> int:
        """Return the newest number."""
        self._read()
        return len(self.log)

    async def entries(self, after: int) -> tuple[Entry, ...]:
        """Return the entries after ``after``."""
        self._read()
        return tuple(self.log[after:])

    async def watch(self, after: int, timeout_s: float) -> tuple[Entry, ...]:
        """Wait for entries after ``after``."""
        self._read()
        with move_on_after(timeout_s):
            async with self.changed:
                while len(self.log) <= after:
                    await self.changed.wait()
        self._read()
        return tuple(self.log[after:])

    async def snapshot(self) -> Snapshot:
        """Raise, since this stand-in keeps the whole log."""
        self._read()
        raise PlatformError("no snapshot")

    async def instances(self) -> tuple[Instance, ...]:
        """Return the list."""
        self._read()
        return self.listed
