"""Reports on outlier targets that VMs exchange and merge.

Merging is commutative and idempotent, so reports may arrive in any order and more than
once.
"""

from dataclasses import dataclass

from ..clock import Clock
from ..errors import PeerProtocolError

CONFIRM_AFTER_S = 0.4  # longer than the usual pauses of a target
MAX_EXPORTED = 64  # reports in one message


@dataclass(frozen=True, slots=True)
class OutlierReport:
    """Times of the first and the last observation of an outlier.

    Parameters
    ----------
    first, last : float
        Times in seconds of this VM's clock.
    """

    first: float
    last: float

    @property
    def confirmed(self) -> bool:
        """Whether the observations span more than a short disturbance."""
        return self.last - self.first >= CONFIRM_AFTER_S


class OutlierReports:
    """Reports of this VM and its peers on one kind of outlier, by target.

    Parameters
    ----------
    clock : Clock
        Source of time.
    expire_after : float
        Seconds from the last observation to the end of a report.
    """

    def __init__(self, clock: Clock, expire_after: float):
        self._clock = clock
        self._expire_after = expire_after
        self._reports: dict[str, OutlierReport] = {}
        self._retracted_at: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of targets with a report."""
        return len(self._reports)

    def add(self, name: str) -> None:
        """Record an observation by this VM."""
        now = self._clock.now()
        self._merge_report(name, OutlierReport(now, now))

    def retract(self, name: str) -> None:
        """Remove the report on a target that was seen healthy.

        Observations of peers from before this moment are ignored from now on.
        """
        if name in self._reports:
            del self._reports[name]
            self._retracted_at[name] = self._clock.now()

    def _merge_report(self, name: str, new: OutlierReport) -> None:
        """Extend the report on a target, or replace one that has expired."""
        retracted_at = self._retracted_at.get(name, float("-inf"))
        if new.last <= retracted_at:
            return
        first = max(new.first, retracted_at)
        last = new.last
        known = self._reports.get(name)
        if known is not None and last - known.last < self._expire_after:
            first = min(first, known.first)
            last = max(last, known.last)
        self._reports[name] = OutlierReport(first, last)

    def is_confirmed(self, name: str) -> bool:
        """Return True if the report on a target is confirmed and has not expired."""
        report = self._reports.get(name)
        if report is None or not report.confirmed:
            return False
        return self._clock.now() - report.last < self._expire_after

    def find_confirmed(self) -> set[str]:
        """Return the names of all targets with a confirmed report."""
        return {name for name in self._reports if self.is_confirmed(name)}

    def export(self) -> list:
        """Return the reports to send to peers, the latest first.

        Returns
        -------
        list of list
            Name of the target and the ages of the first and the last observation in
            seconds, for `MAX_EXPORTED` targets at most. Ages are independent of the
            clocks of other VMs.
        """
        now = self._clock.now()
        fresh = [
            (n, s)
            for n, s in self._reports.items()
            if now - s.last < self._expire_after
        ]
        fresh.sort(key=lambda item: -item[1].last)
        return [
            [name, round(now - seen.first, 3), round(now - seen.last, 3)]
            for name, seen in fresh[:MAX_EXPORTED]
        ]

    def merge(self, received: list) -> None:
        """Merge the reports of a peer, ignoring those that have expired.

        Parameters
        ----------
        received : list
            Reports as returned by `export`.

        Raises
        ------
        PeerProtocolError
            If a report is malformed.
        """
        now = self._clock.now()
        for item in received:
            if not isinstance(item, list) or len(item) != 3:
                raise PeerProtocolError("an outlier report is malformed")
            name, first_age, last_age = item
            ages = (first_age, last_age)
            if not isinstance(name, str) or not all(type(a) is float for a in ages):
                raise PeerProtocolError("an outlier report is malformed")
            if 0 <= last_age < self._expire_after and last_age <= first_age:
                self._merge_report(name, OutlierReport(now - first_age, now - last_age))

    def remove_expired(self) -> None:
        """Remove expired reports and retractions; called about twice a second."""
        limit = self._clock.now() - self._expire_after
        for name in [n for n, seen in self._reports.items() if seen.last < limit]:
            del self._reports[name]
        for name in [n for n, at in self._retracted_at.items() if at < limit]:
            del self._retracted_at[name]
