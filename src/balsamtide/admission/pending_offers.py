"""Offers of peers that wait for a slot in trio tasks."""

from trio import Event, move_on_at

from balsamtide.admission.deadline_admission import DeadlineAdmission
from balsamtide.requests.model import RequestFacts

__all__ = ["PendingOffers"]


class PendingOffers:
    """Suspends offers of peers until the policy grants them a slot.

    Call ``wake`` after each call of the policy that can free a slot.  After ``offer``
    returned False or was cancelled, remove the offer by ``cancel`` of the policy.

    Parameters
    ----------
    policy : DeadlineAdmission
        Policy that grants the offers.
    """

    def __init__(self, policy: DeadlineAdmission) -> None:
        self.policy = policy
        self.waiting: dict[str, Event] = {}

    async def offer(
        self,
        facts: RequestFacts,
        grant_deadline: float,
        wait_deadline: float,
        now: float,
    ) -> bool:
        """Wait until ``wait_deadline`` for a slot; return whether one is reserved."""
        if self.policy.offer(facts, grant_deadline, now):
            return True
        if not self.policy.queue_offer(facts, wait_deadline, now):
            return False
        granted = self.waiting[facts.request_id] = Event()
        try:
            with move_on_at(wait_deadline):
                await granted.wait()
        finally:
            self.waiting.pop(facts.request_id, None)
        return granted.is_set()

    def wake(self) -> None:
        """Resume the offers that were granted a slot."""
        for request_id in self.policy.pop_granted():
            event = self.waiting.get(request_id)
            if event is not None:
                event.set()
