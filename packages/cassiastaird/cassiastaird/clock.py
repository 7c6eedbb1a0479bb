"""The system's monotonic clock."""

import time

from cassiastair.clock import Clock


class MonotonicClock(Clock):
    """Monotonic clock; it goes on while the process is paused."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()
