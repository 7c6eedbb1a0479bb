"""Clock that keeps running while the machine is suspended."""

import time

from cassiastair.clock import Clock


class BootClock(Clock):
    """Time since boot, so that deadlines pass while the machine is suspended."""

    def now(self) -> float:
        """Return the seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
