"""Queue in front of one target, held at this VM and not at the target."""

from collections import deque

from eventlet.event import Event

from .limit import ConcurrencyLimit


class Gate:
    """Lets tasks through while the target's limit allows, first come first served.

    Parameters
    ----------
    limit : ConcurrencyLimit
        Bound on the tasks inside.
    """

    def __init__(self, limit: ConcurrencyLimit):
        self.limit = limit
        self.inside = 0
        self._waiting: deque[Event] = deque()

    @property
    def queued(self) -> int:
        """Tasks that wait."""
        return len(self._waiting)

    def enter(self) -> None:
        """Wait for a place; a killed task leaves the queue."""
        if not self._waiting and self.inside < self.limit.current:
            self.inside += 1
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
            self.leave()
        else:
            self._waiting.remove(event)

    def leave(self) -> None:
        """Give the place back and let waiting tasks in."""
        self.inside -= 1
        while self._waiting and self.inside < self.limit.current:
            self.inside += 1
            self._waiting.popleft().send(None)
