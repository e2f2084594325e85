"""Lets peers' offers wait for a slot, in trio tasks."""

from trio import Event, move_on_at

from balsamtide.admission.deadline_admission import DeadlineAdmission
from balsamtide.requests.model import RequestFacts

__all__ = ["PendingOffers"]


class PendingOffers:
    """Connects waiting offers with the policy's later grants.

    The owner of the policy calls ``wake`` after each call of the policy that can free
    a slot.  Whoever gets False, or is cancelled, forgets the offer by ``cancel`` of
    the policy.

    Parameters
    ----------
    policy : DeadlineAdmission
        The policy.
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
        """Reserve a slot now or when one becomes free before ``wait_deadline``."""
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
        """Wake the offers that were granted a slot."""
        for request_id in self.policy.pop_granted():
            event = self.waiting.get(request_id)
            if event is not None:
                event.set()
