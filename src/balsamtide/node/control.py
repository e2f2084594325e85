"""The control side of a process: configuration, membership and their timers."""

from collections.abc import Callable, Sequence

from trio import current_time, sleep_until

from balsamtide.config.replica import ConfigurationReplica, ReplicaState
from balsamtide.membership.membership import Membership
from balsamtide.protocol.actions import Send
from balsamtide.protocol.messages import Endpoint, Message

__all__ = ["Control"]

REFRESH_PERIOD_S = 0.25
TIMER_STEP_S = 0.001


class Control:
    """Drives membership and tells the role when something changed.

    Parameters
    ----------
    holder : ConfigurationReplica
        The configuration.
    membership : Membership
        Peers and marks.
    send : callable
        Sends inner messages.
    on_change : callable
        Called with the held configuration and the time whenever the version in
        force is another one, and once in a refresh period, since marks expire.
    """

    def __init__(
        self,
        *,
        holder: ConfigurationReplica,
        membership: Membership,
        send: Callable[[Sequence[Send]], None],
        on_change: Callable[[ReplicaState, float], None],
    ) -> None:
        self.holder = holder
        self.membership = membership
        self.send = send
        self.on_change = on_change
        self.seen_in_force = -1
        self.refresh_at = 0.0

    def receive(self, message: Message, source: Endpoint, now: float) -> None:
        """Take a message of a peer."""
        self.send(self.membership.receive(message, source=source, now=now))
        self.check(now)

    def check(self, now: float) -> None:
        """Tell the role if the version in force changed or a refresh is due."""
        held = self.holder.held
        if held.in_force == self.seen_in_force and now < self.refresh_at:
            return
        self.seen_in_force = held.in_force
        self.refresh_at = now + REFRESH_PERIOD_S
        self.on_change(held, now)

    async def run(self) -> None:
        """Handle timers until cancelled."""
        while True:
            now = current_time()
            wake_at = min(self.membership.deadline, self.refresh_at)
            await sleep_until(max(wake_at, now + TIMER_STEP_S))
            now = current_time()
            if self.membership.deadline <= now:
                self.send(self.membership.tick(now))
            self.check(now)
