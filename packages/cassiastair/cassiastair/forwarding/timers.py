"""Timers of one request, held by the task that serves it."""

import heapq
import itertools
from collections.abc import Callable, Iterator


class Timers:
    """Actions with the times at which they are due."""

    __slots__ = ("_heap", "_order")

    def __init__(self):
        self._heap: list = []
        self._order = itertools.count()

    def add(self, due: float, action: Callable, subject: object) -> None:
        """Keep an action until some time, in seconds of the clock."""
        heapq.heappush(self._heap, (due, next(self._order), action, subject))

    def next_due(self) -> float:
        """Return the time of the first action; infinite if there is none."""
        return self._heap[0][0] if self._heap else float("inf")

    def take_due(self, now: float) -> Iterator[tuple[Callable, object]]:
        """Remove and return the actions that are due."""
        while self._heap and self._heap[0][0] <= now:
            _, _, action, subject = heapq.heappop(self._heap)
            yield action, subject
