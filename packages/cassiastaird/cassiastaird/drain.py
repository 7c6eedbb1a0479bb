"""Graceful shutdown: nothing new, everything in progress to its end."""

from collections.abc import Callable
from contextlib import contextmanager

from cassiastair.clock import Clock

POLL_S = 0.02


class Drain:
    """Counts requests in progress and knows whether the daemon is stopping.

    Attributes
    ----------
    draining : bool
        Not ready any more; work is still taken while the balancer's lag lasts.
    refusing : bool
        No new work is taken.
    in_progress : int
        Requests in progress.
    """

    def __init__(self):
        self.draining = False
        self.refusing = False
        self.in_progress = 0

    @contextmanager
    def track_request(self):
        """Count a request while it is in progress."""
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
        """Drain; tell whether all requests ended before the hard stop.

        Parameters
        ----------
        clock : Clock
            Source of time.
        sleep : callable
            Lets other tasks run for some seconds.
        lag_s : float
            Seconds for which the balancer may still send work.
        hard_stop_s : float
            Seconds after which requests in progress are given up.
        """
        started = clock.now()
        self.draining = True
        sleep(lag_s)
        self.refusing = True
        while self.in_progress:
            if clock.now() - started > hard_stop_s:
                return False
            sleep(POLL_S)
        return True
