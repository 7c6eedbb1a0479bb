"""Numbers of sends by reason and by outcome."""


class SendCounts:
    """Counters of sends, read by the metrics page."""

    __slots__ = ("by_reason", "by_outcome")

    def __init__(self):
        self.by_reason: dict[str, int] = {}
        self.by_outcome: dict[str, int] = {}

    def record_start(self, reason: str) -> None:
        """Count a send that starts; the reason is ``first``, ``hedge`` or ``retry``."""
        self.by_reason[reason] = self.by_reason.get(reason, 0) + 1

    def record_end(self, outcome: str) -> None:
        """Count a send that has ended.

        Parameters
        ----------
        outcome : str
            ``answered``, ``failed_at_target``, ``stopped``, or the class name of the
            failure.
        """
        self.by_outcome[outcome] = self.by_outcome.get(outcome, 0) + 1
