"""A key range that an answer does not cover."""

from dataclasses import dataclass

from .key_range import KeyRange
from .missing_reason import MissingReason


@dataclass(frozen=True, slots=True)
class MissingRange:
    """Key range of a service that an answer does not cover, with the reason.

    Parameters
    ----------
    service : str
        Name of the service.
    key_range : KeyRange
        Keys that are not covered.
    reason : MissingReason
        Why the keys are not covered.
    """

    service: str
    key_range: KeyRange
    reason: MissingReason
