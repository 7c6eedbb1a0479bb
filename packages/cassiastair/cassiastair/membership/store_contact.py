"""Outages of the platform's store, as this VM and its peers observe them."""

from ..clock import Clock

OUTAGE_S = 3.0  # without contact for so long, the store counts as lost


class StoreContact:
    """Last contact of this VM or one of its peers with the store.

    A VM without news can have lost its peers or the store. Only the second is an
    outage, and it needs evidence: a failed read, or a peer whose state is as old.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._contact_at = float("-inf")
        self._regained_at = float("-inf")
        self._lost = False

    def record(self, age: float) -> None:
        """Record that the store answered this VM or a peer `age` seconds ago."""
        now = self._clock.now()
        at = now - max(age, 0.0)
        if now - at > OUTAGE_S:
            self.record_failure()
        elif self._lost:
            self._regained_at = at
            self._lost = False
        self._contact_at = max(self._contact_at, at)

    def record_failure(self) -> None:
        """Record a failed read; it means an outage if nobody has had contact lately."""
        if self._clock.now() - self._contact_at > OUTAGE_S:
            self._lost = True

    @property
    def time_since_outage(self) -> float:
        """Seconds since the last outage ended; infinite if none was observed."""
        return self._clock.now() - self._regained_at
