"""Changes of targets between reachable and not, as a number that caches compare."""


class Health:
    """Counts the changes.

    Attributes
    ----------
    generation : int
        Rises whenever a target goes down or comes back.
    """

    __slots__ = ("generation",)

    def __init__(self):
        self.generation = 0

    def note_change(self) -> None:
        """Take note of a change."""
        self.generation += 1
