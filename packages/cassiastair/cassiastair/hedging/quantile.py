"""Quantiles of recent latencies in constant memory and constant time."""

import math

from ..clock import Clock

FIRST_BUCKET_S = 0.0002  # upper bound of the first bucket
GROWTH = 1.1  # ratio of neighbouring bounds; quantiles are at most 10 % too high
BUCKETS = 120  # covers latencies up to about 18 seconds
WINDOW_S = 5.0  # a quantile covers the last one to two windows
MIN_SAMPLES = 50  # fewer latencies give no quantile
LOG_GROWTH = math.log(GROWTH)


class RollingQuantile:
    """Quantiles from a histogram with logarithmic buckets.

    The histogram covers the current window of time and the one before.
    Computed quantiles are cached until the window ends or `MIN_SAMPLES` further
    latencies are observed.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._current = [0] * BUCKETS
        self._previous = [0] * BUCKETS
        self._window_started_at = clock.now()
        self._cached: dict[float, float | None] = {}
        self._samples_since_clear = 0

    def observe(self, latency: float) -> None:
        """Add a latency in seconds."""
        self._rotate()
        self._current[locate_bucket(latency)] += 1
        self._samples_since_clear += 1
        if self._samples_since_clear >= MIN_SAMPLES:
            self._clear_cache()

    def find(self, quantile: float) -> float | None:
        """Return a quantile in seconds; None if there are too few latencies."""
        self._rotate()
        if quantile not in self._cached:
            self._cached[quantile] = self._compute(quantile)
        return self._cached[quantile]

    def _compute(self, quantile: float) -> float | None:
        """Compute a quantile from both windows."""
        counts = [a + b for a, b in zip(self._current, self._previous, strict=True)]
        total = sum(counts)
        if total < MIN_SAMPLES:
            return None
        rank = quantile * total
        cumulative = 0
        for bucket, count in enumerate(counts):
            cumulative += count
            if cumulative >= rank:
                return FIRST_BUCKET_S * GROWTH**bucket
        return FIRST_BUCKET_S * GROWTH ** (BUCKETS - 1)

    def _rotate(self) -> None:
        """Start a new window if the current one has ended."""
        now = self._clock.now()
        if now - self._window_started_at < WINDOW_S:
            return
        idle = now - self._window_started_at >= 2 * WINDOW_S
        self._previous = [0] * BUCKETS if idle else self._current
        self._current = [0] * BUCKETS
        self._window_started_at = now
        self._clear_cache()

    def _clear_cache(self) -> None:
        """Discard the cached quantiles."""
        self._cached.clear()
        self._samples_since_clear = 0


def locate_bucket(latency: float) -> int:
    """Return the index of the bucket that holds a latency, given in seconds."""
    if latency <= FIRST_BUCKET_S:
        return 0
    return min(BUCKETS - 1, math.ceil(math.log(latency / FIRST_BUCKET_S) / LOG_GROWTH))
