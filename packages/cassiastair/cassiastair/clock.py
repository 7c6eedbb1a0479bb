"""Interface of the clock, which tests replace by one that they control."""

from abc import ABC, abstractmethod


class Clock(ABC):
    """Monotonic clock."""

    @abstractmethod
    def now(self) -> float:
        """Return the monotonic time in seconds."""


class ManualClock(Clock):
    """Clock for tests, which advances only on demand.

    Parameters
    ----------
    start : float
        Initial time in seconds.
    """

    def __init__(self, start: float = 1000.0):
        self.time = start

    def now(self) -> float:
        """Return the present time of the clock in seconds."""
        return self.time

    def advance(self, seconds: float) -> None:
        """Advance the clock by some seconds."""
        self.time += seconds
