"""Who reads the platform: a few VMs of each data centre, without an election."""

from collections.abc import Iterable

from .rendezvous import rank_by_rendezvous

ALWAYS_READING = 2  # VMs of a data centre that read while all is well
FIRST_STEP_S = 1.5  # age of the platform's word at which the next rank steps in
STEP_S = 0.5  # further age for each rank behind it
LONGEST_DELAY_S = 6.0  # within the nine seconds that a ticket may take


class ReaderSchedule:
    """Decides whether this VM reads the platform now.

    Two readers cost two calls, so nobody needs to agree: ranks are computed from
    the VMs that are linked or listed, and later ranks step in when the platform's
    word, passed on by peers, grows old.

    Parameters
    ----------
    own : str
        Name of the VM.
    data_centre : str
        Its data centre.
    """

    def __init__(self, own: str, data_centre: str):
        self._own = own
        self._key = f"reader {data_centre}"

    def rank(self, live: Iterable[str]) -> int:
        """Return this VM's rank among the live VMs of its data centre."""
        return rank_by_rendezvous(self._key, {*live, self._own}).index(self._own)

    def delay(self, live: Iterable[str]) -> float:
        """Return the age of the platform's word, in seconds, at which to read."""
        rank = self.rank(live)
        if rank < ALWAYS_READING:
            return 0.0
        late = FIRST_STEP_S + STEP_S * (rank - ALWAYS_READING)
        return min(late, LONGEST_DELAY_S)

    def should_read(self, live: Iterable[str], age: float) -> bool:
        """Tell whether this VM reads the platform now."""
        return age >= self.delay(live)
