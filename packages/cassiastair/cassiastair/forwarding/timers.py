"""Timers of one request.

The task that serves the request polls them, so they need no tasks of their own.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator


class Timers:
    """Priority queue of actions, ordered by the times at which they are due."""

    __slots__ = ("_heap", "_order")

    def __init__(self):
        self._heap: list = []
        self._order = itertools.count()

    def add(self, due: float, action: Callable, argument: object) -> None:
        """Schedule an action.

        Parameters
        ----------
        due : float
            Time in seconds of the clock.
        action : callable
            Action to run.
        argument : object
            Argument of the action.
        """
        heapq.heappush(self._heap, (due, next(self._order), action, argument))

    def clear(self) -> None:
        """Remove all actions, which refer to the request that they belong to."""
        self._heap.clear()

    def next_due(self) -> float:
        """Return the time of the next action, infinity if there is none."""
        return self._heap[0][0] if self._heap else float("inf")

    def pop_due(self, now: float) -> Iterator[tuple[Callable, object]]:
        """Remove the actions that are due and yield them with their arguments."""
        while self._heap and self._heap[0][0] <= now:
            _, _, action, argument = heapq.heappop(self._heap)
            yield action, argument
