"""Control plane of a process: configuration, membership and their timers."""

from collections.abc import Callable, Sequence

from trio import current_time, sleep_until

from balsamtide.config.replica import ConfigurationReplica, ReplicaState
from balsamtide.membership.membership import Membership
from balsamtide.protocol.actions import Send
from balsamtide.protocol.messages import Endpoint, Message

__all__ = ["ControlLoop"]

REFRESH_PERIOD_S = 0.25
MIN_SLEEP_S = 0.001


class ControlLoop:
    """Drives membership and notifies the role of changes.

    Parameters
    ----------
    holder : ConfigurationReplica
        Holds the configuration.
    membership : Membership
        Peers and marks.
    send : callable
        Sends inner messages.
    on_change : callable
        Called with the held configuration and the current time: after each change of
        the version in force, and every 0.25 s, because marks expire.
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
        self.notified_version = -1
        self.refresh_at = 0.0

    def receive(self, message: Message, source: Endpoint, now: float) -> None:
        """Handle a message of a peer."""
        self.send(self.membership.receive(message, source=source, now=now))
        self.notify_if_due(now)

    def notify_if_due(self, now: float) -> None:
        """Notify the role if the version in force changed or a refresh is due."""
        held = self.holder.held
        if held.in_force == self.notified_version and now < self.refresh_at:
            return
        self.notified_version = held.in_force
        self.refresh_at = now + REFRESH_PERIOD_S
        self.on_change(held, now)

    async def run(self) -> None:
        """Run timers until cancelled."""
        while True:
            now = current_time()
            wake_at = min(self.membership.deadline, self.refresh_at)
            await sleep_until(max(wake_at, now + MIN_SLEEP_S))
            now = current_time()
            if self.membership.deadline <= now:
                self.send(self.membership.tick(now))
            self.notify_if_due(now)
