"""What a target says of itself in a reply."""

import math
from dataclasses import dataclass

MAX_PAUSE_S = 600.0  # a target that names a longer time is tried again after this


@dataclass(frozen=True, slots=True)
class TargetNotice:
    """Facts about a target that one of its replies states.

    Parameters
    ----------
    rate_limit : float or None
        Requests a second that the target accepts from all VMs together; None if it
        names no limit, not a number if what it names is unreadable.
    leaving : bool
        Whether the target is about to stop.
    pause : float or None
        Seconds for which the target wants no requests from this VM; None if it names
        no time, not a number if what it names is unreadable.
    """

    rate_limit: float | None = None
    leaving: bool = False
    pause: float | None = None

    def find_pause_end(self, now: float) -> float | None:
        """Return the time before which the target wants no requests, within bounds.

        None if it named no time, or one that is unreadable.
        """
        if self.pause is None or math.isnan(self.pause):
            return None
        return now + min(self.pause, MAX_PAUSE_S)


NO_NOTICE = TargetNotice()
