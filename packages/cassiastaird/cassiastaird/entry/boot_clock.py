"""Clock that keeps running while the machine is suspended."""

import time
from functools import partial

from cassiastair.clock import Clock


class BootClock(Clock):
    """Time since boot, so that deadlines pass while the machine is suspended.

    Attributes
    ----------
    now : callable
        Returns the seconds since the machine booted. Not a method of Python, since it
        is called several times for each send.
    """

    now = staticmethod(partial(time.clock_gettime, time.CLOCK_BOOTTIME))
