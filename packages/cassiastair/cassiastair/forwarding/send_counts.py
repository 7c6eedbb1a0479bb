"""How many sends there were, why, and what came of them."""


class SendCounts:
    """Plain numbers for the metrics."""

    __slots__ = ("by_reason", "by_outcome")

    def __init__(self):
        self.by_reason: dict[str, int] = {}
        self.by_outcome: dict[str, int] = {}

    def record_start(self, reason: str) -> None:
        """Count a send: ``first``, ``hedge`` or ``retry``."""
        self.by_reason[reason] = self.by_reason.get(reason, 0) + 1

    def record_end(self, outcome: str) -> None:
        """Count the end of a send: ``answered`` or the name of its failure."""
        self.by_outcome[outcome] = self.by_outcome.get(outcome, 0) + 1
