"""Detection of pauses of the process, after which its beliefs are stale."""

from .clock import Clock

PAUSE_THRESHOLD_S = 1.5  # gap between ticks that counts as a pause
STALE_TIMEOUT_S = 3.0  # time without contact after which beliefs count as fresh


class PauseDetector:
    """Notices that the process did not run for a while.

    `check` is called by a regular tick and again just before each non-idempotent
    dispatch, because on waking the dispatch may run before the tick. A VM that is cut
    off from everybody has nobody to confirm its beliefs; after some seconds it goes on
    with what it knows, as any VM does that is cut off.

    Parameters
    ----------
    clock : Clock
        Monotonic clock that goes on while the process is paused.
    limit : float
        Gap in seconds that counts as a pause.
    """

    def __init__(self, clock: Clock, limit: float = PAUSE_THRESHOLD_S):
        self._clock = clock
        self._limit = limit
        self._last = clock.now()
        self._stale_since: float | None = None
        self.pause_count = 0

    def check(self) -> bool:
        """Look at the clock; tell whether beliefs are stale."""
        now = self._clock.now()
        if now - self._last > self._limit:
            self._stale_since = now
            self.pause_count += 1
        elif (
            self._stale_since is not None and now - self._stale_since > STALE_TIMEOUT_S
        ):
            self._stale_since = None
        self._last = now
        return self.stale

    @property
    def stale(self) -> bool:
        """Whether a pause was seen and nothing has confirmed the beliefs since."""
        return self._stale_since is not None

    def record_contact(self) -> None:
        """Take word, from a peer or the platform, that came after the pause."""
        self._stale_since = None
