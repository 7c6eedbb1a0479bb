"""Limits of the concurrent requests of this VM to one target."""

from abc import ABC, abstractmethod

SHRINK_FACTOR_ON_SHED = 0.7  # applied when the target sheds a request
GROW_BELOW_RATIO = 1.5  # average / best latency below which the limit may grow
SHRINK_ABOVE_RATIO = 2.5  # the same ratio above which requests queue at the target
SHRINK_STEP = 0.1  # decrease of the limit at an answer


class ConcurrencyLimit(ABC):
    """Limit of the requests in progress at one target.

    Attributes
    ----------
    current : int
        Present limit, at least 1.
    """

    current: int

    @abstractmethod
    def record_success(self, in_flight: int, latency_ratio: float) -> None:
        """Record an answer.

        Parameters
        ----------
        in_flight : int
            Requests of this VM in progress when the answer arrived.
        latency_ratio : float
            Moving average of the target's latency divided by its best latency.
        """

    @abstractmethod
    def record_shed(self) -> None:
        """Record that the target shed a request."""


class FixedLimit(ConcurrencyLimit):
    """Baseline with a constant limit.

    Parameters
    ----------
    limit : int
        Highest number of requests in progress.
    """

    def __init__(self, limit: int):
        self.current = limit

    def record_success(self, in_flight: int, latency_ratio: float) -> None:
        """Do nothing, since the limit is constant."""

    def record_shed(self) -> None:
        """Do nothing, since the limit is constant."""


class AdaptiveLimit(ConcurrencyLimit):
    """Limit that follows the latency and the refusals of the target.

    It grows while it is used up and the latency stays near the best one. It shrinks
    when requests queue at the target, so that they wait at this VM instead, where
    they can be hedged and cancelled. If it is not used up, it falls back to its
    initial value.

    Parameters
    ----------
    start : int
        Initial limit, such as a multiple of this VM's share of the target's slots.
    ceiling : int
        Highest limit: this VM's share of the target's connections.
    """

    def __init__(self, start: int, ceiling: int):
        self._start = float(max(1, start))
        self._ceiling = max(1, ceiling)
        self._set(self._start)

    def _set(self, limit: float) -> None:
        """Set the limit, clamped to the range from 1 to the ceiling."""
        self._limit = min(max(1.0, limit), float(self._ceiling))
        self.current = int(self._limit)

    def set_ceiling(self, ceiling: int) -> None:
        """Change the highest limit, and lower the present limit to it if needed."""
        self._ceiling = max(1, ceiling)
        self._set(self._limit)

    def record_success(self, in_flight: int, latency_ratio: float) -> None:
        """Adjust the limit after an answer.

        While the whole limit is in use, each answer raises it by 1 / limit, so that it
        grows by about one per round of answers.
        """
        if latency_ratio > SHRINK_ABOVE_RATIO:
            self._set(self._limit - SHRINK_STEP)
        elif in_flight + 1 >= self.current:
            if latency_ratio < GROW_BELOW_RATIO:
                self._set(self._limit + 1.0 / self._limit)
        elif self._limit > self._start:
            self._set(max(self._start, self._limit - SHRINK_STEP))

    def record_shed(self) -> None:
        """Shrink by a constant factor."""
        self._set(self._limit * SHRINK_FACTOR_ON_SHED)

    def reset_to_lowest(self) -> None:
        """Set the limit to 1, since a target that comes back starts cold."""
        self._set(1.0)
