"""Which VMs read the store, kept to a few in each data centre without an election.

Readers say in their heartbeats that they read, and every VM passes on whom it has
heard of. Where fewer than the wanted number are heard, further VMs step in one after
the other; where more are, those of the worst rank stop. Two readers too many cost
a few calls, none costs nothing but time, so nobody needs to agree.
"""

from collections.abc import Callable, Iterable

from ..clock import Clock
from .rendezvous import rank_by_rendezvous

WANTED = 3  # readers of a data centre: two may fail at the same moment
ACTIVE_S = 5.0  # time after its last word for which a reader counts
STEP_S = 0.4  # time between VMs that step in
LONGEST_WAIT_S = 6.0  # time after which any VM steps in


class ReaderSelection:
    """Knows the readers of the data centre and whether this VM is one.

    Parameters
    ----------
    own : str
        Name of the VM.
    data_centre : str
        Its data centre.
    get_locals : callable
        Returns the names of the other known VMs of the data centre.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        own: str,
        data_centre: str,
        get_locals: Callable[[], Iterable[str]],
        clock: Clock,
    ):
        self._own = own
        self._key = f"reader {data_centre}"
        self._get_locals = get_locals
        self._clock = clock
        self._heard: dict[str, float] = {}
        self._missing_since: float | None = None
        self.reading = False

    def record_reader(self, name: str, age: float) -> None:
        """Take word that a VM was reading some seconds ago."""
        at = self._clock.now() - max(age, 0.0)
        if name != self._own and at > self._heard.get(name, float("-inf")):
            self._heard[name] = at

    def remove(self, name: str) -> None:
        """Take word that a VM does not read any more."""
        self._heard.pop(name, None)

    def list_readers(self, is_served: bool) -> list:
        """Return the readers to name in a heartbeat, each with its age.

        Parameters
        ----------
        is_served : bool
            Whether the store answers this VM.
        """
        now = self._clock.now()
        active = self._find_active(now)
        best = self._rank(active)[:WANTED]
        told = [[name, round(now - self._heard[name], 3)] for name in best]
        if self.reading and is_served:
            told.append([self._own, 0.0])
        return told

    def _find_active(self, now: float) -> list[str]:
        """Return the other VMs that read; forget those not heard for long."""
        for name in [n for n, at in self._heard.items() if now - at >= ACTIVE_S]:
            del self._heard[name]
        return list(self._heard)

    def _rank(self, names: Iterable[str]) -> list[str]:
        """Return names in the order in which they are to read."""
        return rank_by_rendezvous(self._key, set(names))

    def should_read(self) -> bool:
        """Tell whether this VM reads now."""
        now = self._clock.now()
        active = self._find_active(now)
        if self.reading:
            order = self._rank([*active, self._own])
            self.reading = order.index(self._own) < WANTED
            self._missing_since = None
            return self.reading
        if len(active) >= WANTED:
            self._missing_since = None
            return False
        if self._missing_since is None:
            self._missing_since = now
        if now - self._missing_since >= self._find_delay(active):
            self.reading = True
        return self.reading

    def _find_delay(self, active: list[str]) -> float:
        """Return the seconds for which better placed VMs may step in first."""
        idle = set(self._get_locals()) - set(active) | {self._own}
        return min(STEP_S * self._rank(idle).index(self._own), LONGEST_WAIT_S)
