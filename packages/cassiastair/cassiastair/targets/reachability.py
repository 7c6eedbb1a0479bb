"""Counter of reachability changes, which caches use to detect outdated entries."""


class ReachabilityCounter:
    """Counts how often any target went down or came back.

    Attributes
    ----------
    generation : int
        Number of changes so far.
    """

    __slots__ = ("generation",)

    def __init__(self):
        self.generation = 0

    def record_change(self) -> None:
        """Count one change."""
        self.generation += 1
