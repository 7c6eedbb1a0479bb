"""Limiter of concurrent requests to one target.

Requests above the limit queue at this VM, where they can still be sent elsewhere, and
not at the target.
"""

from collections import deque

from eventlet.event import Event

from .limit import ConcurrencyLimit


class ConcurrencyLimiter:
    """Admits requests up to a limit, in the order of their arrival.

    Parameters
    ----------
    limit : ConcurrencyLimit
        Limit of concurrent requests; it may change at any time.

    Attributes
    ----------
    in_progress : int
        Requests that were admitted and not released.
    """

    def __init__(self, limit: ConcurrencyLimit):
        self.limit = limit
        self.in_progress = 0
        self._queue: deque[Event] = deque()

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    def acquire(self) -> None:
        """Wait for a slot; a greenlet that is killed meanwhile leaves the queue."""
        if not self._queue and self.in_progress < self.limit.current:
            self.in_progress += 1
            return
        admitted = Event()
        self._queue.append(admitted)
        try:
            admitted.wait()
        except BaseException:
            self._leave_queue(admitted)
            raise

    def _leave_queue(self, admitted: Event) -> None:
        """Remove a waiting request, or release its slot if it was just admitted."""
        if admitted.ready():
            self.release()
        else:
            self._queue.remove(admitted)

    def release(self) -> None:
        """Release a slot and admit waiting requests."""
        self.in_progress -= 1
        while self._queue and self.in_progress < self.limit.current:
            self.in_progress += 1
            self._queue.popleft().send(None)
