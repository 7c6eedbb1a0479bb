"""Freezing of long-lived objects, so that garbage collections do not delay searches.

A full collection traverses every tracked object. The modules alone take about 28 ms,
for which every request in progress is delayed. Long-lived objects are therefore moved
to the collector's permanent generation, at the start and whenever the configuration
has grown.
"""

import gc

GROWTH_FACTOR = 1.25  # growth of the object count that causes another freeze
YOUNG_GENERATION_THRESHOLD = 20_000  # new objects that start a collection


class HeapFreezer:
    """Moves long-lived objects to the collector's permanent generation."""

    def __init__(self):
        self._frozen_object_count = 0
        gc.set_threshold(YOUNG_GENERATION_THRESHOLD, 20, 20)

    def freeze_if_grown(self, object_count: int) -> bool:
        """Freeze the heap if the configuration has grown; return True if it did so.

        Parameters
        ----------
        object_count : int
            Number of objects of the configuration in force.
        """
        if (
            self._frozen_object_count
            and object_count < self._frozen_object_count * GROWTH_FACTOR
        ):
            return False
        self._frozen_object_count = max(object_count, 1)
        gc.collect()
        gc.freeze()
        return True
