"""Clock that also counts the time for which the machine was suspended."""

import time

from cassiastair.clock import Clock


class BootClock(Clock):
    """Time since the machine's start; deadlines pass while it is suspended."""

    def now(self) -> float:
        """Return the time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
