"""Trio clock that counts suspensions of the machine."""

from trio.abc import Clock

from balsamtide.clock import boot_time

__all__ = ["BootTimeClock"]


class BootTimeClock(Clock):
    """Clock that gives trio the same time as `boot_time`.

    Code that runs without trio reads that clock as well.
    """

    def start_clock(self) -> None:
        """Do nothing: the clock runs already."""

    def current_time(self) -> float:
        """Return the time since the boot, seconds."""
        return boot_time()

    def deadline_to_sleep_time(self, deadline: float) -> float:
        """Return the time until ``deadline``, seconds."""
        return deadline - boot_time()
