"""Quantiles of recent latencies in constant memory and time."""

import math

from ..clock import Clock

LOWEST_S = 0.0002  # upper bound of the first bucket
GROWTH = 1.1  # ratio of neighbouring buckets, the relative error of a quantile
BUCKETS = 120  # up to about 18 seconds
WINDOW_S = 5.0  # a quantile covers one to two windows
FEWEST = 50  # samples below which no quantile is given
LOG_GROWTH = math.log(GROWTH)


class RollingQuantile:
    """Logarithmic histogram over the last one to two windows of time.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._current = [0] * BUCKETS
        self._previous = [0] * BUCKETS
        self._started = clock.now()
        self._cached: dict[float, float | None] = {}
        self._cache_age = 0

    def observe(self, latency: float) -> None:
        """Add a latency in seconds."""
        self._rotate()
        self._current[locate_bucket(latency)] += 1
        self._cache_age += 1
        if self._cache_age >= FEWEST:
            self._forget_cache()

    def find(self, quantile: float) -> float | None:
        """Return a quantile in seconds; None while there are too few samples."""
        self._rotate()
        if quantile not in self._cached:
            self._cached[quantile] = self._compute(quantile)
        return self._cached[quantile]

    def _compute(self, quantile: float) -> float | None:
        """Return a quantile of both windows."""
        counts = [a + b for a, b in zip(self._current, self._previous, strict=True)]
        total = sum(counts)
        if total < FEWEST:
            return None
        wanted = quantile * total
        seen = 0
        for bucket, count in enumerate(counts):
            seen += count
            if seen >= wanted:
                return LOWEST_S * GROWTH**bucket
        return LOWEST_S * GROWTH ** (BUCKETS - 1)

    def _rotate(self) -> None:
        """Start a new window when the current one is over."""
        now = self._clock.now()
        if now - self._started < WINDOW_S:
            return
        idle = now - self._started >= 2 * WINDOW_S
        self._previous = [0] * BUCKETS if idle else self._current
        self._current = [0] * BUCKETS
        self._started = now
        self._forget_cache()

    def _forget_cache(self) -> None:
        """Let the next question compute anew."""
        self._cached.clear()
        self._cache_age = 0


def locate_bucket(latency: float) -> int:
    """Return the bucket of a latency in seconds."""
    if latency <= LOWEST_S:
        return 0
    return min(BUCKETS - 1, math.ceil(math.log(latency / LOWEST_S) / LOG_GROWTH))
