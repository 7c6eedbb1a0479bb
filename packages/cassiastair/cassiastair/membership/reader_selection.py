"""Selection of the VMs that read the store, without an election.

Readers announce themselves in heartbeats, and every VM passes on the readers that it
knows. Where fewer readers are known than wanted, further VMs take over one after the
other; where there are more, those of the worst rank stop. Two readers too many cost a
few calls, and a lack of readers costs nothing but time, so the VMs need not agree.
"""

from collections.abc import Callable, Iterable

from ..clock import Clock
from .rendezvous import rank_by_rendezvous

WANTED_READERS = 3  # per data centre: two may fail at the same moment
READER_TIMEOUT_S = 5.0  # a reader without a report for so long does not count
TAKEOVER_STEP_S = 0.4  # delay between VMs that take over
MAX_TAKEOVER_DELAY_S = 6.0  # delay after which any VM takes over
ISOLATION_S = 1.5  # without a heartbeat on any link for so long, a VM reads itself


class ReaderSelection:
    """Readers of the data centre, and whether this VM is one of them.

    Parameters
    ----------
    own : str
        Name of this VM.
    data_centre : str
        Data centre of this VM.
    get_local_names : callable
        Returns the names of the other known VMs of the data centre.
    clock : Clock
        Source of time.

    Attributes
    ----------
    reading : bool
        Whether this VM was selected as a reader.
    """

    def __init__(
        self,
        own: str,
        data_centre: str,
        get_local_names: Callable[[], Iterable[str]],
        clock: Clock,
    ):
        self._own = own
        self._key = f"reader {data_centre}"
        self._get_local_names = get_local_names
        self._clock = clock
        self._seen_at: dict[str, float] = {}
        self._missing_since: float | None = None
        self._peer_heard_at: float | None = None
        self.reading = False

    def record_peer(self) -> None:
        """Record that a peer sent a heartbeat."""
        self._peer_heard_at = self._clock.now()

    def _is_isolated(self, now: float) -> bool:
        """Return True if all peers that sent heartbeats have stopped to do so."""
        heard_at = self._peer_heard_at
        return heard_at is not None and now - heard_at > ISOLATION_S

    def record_reader(self, name: str, age: float) -> None:
        """Record that a VM was reading `age` seconds ago."""
        at = self._clock.now() - max(age, 0.0)
        if name != self._own and at > self._seen_at.get(name, float("-inf")):
            self._seen_at[name] = at

    def remove(self, name: str) -> None:
        """Remove a VM that does not read any more."""
        self._seen_at.pop(name, None)

    def list_readers(self, is_store_available: bool) -> list:
        """Return the readers to report in a heartbeat.

        Parameters
        ----------
        is_store_available : bool
            Whether this VM's last call of the store succeeded.

        Returns
        -------
        list of [str, float]
            Names of readers, each with the seconds since it was reading.
        """
        now = self._clock.now()
        active = self._find_active(now)
        names = self._rank(active)[:WANTED_READERS]
        readers = [[name, round(now - self._seen_at[name], 3)] for name in names]
        if self.reading and is_store_available:
            readers.append([self._own, 0.0])
        return readers

    def _find_active(self, now: float) -> list[str]:
        """Return the other VMs that read; remove those without a recent report."""
        for name in [
            n for n, at in self._seen_at.items() if now - at >= READER_TIMEOUT_S
        ]:
            del self._seen_at[name]
        return list(self._seen_at)

    def _rank(self, names: Iterable[str]) -> list[str]:
        """Return names in the order in which they are preferred as readers."""
        return rank_by_rendezvous(self._key, set(names))

    def should_read(self) -> bool:
        """Decide whether this VM reads now; return True if it does."""
        now = self._clock.now()
        active = self._find_active(now)
        if self._is_isolated(now):
            self.reading = True
            return True
        if self.reading:
            order = self._rank([*active, self._own])
            self.reading = order.index(self._own) < WANTED_READERS
            self._missing_since = None
            return self.reading
        if len(active) >= WANTED_READERS:
            self._missing_since = None
            return False
        if self._missing_since is None:
            self._missing_since = now
        if now - self._missing_since >= self._compute_takeover_delay(active):
            self.reading = True
        return self.reading

    def _compute_takeover_delay(self, active: list[str]) -> float:
        """Return the seconds in which VMs of a better rank may take over first."""
        candidates = set(self._get_local_names()) - set(active) | {self._own}
        return min(
            TAKEOVER_STEP_S * self._rank(candidates).index(self._own),
            MAX_TAKEOVER_DELAY_S,
        )
