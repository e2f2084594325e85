"""What holds the slots of one target: running requests and reservations."""

from dataclasses import dataclass

from balsamtide.config.model import SizeClass

__all__ = ["Holder", "SlotTable"]


@dataclass(frozen=True, slots=True, kw_only=True)
class Holder:
    """One held slot.

    Parameters
    ----------
    route : str
        Route of the request.
    size : SizeClass
        Class of its work when it got the slot.
    since : float
        When it got the slot, seconds on the local clock.
    service_time_s : float
        Expected time on the target.
    void_at : float
        When a reservation ends by itself; infinite for a running request.
    """

    route: str
    size: SizeClass
    since: float
    service_time_s: float
    void_at: float = float("inf")


class SlotTable:
    """The held slots of one target, by request identifier."""

    def __init__(self) -> None:
        self.running: dict[str, Holder] = {}
        self.reserved: dict[str, Holder] = {}

    @property
    def held(self) -> int:
        """Slots that are held."""
        return len(self.running) + len(self.reserved)

    @property
    def held_by_long(self) -> int:
        """Slots that long work holds."""
        return sum(
            holder.size is SizeClass.LONG
            for table in (self.running, self.reserved)
            for holder in table.values()
        )

    def remaining_work(self, size: SizeClass, now: float) -> list[float]:
        """Return the expected work left in each slot held by ``size``, seconds."""
        return [
            max(0.1 * holder.service_time_s, holder.since + holder.service_time_s - now)
            for table in (self.running, self.reserved)
            for holder in table.values()
            if holder.size is size
        ]

    def release(self, request_id: str) -> Holder | None:
        """Free the slot of a request."""
        holder = self.running.pop(request_id, None)
        return holder or self.reserved.pop(request_id, None)

    def void(self, now: float) -> bool:
        """Drop expired reservations; tell whether there were any."""
        expired = [i for i, h in self.reserved.items() if now >= h.void_at]
        for request_id in expired:
            del self.reserved[request_id]
        return bool(expired)

    @property
    def next_void(self) -> float:
        """When the next reservation ends by itself."""
        return min((h.void_at for h in self.reserved.values()), default=float("inf"))
