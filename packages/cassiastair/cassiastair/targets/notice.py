"""What a target says of itself in a reply."""

from dataclasses import dataclass


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


NO_NOTICE = TargetNotice()
