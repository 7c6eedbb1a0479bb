"""Whether the store's word can be trusted to be complete."""

from ..clock import Clock

RECENT_S = 2.0  # the platform's bound on the return of entries lost in an outage
REPORT_S = 3.0  # time for which a peer's report of a failing store counts


class StoreDoubt:
    """Knows whether the store fails, for this VM or for a peer that said so.

    Entries lapse while targets cannot reach the store, and a VM that is served all
    the while cannot see that. A peer that is not served can tell it.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self.failing = False
        self._last_at = float("-inf")
        self._reported_at = float("-inf")

    def note_failure(self) -> None:
        """Take note that a call failed."""
        self.failing = True

    def note_success(self) -> None:
        """Take note that a call succeeded."""
        if self.failing:
            self.failing = False
            self._last_at = self._clock.now()

    def note_report(self) -> None:
        """Take a peer's word that the store fails for it."""
        self._reported_at = self._clock.now()

    def is_present(self) -> bool:
        """Tell whether the store fails now, for this VM or a peer."""
        return self.failing or self._clock.now() - self._reported_at < REPORT_S

    def is_recent(self) -> bool:
        """Tell whether the store fails, or failed a moment ago."""
        return self.is_present() or self._clock.now() - self._last_at < RECENT_S
