"""How many requests this VM keeps in progress at one target."""

from abc import ABC, abstractmethod

SHED_FACTOR = 0.7
UNCROWDED = 1.5  # average over best latency below which a target has room
CROWDED = 2.5  # the same above which it queues
STEP_DOWN = 0.1


class ConcurrencyLimit(ABC):
    """Bound on the requests in progress at one target.

    Attributes
    ----------
    current : int
        Requests that may be in progress now, at least one.
    """

    current: int

    @abstractmethod
    def record_success(self, in_flight: int, latency_ratio: float) -> None:
        """Take note of an answer.

        Parameters
        ----------
        in_flight : int
            Requests that were in progress from this VM.
        latency_ratio : float
            Average latency of the target over its best one.
        """

    @abstractmethod
    def record_shed(self) -> None:
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

    def record_success(self, in_flight: int, latency_ratio: float) -> None:
        """Take no note."""

    def record_shed(self) -> None:
        """Take no note."""


class AdaptiveLimit(ConcurrencyLimit):
    """A limit that follows the target's latency and refusals.

    It grows while it is in use and the target is as fast as ever, and falls when
    the target queues, so that work waits here, where it can be hedged and taken
    back, and not at the target. Unused, it goes back to its start.

    Parameters
    ----------
    start : int
        First limit, such as this VM's share of the slots.
    ceiling : int
        Highest limit, this VM's share of the connections.
    """

    def __init__(self, start: int, ceiling: int):
        self._start = float(max(1, start))
        self._ceiling = max(1, ceiling)
        self._set(self._start)

    def _set(self, limit: float) -> None:
        """Set the limit, between one and the ceiling."""
        self._limit = min(max(1.0, limit), float(self._ceiling))
        self.current = int(self._limit)

    def set_ceiling(self, ceiling: int) -> None:
        """Change the highest limit when the number of VMs changes."""
        self._ceiling = max(1, ceiling)
        self._set(self._limit)

    def record_success(self, in_flight: int, latency_ratio: float) -> None:
        """Grow by one for each round of answers that used the whole limit."""
        if latency_ratio > CROWDED:
            self._set(self._limit - STEP_DOWN)
        elif in_flight + 1 >= self.current:
            if latency_ratio < UNCROWDED:
                self._set(self._limit + 1.0 / self._limit)
        elif self._limit > self._start:
            self._set(max(self._start, self._limit - STEP_DOWN))

    def record_shed(self) -> None:
        """Fall by a factor."""
        self._set(self._limit * SHED_FACTOR)

    def restart(self) -> None:
        """Start low again, as for a cold target."""
        self._set(1.0)
