"""Slots of one target, held by running requests and reservations."""

from dataclasses import dataclass

from balsamtide.config.model import SizeClass

__all__ = ["HeldSlot", "SlotTable"]

MIN_REMAINING_SHARE = 0.1  # an overdue request still counts as work


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldSlot:
    """A slot held by a request or a reservation.

    Parameters
    ----------
    route : str
        Route of the request.
    size : SizeClass
        Size class of the request when it acquired the slot.
    since : float
        When the slot was acquired, seconds on the local clock.
    service_time_s : float
        Expected service time on the target, seconds.
    expires_at : float
        When a reservation expires; infinite for a running request.
    """

    route: str
    size: SizeClass
    since: float
    service_time_s: float
    expires_at: float = float("inf")


class SlotTable:
    """Held slots of one target, by request identifier."""

    def __init__(self) -> None:
        self.running: dict[str, HeldSlot] = {}
        self.reserved: dict[str, HeldSlot] = {}

    @property
    def held(self) -> int:
        """Number of held slots."""
        return len(self.running) + len(self.reserved)

    @property
    def held_by_long(self) -> int:
        """Number of slots held by long work."""
        return sum(
            slot.size is SizeClass.LONG
            for table in (self.running, self.reserved)
            for slot in table.values()
        )

    def remaining_work(self, size: SizeClass, now: float) -> list[float]:
        """Return the expected remaining time of each slot held by ``size``, seconds."""
        return [
            max(
                MIN_REMAINING_SHARE * slot.service_time_s,
                slot.since + slot.service_time_s - now,
            )
            for table in (self.running, self.reserved)
            for slot in table.values()
            if slot.size is size
        ]

    def release(self, request_id: str) -> HeldSlot | None:
        """Release and return the slot of a request, None if it holds none."""
        slot = self.running.pop(request_id, None)
        return slot or self.reserved.pop(request_id, None)

    def expire(self, now: float) -> bool:
        """Release expired reservations; return whether there were any."""
        expired = [
            request_id
            for request_id, slot in self.reserved.items()
            if now >= slot.expires_at
        ]
        for request_id in expired:
            del self.reserved[request_id]
        return bool(expired)

    @property
    def next_expiry(self) -> float:
        """Time at which the next reservation expires, seconds."""
        return min(
            (slot.expires_at for slot in self.reserved.values()), default=float("inf")
        )
