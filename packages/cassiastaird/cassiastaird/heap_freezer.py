"""Upkeep of the heap, so that garbage collections do not stall searches.

A full collection looks at every object. The modules alone take about 28 ms, which
every request in progress waits out. Objects that stay for good are therefore taken
out of the collector's sight, at the start and whenever the configuration has grown.
"""

import gc

GROWTH = 1.25  # ratio of the objects in force at which the heap is settled again
YOUNG_OBJECTS = 20_000  # new objects before a collection of the young generation


class HeapFreezer:
    """Takes long-lived objects out of the collector's sight."""

    def __init__(self):
        self._settled_at = 0
        gc.set_threshold(YOUNG_OBJECTS, 20, 20)

    def freeze_if_grown(self, object_count: int) -> bool:
        """Settle the heap if the configuration has grown; tell whether it was done.

        Parameters
        ----------
        object_count : int
            Objects in force.
        """
        if self._settled_at and object_count < self._settled_at * GROWTH:
            return False
        self._settled_at = max(object_count, 1)
        gc.collect()
        gc.freeze()
        return True
