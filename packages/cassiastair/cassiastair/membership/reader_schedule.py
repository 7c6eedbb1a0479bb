"""Who reads the platform: a few VMs of each data centre, without an election."""

from collections.abc import Iterable
from dataclasses import dataclass

from .rendezvous import rank_by_rendezvous

ALWAYS_READING = 2  # VMs of a data centre that read while all is well
FIRST_STEP_S = 1.5  # age of the platform's word at which the next rank steps in
STEP_S = 0.5  # further age for each rank behind it
LONGEST_DELAY_S = 6.0  # within the nine seconds that a ticket may take


@dataclass(frozen=True, slots=True)
class ReaderSteps:
    """When VMs read, by their rank.

    Parameters
    ----------
    always : int
        VMs of a data centre that read while all is well.
    first : float
        Age of the platform's word, in seconds, at which the next rank steps in.
    step : float
        Further age for each rank behind it.
    longest : float
        Highest age at which the last rank steps in.
    """

    always: int = ALWAYS_READING
    first: float = FIRST_STEP_S
    step: float = STEP_S
    longest: float = LONGEST_DELAY_S


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
    steps : ReaderSteps, optional
        When to read, by rank.
    """

    def __init__(self, own: str, data_centre: str, steps: ReaderSteps | None = None):
        self._own = own
        self._steps = steps or ReaderSteps()
        self._key = f"reader {data_centre}"

    def rank(self, live: Iterable[str]) -> int:
        """Return this VM's rank among the live VMs of its data centre."""
        return rank_by_rendezvous(self._key, {*live, self._own}).index(self._own)

    def delay(self, live: Iterable[str]) -> float:
        """Return the age of the platform's word, in seconds, at which to read."""
        rank = self.rank(live)
        steps = self._steps
        if rank < steps.always:
            return 0.0
        late = steps.first + steps.step * (rank - steps.always)
        return min(late, steps.longest)

    def should_read(self, live: Iterable[str], age: float) -> bool:
        """Tell whether this VM reads the platform now."""
        return age >= self.delay(live)
