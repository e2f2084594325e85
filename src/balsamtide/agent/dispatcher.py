"""The task that owns the admission policy."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import inf
from typing import Protocol

from trio import (
    MemorySendChannel,
    current_time,
    move_on_at,
    open_memory_channel,
)

from balsamtide.admission.policy import AdmissionPolicy, Decision
from balsamtide.protocol.messages import LoadReport
from balsamtide.requests.model import Outcome, RequestFacts

__all__ = ["Dispatcher"]

QUEUE_ITEMS = 16_384
TIMER_STEP_S = 0.001


class PolicyCall(Protocol):
    """Something to tell the policy."""

    def apply(self, policy: AdmissionPolicy, now: float) -> Sequence[Decision]:
        """Tell it and return what it decides."""


@dataclass(frozen=True, slots=True)
class Arrive:
    """A request came from a caller."""

    facts: RequestFacts

    def apply(self, policy: AdmissionPolicy, now: float) -> Sequence[Decision]:
        """Tell it and return what it decides."""
        return policy.arrive(self.facts, now)


@dataclass(frozen=True, slots=True)
class Finish:
    """A request that was started here ended."""

    request_id: str
    outcome: Outcome

    def apply(self, policy: AdmissionPolicy, now: float) -> Sequence[Decision]:
        """Tell it and return what it decides."""
        return policy.finish(self.request_id, self.outcome, now)


@dataclass(frozen=True, slots=True)
class Cancel:
    """A caller gave a request up."""

    request_id: str

    def apply(self, policy: AdmissionPolicy, now: float) -> Sequence[Decision]:
        """Tell it and return what it decides."""
        return policy.cancel(self.request_id, now)


@dataclass(frozen=True, slots=True)
class TransferFailed:
    """No peer granted a request."""

    request_id: str

    def apply(self, policy: AdmissionPolicy, now: float) -> Sequence[Decision]:
        """Tell it and return what it decides."""
        return policy.transfer_failed(self.request_id, now)


@dataclass(frozen=True, slots=True)
class ReceiveLoad:
    """A peer reported its load."""

    report: LoadReport

    def apply(self, policy: AdmissionPolicy, now: float) -> Sequence[Decision]:
        """Tell it and return what it decides."""
        return policy.receive(self.report, now)


class Dispatcher:
    """Passes calls to the policy and its decisions to the waiting requests.

    Parameters
    ----------
    policy : AdmissionPolicy
        Owned by this task.
    on_change : callable
        Called after each change of the policy's state, with the time.
    """

    def __init__(
        self,
        policy: AdmissionPolicy,
        *,
        on_change: Callable[[float], None] = lambda now: None,
    ) -> None:
        self.policy = policy
        self.on_change = on_change
        self.waiting: dict[str, MemorySendChannel[Decision]] = {}
        self.calls, self.inbox = open_memory_channel[PolicyCall](QUEUE_ITEMS)

    async def decide(self, facts: RequestFacts) -> Decision:
        """Return the policy's decision about a new request."""
        return await self._request_decision(facts.request_id, Arrive(facts))

    async def decide_again(self, request_id: str) -> Decision:
        """Return the decision about a request that no peer granted."""
        return await self._request_decision(request_id, TransferFailed(request_id))

    async def _request_decision(self, request_id: str, call: PolicyCall) -> Decision:
        reply, inbox = open_memory_channel[Decision](1)
        self.waiting[request_id] = reply
        try:
            await self.calls.send(call)
            return await inbox.receive()
        finally:
            self.waiting.pop(request_id, None)

    def finish(self, request_id: str, outcome: Outcome) -> None:
        """Tell that a started request ended; never blocks."""
        self._apply(Finish(request_id, outcome))

    def receive_load(self, report: LoadReport, now: float) -> None:
        """Tell what a peer reported; never blocks."""
        self._apply(ReceiveLoad(report))

    def cancel(self, request_id: str) -> None:
        """Tell that a request was given up; never blocks."""
        self._apply(Cancel(request_id))

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            wake_at = max(self.policy.deadline, current_time() + TIMER_STEP_S)
            with move_on_at(wake_at if wake_at < inf else inf):
                self._apply(await self.inbox.receive())
            now = current_time()
            if self.policy.deadline <= now:
                self._publish(self.policy.tick(now), now)

    def _apply(self, call: PolicyCall) -> None:
        now = current_time()
        self._publish(call.apply(self.policy, now), now)

    def _publish(self, decisions: Sequence[Decision], now: float) -> None:
        for decision in decisions:
            reply = self.waiting.get(decision.request_id)
            if reply is not None:
                reply.send_nowait(decision)
        self.on_change(now)
