"""Numbers of sends by reason and by outcome, and of those that were not made."""

from .unsent_reason import UnsentReason


class SendCounts:
    """Counters of sends, read by the metrics page."""

    __slots__ = ("by_reason", "by_outcome", "unsent")

    def __init__(self):
        self.by_reason: dict[str, int] = {}
        self.by_outcome: dict[str, int] = {}
        self.unsent: dict[tuple[str, str], int] = {}

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

    def record_unsent(self, reason: UnsentReason, service: str) -> None:
        """Count a hedge or retry that was not sent to a service."""
        key = (reason.value, service)
        self.unsent[key] = self.unsent.get(key, 0) + 1

    def retain_only(self, services: set[str]) -> None:
        """Remove the counts of sends that were not made to other services."""
        for key in [key for key in self.unsent if key[1] not in services]:
            del self.unsent[key]
