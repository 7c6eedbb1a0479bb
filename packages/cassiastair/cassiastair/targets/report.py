"""A target's own report of its state, which lags and may mislead."""

from dataclasses import dataclass

from ..data import HeldVersions


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target says of itself.

    Parameters
    ----------
    incarnation : str
        Run of the target.
    serving : bool
        Whether it takes new work.
    load : float
        Requests in progress for each slot.
    held : tuple of HeldVersions
        Versions that it holds.
    """

    incarnation: str
    serving: bool
    load: float
    held: tuple[HeldVersions, ...]
