"""Record of a limit that a target has named."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """What a target said last about the request rate that it accepts.

    Parameters
    ----------
    rate : float or None
        Requests a second from all VMs together; None if it named no limit any more.
    named_at : float
        Time of the answer in seconds of this VM's clock.
    """

    rate: float | None
    named_at: float
