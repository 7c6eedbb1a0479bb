"""Time, as a dependency that tests replace."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of time."""

    @abstractmethod
    def now(self) -> float:
        """Return the monotonic time in seconds."""


class ManualClock(Clock):
    """Clock that moves only when it is told to.

    Parameters
    ----------
    start : float
        First time that it shows, in seconds.
    """

    def __init__(self, start: float = 1000.0):
        self.time = start

    def now(self) -> float:
        """Return the time that was set."""
        return self.time

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.time += seconds
