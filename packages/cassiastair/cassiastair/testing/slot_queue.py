"""Queue of a target that processes a limited number of requests at a time."""

from collections.abc import Callable

import eventlet
from eventlet.semaphore import Semaphore

from ..clock import Clock
from ..targets.failures import RefusedFailure


class SlotQueue:
    """First-in, first-out queue for a number of slots; it respects deadlines.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    slots : int
        Number of requests that are processed concurrently.
    get_processing_time : callable
        Returns the seconds that a request occupies its slot.
    """

    def __init__(
        self, clock: Clock, slots: int, get_processing_time: Callable[[], float]
    ):
        self._clock = clock
        self._slots = Semaphore(slots)
        self._get_processing_time = get_processing_time

    def serve(self, deadline: float) -> bool:
        """Process a request; return True if it was finished by its deadline.

        Parameters
        ----------
        deadline : float
            Time in seconds after which processing stops.

        Raises
        ------
        RefusedFailure
            If the deadline passed while the request was queued; it did not run.
        """
        with self._slots:
            time_left = deadline - self._clock.now()
            if time_left <= 0:
                raise RefusedFailure("the deadline passed in the queue", "shed", "")
            processing_time = self._get_processing_time()
            eventlet.sleep(min(processing_time, time_left))
            return processing_time <= time_left
