"""Clock of the daemon, independent of changes to the wall time."""

import time

from cassiastair.clock import Clock


class MonotonicClock(Clock):
    """Clock based on `time.monotonic`, which advances while the process is paused."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()
