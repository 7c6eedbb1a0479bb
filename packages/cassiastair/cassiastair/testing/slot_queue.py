"""A target that processes a few requests at a time and queues the others."""

from collections.abc import Callable

import eventlet
from eventlet.semaphore import Semaphore

from ..clock import Clock
from ..targets.failures import RefusedFailure


class SlotQueue:
    """Slots with a queue in order of arrival, which honours deadlines.

    Parameters
    ----------
    clock : Clock
        Source of time.
    slots : int
        Requests that are processed at the same time.
    work : callable
        Returns the seconds that a request takes in its slot.
    """

    def __init__(self, clock: Clock, slots: int, work: Callable[[], float]):
        self._clock = clock
        self._slots = Semaphore(slots)
        self._work = work

    def serve(self, deadline: float) -> bool:
        """Process a request; tell whether it was done by its deadline.

        Raises
        ------
        RefusedFailure
            If the deadline passed in the queue, so that the request did not run.
        """
        with self._slots:
            left = deadline - self._clock.now()
            if left <= 0:
                raise RefusedFailure("the deadline passed in the queue", "shed", "")
            work = self._work()
            eventlet.sleep(min(work, left))
            return work <= left
