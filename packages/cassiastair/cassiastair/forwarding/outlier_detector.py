"""Targets that several VMs have seen slow or failing.

Load: in a large fleet a VM sees each target once in ten seconds, so by itself it
learns of one that is slow, or that fails a part of its requests, when that is over.
All VMs of a data centre together see it twice a second. They pass on when they saw
it first and last; two sightings further apart than a pause, or than a burst of lost
connections, show that the trouble lasts.
"""

from ..clock import Clock
from .outlier_reports import OutlierReports

SLOW_RATIO = 2.5  # latency over the typical one that chance rarely explains
FINE_RATIO = 2.0  # the same below which a target is not slow


class OutlierDetector:
    """Slow and failing targets, as this VM and its peers have seen them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._slow = OutlierReports(clock)
        self._failing = OutlierReports(clock)
        self._known: dict[str, str] = {}

    def record_wait(self, name: str, ratio: float) -> None:
        """Take note that a send has not been answered so far.

        Parameters
        ----------
        name : str
            Name of the target.
        ratio : float
            Time waited over the typical latency of the kind of request.
        """
        if ratio >= SLOW_RATIO:
            self._slow.add(name)

    def record_answer(self, name: str, ratio: float) -> None:
        """Take note of an answer and its latency over the typical one.

        A usual latency shows that the target is not slow. It says little of failures:
        a target that fails every third request answers the others.
        """
        if ratio < FINE_RATIO:
            self._slow.deny(name)
        else:
            self.record_wait(name, ratio)

    def record_failure(self, name: str) -> None:
        """Take note that a send broke off or ended in an error of the target."""
        self._failing.add(name)

    def is_outlier(self, name: str) -> bool:
        """Tell whether a target has been slow or failing lately."""
        return self._slow.holds(name) or self._failing.holds(name)

    def count(self) -> int:
        """Return the number of targets in trouble at the last look for changes."""
        return len(self._known)

    def find_changes(self) -> list[tuple[str, str]]:
        """Return the targets whose state has changed since the last call.

        Each with ``slow``, ``failing``, or ``well`` where its trouble is over.
        """
        states = dict.fromkeys(self._slow.find_confirmed(), "slow")
        states |= dict.fromkeys(self._failing.find_confirmed(), "failing")
        changes = [(n, s) for n, s in states.items() if self._known.get(n) != s]
        changes += [(name, "well") for name in self._known if name not in states]
        self._known = states
        return sorted(changes)

    def export_reports(self) -> tuple[list, list]:
        """Return what to tell peers of slow and of failing targets."""
        return self._slow.tell(), self._failing.tell()

    def merge_reports(self, slow: list, failing: list) -> None:
        """Merge what a peer told.

        Raises
        ------
        PeerProtocolError
            If it is malformed.
        """
        self._slow.take(slow)
        self._failing.take(failing)

    def remove_expired(self) -> None:
        """Forget what is over; called about twice a second."""
        self._slow.tend()
        self._failing.tend()
