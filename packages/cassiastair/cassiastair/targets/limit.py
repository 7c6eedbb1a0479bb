"""How many requests this VM keeps in progress at one target."""

from abc import ABC, abstractmethod

SHED_FACTOR = 0.7


class ConcurrencyLimit(ABC):
    """Bound on the requests in progress at one target.

    Attributes
    ----------
    current : int
        Requests that may be in progress now, at least one.
    """

    current: int

    @abstractmethod
    def succeeded(self, in_flight: int) -> None:
        """Take note of an answer that came while so many were in progress."""

    @abstractmethod
    def refused(self) -> None:
        """Take note that the target shed a request."""


class FixedLimit(ConcurrencyLimit):
    """Baseline: a limit that does not move.

    Parameters
    ----------
    limit : int
        Requests in progress.
    """

    def __init__(self, limit: int):
        self.current = limit

    def succeeded(self, in_flight: int) -> None:
        """Take no note."""

    def refused(self) -> None:
        """Take no note."""


class AdaptiveLimit(ConcurrencyLimit):
    """A limit that grows with answers while it is in use and falls with refusals.

    A cold target starts low, which ramps its load up.

    Parameters
    ----------
    start : int
        First limit, such as this VM's share of the slots.
    ceiling : int
        Highest limit, this VM's share of the connections.
    """

    def __init__(self, start: int, ceiling: int):
        self._ceiling = max(1, ceiling)
        self._set(float(max(1, start)))

    def _set(self, limit: float) -> None:
        """Set the limit, between one and the ceiling."""
        self._limit = min(max(1.0, limit), float(self._ceiling))
        self.current = int(self._limit)

    def set_ceiling(self, ceiling: int) -> None:
        """Change the highest limit when the number of VMs changes."""
        self._ceiling = max(1, ceiling)
        self._set(self._limit)

    def succeeded(self, in_flight: int) -> None:
        """Grow by one for each round of answers that used the whole limit."""
        if in_flight + 1 >= self.current:
            self._set(self._limit + 1.0 / self._limit)

    def refused(self) -> None:
        """Fall by a factor."""
        self._set(self._limit * SHED_FACTOR)

    def restart(self) -> None:
        """Start low again, as for a cold target."""
        self._set(1.0)
