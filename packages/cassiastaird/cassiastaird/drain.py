"""Graceful shutdown, in which requests in progress finish."""

from collections.abc import Callable
from contextlib import contextmanager

from cassiastair.clock import Clock

POLL_INTERVAL_S = 0.02


class Drain:
    """Counts requests in progress and holds the phase of a shutdown.

    Attributes
    ----------
    draining : bool
        Whether the VM is no longer ready. It still accepts requests until the load
        balancer has noticed.
    refusing : bool
        Whether new requests are refused.
    in_progress : int
        Number of requests in progress.
    """

    def __init__(self):
        self.draining = False
        self.refusing = False
        self.in_progress = 0

    @contextmanager
    def track_request(self):
        """Return a context manager that counts a request as in progress."""
        self.in_progress += 1
        try:
            yield
        finally:
            self.in_progress -= 1

    def run(
        self,
        clock: Clock,
        sleep: Callable[[float], None],
        lag_s: float,
        hard_stop_s: float,
    ) -> bool:
        """Drain; return True if all requests ended before the hard stop.

        Parameters
        ----------
        clock : Clock
            Source of time.
        sleep : callable
            Lets other tasks run for a number of seconds.
        lag_s : float
            Seconds for which the load balancer may still send requests.
        hard_stop_s : float
            Seconds after the start at which requests in progress are abandoned.
        """
        started_at = clock.now()
        self.draining = True
        sleep(lag_s)
        self.refusing = True
        while self.in_progress:
            if clock.now() - started_at > hard_stop_s:
                return False
            sleep(POLL_INTERVAL_S)
        return True
