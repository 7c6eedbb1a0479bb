"""Queue that passes results from the greenlets of one search to its main greenlet."""

from collections import deque

from eventlet import hubs
from greenlet import getcurrent


class ResultQueue:
    """Queue with one consumer, which keeps its timer between waits.

    `eventlet.queue.Queue` sets a timer for each wait, which takes a fifth of the
    processor time of a subrequest. This queue sets a new one only when the time of
    the timeout changes.
    """

    __slots__ = ("_items", "_waiter", "_timer", "_timer_due_at")

    def __init__(self):
        self._items: deque = deque()
        self._waiter = None
        self._timer = None
        self._timer_due_at = 0.0

    def put(self, item: object) -> None:
        """Append an item and wake the consumer."""
        self._items.append(item)
        self._wake_waiter()

    def get(self, due_at: float, now: float) -> object | None:
        """Return the next item; None if there is none before the timeout.

        Parameters
        ----------
        due_at : float
            Monotonic time in seconds at which the wait times out.
        now : float
            Present monotonic time in seconds.
        """
        if self._items:
            return self._items.popleft()
        if due_at <= now:
            return None
        self._set_timer(due_at, now)
        self._waiter = getcurrent()
        try:
            hubs.get_hub().switch()
        finally:
            self._waiter = None
        return self._items.popleft() if self._items else None

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def wake(self) -> None:
        """End the consumer's wait, as at a timeout."""
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        """Schedule the consumer once, if it waits."""
        if self._waiter is not None:
            waiter, self._waiter = self._waiter, None
            hubs.get_hub().schedule_call_global(0, waiter.switch)

    def _set_timer(self, due_at: float, now: float) -> None:
        """Set the timer that wakes the consumer, unless it has this time already."""
        if self._timer is not None and self._timer_due_at == due_at:
            return
        self.close()
        self._timer_due_at = due_at
        self._timer = hubs.get_hub().schedule_call_global(due_at - now, self._on_timer)

    def _on_timer(self) -> None:
        """Clear the fired timer and wake the consumer."""
        self._timer = None
        self._wake_waiter()
