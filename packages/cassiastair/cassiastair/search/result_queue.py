"""Where the tasks of one search leave their results for the task that waits."""

from collections import deque

from eventlet import hubs
from greenlet import getcurrent


class ResultQueue:
    """Queue with one waiting task and a timer that is set only when it changes.

    A general queue sets a timer for each wait, which is a fifth of the processor
    time of a subrequest.
    """

    __slots__ = ("_items", "_waiter", "_timer", "_due")

    def __init__(self):
        self._items: deque = deque()
        self._waiter = None
        self._timer = None
        self._due = 0.0

    def put(self, item: object) -> None:
        """Leave an item and wake the waiting task."""
        self._items.append(item)
        self._wake()

    def get(self, due: float, now: float) -> object | None:
        """Return the next item; None if none came until some time.

        Parameters
        ----------
        due, now : float
            Monotonic times in seconds.
        """
        if self._items:
            return self._items.popleft()
        if due <= now:
            return None
        self._set_timer(due, now)
        self._waiter = getcurrent()
        try:
            hubs.get_hub().switch()
        finally:
            self._waiter = None
        return self._items.popleft() if self._items else None

    def close(self) -> None:
        """Drop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wake(self) -> None:
        """Let the waiting task run, once."""
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            hubs.get_hub().schedule_call_global(0, waiter.switch)

    def _set_timer(self, due: float, now: float) -> None:
        """Wake the waiting task at some time."""
        if self._timer is not None and self._due == due:
            return
        self.close()
        self._due = due
        self._timer = hubs.get_hub().schedule_call_global(due - now, self._expire)

    def _expire(self) -> None:
        """Take note that the timer has fired."""
        self._timer = None
        self._wake()
