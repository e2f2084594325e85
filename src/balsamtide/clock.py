"""Clock of all deadlines, leases and ages."""

from time import clock_gettime, monotonic

__all__ = ["boot_time"]

try:
    from time import CLOCK_BOOTTIME
except ImportError:
    # Systems without this clock count a suspension in their monotonic clock.
    boot_time = monotonic
else:

    def boot_time() -> float:
        """Return the time since the boot, seconds, including suspensions.

        On Linux the monotonic clock stands still while a machine is suspended, so that
        a process that wakes would take its leases and its view for current.
        """
        return clock_gettime(CLOCK_BOOTTIME)
