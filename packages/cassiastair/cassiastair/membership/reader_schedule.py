"""Choice of the VMs that read the platform, without an election.

A few VMs of each data centre read; more of them do when the state grows old.
"""

from collections.abc import Iterable

from .rendezvous import rank_by_rendezvous

ACTIVE_READERS = 2  # VMs of a data centre that read while the state is fresh
FIRST_TAKEOVER_AGE_S = 1.5  # age of the state at which the next rank reads too
TAKEOVER_STEP_S = 0.5  # further age for each rank behind it
MAX_TAKEOVER_AGE_S = 6.0  # all VMs read; below the nine seconds a ticket may take


class ReaderSchedule:
    """Decides whether this VM reads the platform now.

    Each VM computes the ranks from the live VMs that it knows. The VMs need not agree
    on them, since an additional reader costs only an additional call. VMs of later
    ranks start to read when the platform's last confirmation, whose age peers pass on,
    grows old.

    Parameters
    ----------
    own : str
        Name of this VM.
    data_centre : str
        Data centre of this VM.
    """

    def __init__(self, own: str, data_centre: str):
        self._own = own
        self._key = f"reader {data_centre}"

    def rank(self, live: Iterable[str]) -> int:
        """Return this VM's rank, from zero, among the live VMs of its data centre."""
        return rank_by_rendezvous(self._key, {*live, self._own}).index(self._own)

    def takeover_age(self, live: Iterable[str]) -> float:
        """Return the age of the state, in seconds, from which this VM reads."""
        rank = self.rank(live)
        if rank < ACTIVE_READERS:
            return 0.0
        age = FIRST_TAKEOVER_AGE_S + TAKEOVER_STEP_S * (rank - ACTIVE_READERS)
        return min(age, MAX_TAKEOVER_AGE_S)

    def should_read(self, live: Iterable[str], age: float) -> bool:
        """Return True if this VM reads at this age, in seconds, of the state."""
        return age >= self.takeover_age(live)
