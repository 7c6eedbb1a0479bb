"""Report of a target about its own state, which may be outdated or wrong."""

from dataclasses import dataclass

from ..data import HeldVersions


@dataclass(frozen=True, slots=True)
class TargetReport:
    """State that a target reports for itself.

    Parameters
    ----------
    incarnation : str
        ID of the present run of the target.
    serving : bool
        Whether the target accepts new work.
    load : float
        Requests in progress divided by the number of slots.
    held_versions : tuple of HeldVersions
        Data versions that the target holds.
    """

    incarnation: str
    serving: bool
    load: float
    held_versions: tuple[HeldVersions, ...]
