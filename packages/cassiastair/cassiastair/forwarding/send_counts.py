"""Numbers of sends by reason and by outcome, and of those that were not made.

For each service there are two more, which tell what its targets get beyond the first
send of each request: the sends that its retry budget was charged for, and those that
reached a process other than the target that was meant. The latter arrive at the service
of that process, and no budget knows of them.
"""

from .unsent_reason import UnsentReason


class SendCounts:
    """Counters of sends, read by the metrics page.

    Attributes
    ----------
    by_reason, by_outcome : dict
        Number of sends by reason, and of ends of sends by outcome.
    unsent : dict
        Number of hedges and retries that were not sent, by reason and service.
    charged : dict
        Number of extra sends charged to the retry budget, by service.
    misdirected : dict
        Number of sends answered by a process other than the target, by the service of
        the target.
    """

    __slots__ = ("by_reason", "by_outcome", "unsent", "charged", "misdirected")

    def __init__(self):
        self.by_reason: dict[str, int] = {}
        self.by_outcome: dict[str, int] = {}
        self.unsent: dict[tuple[str, str], int] = {}
        self.charged: dict[str, int] = {}
        self.misdirected: dict[str, int] = {}

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

    def record_charged(self, service: str) -> None:
        """Count an extra send that the retry budget of a service was charged for."""
        self.charged[service] = self.charged.get(service, 0) + 1

    def record_misdirected(self, service: str) -> None:
        """Count a send to a target of a service whose address another process has."""
        self.misdirected[service] = self.misdirected.get(service, 0) + 1

    def retain_only(self, services: set[str]) -> None:
        """Remove the counts of other services."""
        for key in [key for key in self.unsent if key[1] not in services]:
            del self.unsent[key]
        for counts in (self.charged, self.misdirected):
            for service in counts.keys() - services:
                del counts[service]
