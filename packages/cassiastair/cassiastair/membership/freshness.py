"""How long ago the platform confirmed what is known, without a common clock."""

from ..clock import Clock


class Freshness:
    """Age of the newest word from the platform, direct or through peers.

    Peers pass on ages, not times of day, so clocks need not agree; the age lacks
    only the time of the messages' travel.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._heard_at: float | None = None

    def record(self, age: float) -> None:
        """Take word of the platform that is some seconds old."""
        heard_at = self._clock.now() - max(age, 0.0)
        if self._heard_at is None or heard_at > self._heard_at:
            self._heard_at = heard_at

    @property
    def age(self) -> float:
        """Age in seconds; infinite if there never was any word."""
        if self._heard_at is None:
            return float("inf")
        return self._clock.now() - self._heard_at
