"""Limit of the opening packets that an agent sends to a cold target.

Load pattern: many targets start at the same time, for example after a release, when a
zone returns or when the whole fleet starts.  Only the agent beside a target can count
all opening packets of that target, so the limit is applied there.
"""

from collections import deque
from math import ceil, floor, inf

from balsamtide.fleet.view import WarmUp

__all__ = ["WarmUpLimiter"]

# The bound holds in any second at the target.  Packets may be delayed between the
# agent's clock reading and the target by different times, so the agent counts longer.
WINDOW_S = 1.02


class WarmUpLimiter:
    """Counts opening packets of one target and limits them while it is cold.

    Parameters
    ----------
    factor, margin : float
        A cold target may get ``rate * factor + margin`` opening packets in any second.
    now : float
        Local time at which the agent started.  Until a second later, its predecessor
        is assumed to have used the allowance.
    """

    def __init__(self, *, factor: float, margin: float, now: float) -> None:
        self.factor = factor
        self.margin = margin
        self.first_until = now + WINDOW_S
        # Local times of the opening packets that were sent within the last window.
        self.sent_at: deque[float] = deque()
        # Local time until which the target is assumed to be cold, whatever its record.
        self.assumed_until = -inf

    def record(self, now: float) -> None:
        """Count an opening packet that is sent to the target."""
        self._forget(now)
        self.sent_at.append(now)

    def _forget(self, now: float) -> None:
        while self.sent_at and self.sent_at[0] + WINDOW_S <= now:
            self.sent_at.popleft()

    def assume_cold(self, warm_up: WarmUp, now: float) -> None:
        """Limit the target for a whole warm-up, because it may have restarted."""
        self.assumed_until = now + warm_up.lasts_s

    def _limit(self, warm_up: WarmUp) -> int:
        return floor(warm_up.rate * self.factor + self.margin)

    def _allowance(self, warm_up: WarmUp) -> int:
        """Return how many packets may be sent in any window.

        One packet less than the limit, so that a delayed one does not exceed it.
        """
        limit = self._limit(warm_up)
        return 0 if limit < 1 else max(1, min(limit - 1, ceil(warm_up.rate)))

    def _first_allowance(self, warm_up: WarmUp) -> int:
        """Return how many packets may be sent in the first window of this process."""
        allowance = self._allowance(warm_up)
        return min(allowance, self._limit(warm_up) - allowance)

    def admits_at(self, warm_up: WarmUp, ahead: int, now: float) -> float:
        """Return when the next opening packet may be sent to the cold target.

        Parameters
        ----------
        warm_up : WarmUp
            Warm-up of the target's service.
        ahead : int
            Opening packets that are sent before it.
        now : float
            Local time in seconds.

        Returns
        -------
        float
            Local time, ``now`` if it may be sent at once; infinite if none may be
            sent.  Estimated if others are sent before it.
        """
        self._forget(now)
        allowance = self._allowance(warm_up)
        if allowance < 1:
            return inf
        sent = len(self.sent_at)
        if now < self.first_until:
            free = self._first_allowance(warm_up) - sent
            if ahead < free:
                return now
            # In the next window, the packets of this one still count for a while.
            used = sent + ahead
            return self.first_until + WINDOW_S * (used // allowance)
        free = allowance - sent
        if ahead < free:
            return now
        # Each packet that leaves the window makes room for another one.
        leaving = ahead - max(0, free)
        rounds, place = divmod(leaving, allowance)
        oldest = max(0, -free) + place
        first = self.sent_at[oldest] if oldest < sent else now
        return first + WINDOW_S * (rounds + 1)
