"""Age of the platform's last confirmation, without a common clock."""

from ..clock import Clock


class Freshness:
    """Age of the newest confirmation that this VM's state is the platform's.

    The state is confirmed by a read of the platform, or by a peer with the same state.
    Peers send ages instead of times of day, so clocks need not agree. An age does not
    include the time for which messages were on their way.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._confirmed_at: float | None = None

    def record(self, age: float) -> None:
        """Record a confirmation; one that is older than the known one is ignored.

        Parameters
        ----------
        age : float
            Seconds since the confirmation; a negative age counts as zero.
        """
        confirmed_at = self._clock.now() - max(age, 0.0)
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    @property
    def age(self) -> float:
        """Seconds since the newest confirmation; infinite before the first."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock.now() - self._confirmed_at
