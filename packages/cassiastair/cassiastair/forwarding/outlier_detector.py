"""Detection of slow and failing targets from the observations of several VMs.

In a large fleet one VM sends to a given target about once in ten seconds, too rarely
to notice a slow or partly failing target before it recovers. All VMs of a data centre
together send to it about twice a second, so they exchange the times of their first and
last observation. Observations further apart than a garbage collection pause or a burst
of lost connections show that the problem persists.
"""

from ..clock import Clock
from .outlier_reports import OutlierReports

SLOW_RATIO = 2.5  # latency relative to the mean above which a target counts as slow
SLOW_EXPIRE_S = 3.0  # time from the last observation of a slow target
# The same for a failing target. Once it is avoided it gets few sends, so that seconds
# pass between two failures although it fails as often as before.
FAILING_EXPIRE_S = 15.0
NORMAL_RATIO = 2.0  # relative latency below which reports of slowness are retracted


class OutlierDetector:
    """Slow and failing targets, as observed by this VM and its peers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._slow = OutlierReports(clock, SLOW_EXPIRE_S)
        self._failing = OutlierReports(clock, FAILING_EXPIRE_S)
        self._reported: dict[str, str] = {}

    def record_wait(self, name: str, ratio: float) -> None:
        """Record that a send has not been answered so far.

        Parameters
        ----------
        name : str
            Name of the target.
        ratio : float
            Time waited, relative to the mean latency of the route.
        """
        if ratio >= SLOW_RATIO:
            self._slow.add(name)

    def record_answer(self, name: str, ratio: float) -> None:
        """Record an answer.

        An answer with a normal latency retracts reports that the target is slow. It
        doesn't retract reports of failures, because a target that fails every third
        request still answers the others.

        Parameters
        ----------
        name : str
            Name of the target.
        ratio : float
            Latency, relative to the mean latency of the route.
        """
        if ratio < NORMAL_RATIO:
            self._slow.retract(name)
        else:
            self.record_wait(name, ratio)

    def record_failure(self, name: str) -> None:
        """Record that a send broke off, or was refused or answered with an error."""
        self._failing.add(name)

    def has_reports(self) -> bool:
        """Return True if there is any report, confirmed or not."""
        return bool(self._slow) or bool(self._failing)

    def is_outlier(self, name: str) -> bool:
        """Return True if a target is confirmed to be slow or failing."""
        return self._slow.is_confirmed(name) or self._failing.is_confirmed(name)

    def count(self) -> int:
        """Return the number of outliers as of the last call of `find_changes`."""
        return len(self._reported)

    def find_changes(self) -> list[tuple[str, str]]:
        """Return the targets whose state has changed since the last call.

        Returns
        -------
        list of (str, str)
            Names of targets with their new states: ``slow``, ``failing``, or
            ``well`` for a target that is no longer an outlier.
        """
        states = dict.fromkeys(self._slow.find_confirmed(), "slow")
        states |= dict.fromkeys(self._failing.find_confirmed(), "failing")
        changes = [(n, s) for n, s in states.items() if self._reported.get(n) != s]
        changes += [(name, "well") for name in self._reported if name not in states]
        self._reported = states
        return sorted(changes)

    def export_reports(self) -> tuple[list, list]:
        """Return the reports on slow and on failing targets to send to peers."""
        return self._slow.export(), self._failing.export()

    def merge_reports(self, slow: list, failing: list) -> None:
        """Merge the reports of a peer.

        Parameters
        ----------
        slow, failing : list
            Reports in the format of `OutlierReports.export`.

        Raises
        ------
        PeerProtocolError
            If a report is malformed.
        """
        self._slow.merge(slow)
        self._failing.merge(failing)

    def remove_expired(self) -> None:
        """Remove expired reports; called about twice a second."""
        self._slow.remove_expired()
        self._failing.remove_expired()
