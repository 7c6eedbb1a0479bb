"""Queue in front of one target, held at this VM and not at the target."""

from collections import deque

from eventlet.event import Event

from .limit import ConcurrencyLimit


class ConcurrencyLimiter:
    """Lets tasks through while the target's limit allows, first come first served.

    Parameters
    ----------
    limit : ConcurrencyLimit
        Bound on the tasks inside.
    """

    def __init__(self, limit: ConcurrencyLimit):
        self.limit = limit
        self.in_progress = 0
        self._waiting: deque[Event] = deque()

    @property
    def queued(self) -> int:
        """Tasks that wait."""
        return len(self._waiting)

    def acquire(self) -> None:
        """Wait for a place; a killed task leaves the queue."""
        if not self._waiting and self.in_progress < self.limit.current:
            self.in_progress += 1
            return
        event = Event()
        self._waiting.append(event)
        try:
            event.wait()
        except BaseException:
            self._give_up(event)
            raise

    def _give_up(self, event: Event) -> None:
        """Leave the queue, or pass on a place that was just granted."""
        if event.ready():
            self.release()
        else:
            self._waiting.remove(event)

    def release(self) -> None:
        """Give the place back and let waiting tasks in."""
        self.in_progress -= 1
        while self._waiting and self.in_progress < self.limit.current:
            self.in_progress += 1
            self._waiting.popleft().send(None)
