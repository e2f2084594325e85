"""Task that passes requests to the admission policy and returns its decisions.

Calls that wait for a decision are queued for this task; outcomes, cancellations and
load reports are applied at once in the task that reports them.
"""

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
    """Call to the admission policy."""

    def apply(self, policy: AdmissionPolicy, now: float) -> Sequence[Decision]:
        """Apply the call and return the resulting decisions."""


@dataclass(frozen=True, slots=True)
class Arrive:
    """A request of a caller arrived."""

    facts: RequestFacts

    def apply(self, policy: AdmissionPolicy, now: float) -> Sequence[Decision]:
        """Apply the call and return the resulting decisions."""
        return policy.arrive(self.facts, now)


@dataclass(frozen=True, slots=True)
class Finish:
    """A request that this agent started has ended."""

    request_id: str
    outcome: Outcome

    def apply(self, policy: AdmissionPolicy, now: float) -> Sequence[Decision]:
        """Apply the call and return the resulting decisions."""
        return policy.finish(self.request_id, self.outcome, now)


@dataclass(frozen=True, slots=True)
class Cancel:
    """A request was cancelled."""

    request_id: str

    def apply(self, policy: AdmissionPolicy, now: float) -> Sequence[Decision]:
        """Apply the call and return the resulting decisions."""
        return policy.cancel(self.request_id, now)


@dataclass(frozen=True, slots=True)
class TransferFailed:
    """No peer ran a request."""

    request_id: str

    def apply(self, policy: AdmissionPolicy, now: float) -> Sequence[Decision]:
        """Apply the call and return the resulting decisions."""
        return policy.transfer_failed(self.request_id, now)


@dataclass(frozen=True, slots=True)
class ReceiveLoad:
    """A peer reported its load."""

    report: LoadReport

    def apply(self, policy: AdmissionPolicy, now: float) -> Sequence[Decision]:
        """Apply the call and return the resulting decisions."""
        return policy.receive(self.report, now)


class Dispatcher:
    """Passes calls to the policy and its decisions to waiting requests.

    Parameters
    ----------
    policy : AdmissionPolicy
        Admission policy of the agent; other components may call it too.
    after_call : callable
        Called with the current time after each call to the policy, whether
        or not anything changed.
    """

    def __init__(
        self,
        policy: AdmissionPolicy,
        *,
        after_call: Callable[[float], None] = lambda now: None,
    ) -> None:
        self.policy = policy
        self.after_call = after_call
        self.reply_channels: dict[str, MemorySendChannel[Decision]] = {}
        self.calls, self.inbox = open_memory_channel[PolicyCall](QUEUE_ITEMS)

    async def decide(self, facts: RequestFacts) -> Decision:
        """Wait for the policy's decision about a new request."""
        return await self._request_decision(facts.request_id, Arrive(facts))

    async def decide_again(self, request_id: str) -> Decision:
        """Wait for the decision about a request that no peer ran."""
        return await self._request_decision(request_id, TransferFailed(request_id))

    async def _request_decision(self, request_id: str, call: PolicyCall) -> Decision:
        reply, inbox = open_memory_channel[Decision](1)
        self.reply_channels[request_id] = reply
        try:
            await self.calls.send(call)
            return await inbox.receive()
        finally:
            self.reply_channels.pop(request_id, None)

    def finish(self, request_id: str, outcome: Outcome) -> None:
        """Report the outcome of a started request without blocking."""
        self._apply(Finish(request_id, outcome))

    def receive_load(self, report: LoadReport, now: float) -> None:
        """Report the load of a peer without blocking."""
        self._apply(ReceiveLoad(report))

    def cancel(self, request_id: str) -> None:
        """Report that a request was cancelled, without blocking."""
        self._apply(Cancel(request_id))

    async def run(self) -> None:
        """Process calls and timers until cancelled."""
        while True:
            # A deadline in the past would cancel ``receive`` before it reads anything.
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
            reply = self.reply_channels.get(decision.request_id)
            if reply is not None:
                reply.send_nowait(decision)
        self.after_call(now)
