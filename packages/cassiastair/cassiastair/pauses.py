"""Detection of pauses of the process, after which its view of other VMs is stale."""

from .clock import Clock

PAUSE_THRESHOLD_S = 1.5  # gap between ticks that counts as a pause
STALE_TIMEOUT_S = 3.0  # after it, a VM without contact counts as up to date again


class PauseDetector:
    """Detects that the process was paused, so that its state may be outdated.

    `check` is called at regular ticks and again just before each non-idempotent
    request is sent, since after a pause the request may be sent before the next tick.

    The state counts as stale until a message from a peer or the platform arrives. A VM
    that is cut off from all of them stops being stale after `STALE_TIMEOUT_S` and
    continues with the state that it has, as it would without a pause.

    Parameters
    ----------
    clock : Clock
        Monotonic clock that advances while the process is paused.
    threshold : float
        Gap between two checks, in seconds, above which the process was paused.

    Attributes
    ----------
    pause_count : int
        Number of pauses detected so far.
    """

    def __init__(self, clock: Clock, threshold: float = PAUSE_THRESHOLD_S):
        self._clock = clock
        self._threshold = threshold
        self._checked_at = clock.now()
        self._stale_since: float | None = None
        self.pause_count = 0

    def check(self) -> bool:
        """Compare the clock with the last check; return True if the state is stale."""
        now = self._clock.now()
        if now - self._checked_at > self._threshold:
            self._stale_since = now
            self.pause_count += 1
        elif (
            self._stale_since is not None and now - self._stale_since > STALE_TIMEOUT_S
        ):
            self._stale_since = None
        self._checked_at = now
        return self.is_stale

    @property
    def is_stale(self) -> bool:
        """Whether there was no contact since the last pause, within the timeout."""
        return self._stale_since is not None

    def record_contact(self) -> None:
        """Record contact with a peer or the platform, which ends the stale state."""
        self._stale_since = None
