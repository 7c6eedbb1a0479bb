"""When several VMs have seen something of a target, merged in any order."""

from dataclasses import dataclass

from ..clock import Clock
from ..errors import PeerProtocolError

CONFIRM_S = 0.4  # time between two sightings, longer than a target's pause
KEEP_S = 3.0  # time after the last sighting for which it holds
MAX_TOLD = 64  # targets in one message


@dataclass(frozen=True, slots=True)
class OutlierReport:
    """The first and the last time at which a target was seen so.

    Parameters
    ----------
    first, last : float
        Times in seconds of this VM's clock.
    """

    first: float
    last: float

    @property
    def confirmed(self) -> bool:
        """Whether it was seen for longer than chance explains."""
        return self.last - self.first >= CONFIRM_S


class OutlierReports:
    """OutlierReports of one kind by this VM and its peers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._seen: dict[str, OutlierReport] = {}
        self._denied_at: dict[str, float] = {}

    def add(self, name: str) -> None:
        """Take note of a sighting of this VM."""
        now = self._clock.now()
        self._merge(name, OutlierReport(now, now))

    def deny(self, name: str) -> None:
        """Take note that the target was seen well; older sightings do not count."""
        if name in self._seen:
            del self._seen[name]
            self._denied_at[name] = self._clock.now()

    def _merge(self, name: str, new: OutlierReport) -> None:
        """Merge a sighting with what is known."""
        denied_at = self._denied_at.get(name, float("-inf"))
        if new.last <= denied_at:
            return
        first = max(new.first, denied_at)
        last = new.last
        known = self._seen.get(name)
        if known is not None and last - known.last < KEEP_S:
            first = min(first, known.first)
            last = max(last, known.last)
        self._seen[name] = OutlierReport(first, last)

    def holds(self, name: str) -> bool:
        """Tell whether a target was confirmed to be so lately."""
        seen = self._seen.get(name)
        if seen is None or not seen.confirmed:
            return False
        return self._clock.now() - seen.last < KEEP_S

    def find_confirmed(self) -> set[str]:
        """Return the names of the targets that were confirmed to be so lately."""
        return {name for name in self._seen if self.holds(name)}

    def tell(self) -> list:
        """Return what to tell peers: names with the ages of both times."""
        now = self._clock.now()
        fresh = [(n, s) for n, s in self._seen.items() if now - s.last < KEEP_S]
        fresh.sort(key=lambda item: -item[1].last)
        return [
            [name, round(now - seen.first, 3), round(now - seen.last, 3)]
            for name, seen in fresh[:MAX_TOLD]
        ]

    def take(self, told: list) -> None:
        """Merge what a peer told.

        Raises
        ------
        PeerProtocolError
            If it is malformed.
        """
        now = self._clock.now()
        for item in told:
            if not isinstance(item, list) or len(item) != 3:
                raise PeerProtocolError("a sighting is malformed")
            name, first_age, last_age = item
            ages = (first_age, last_age)
            if not isinstance(name, str) or not all(type(a) is float for a in ages):
                raise PeerProtocolError("a sighting is malformed")
            if 0 <= last_age < KEEP_S and last_age <= first_age:
                self._merge(name, OutlierReport(now - first_age, now - last_age))

    def tend(self) -> None:
        """Forget what is over; called about twice a second."""
        limit = self._clock.now() - KEEP_S
        for name in [n for n, seen in self._seen.items() if seen.last < limit]:
            del self._seen[name]
        for name in [n for n, at in self._denied_at.items() if at < limit]:
            del self._denied_at[name]
